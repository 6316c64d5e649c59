use std::time::Duration;

use crate::Time;

/// Fraction of the apply time for which a watch waits if no leader backs it.
const WATCH_FRACTION: f64 = 0.25;
/// Fraction of the apply time by which the response to a watch, or a newer version that the leader has, may
/// lag.
const LAG_FRACTION: f64 = 0.25;
/// Fraction of the apply time for which a configuration is trusted after it was known to be the newest. It
/// covers the watch of the leader and the interval between two of its messages, and leaves time for a watch
/// of the instance itself.
const TRUST_FRACTION: f64 = 0.6;
/// Time for which a watch waits while updates of the leader confirm the configuration.
const LEADER_BACKED_WAIT: Duration = Duration::from_secs(30);

/// Decides how long an instance may trust the configuration that it has.
///
/// A response of the store can be lost on a connection that stays open, and the leader that would announce a
/// newer version can be lost as well. So each wait is bounded by the last time at which the version in force
/// was known to be the newest.
#[derive(Debug)]
pub struct ConfigFreshness {
    apply_time: Duration,
    last_confirmed: Option<Time>,
}

/// Timeouts of one watch of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimeouts {
    /// Time for which the store is asked to wait for a change.
    pub wait: Duration,
    /// Time after which the response counts as lost.
    pub timeout: Duration,
    /// Whether updates of the leader back the watch; it is cancelled once the configuration is no longer
    /// trusted.
    pub leader_backed: bool,
}

impl ConfigFreshness {
    /// Creates the state of an instance that knows no configuration; a new version must be in force within
    /// `apply_time`.
    pub fn new(apply_time: Duration) -> Self {
        Self { apply_time, last_confirmed: None }
    }

    /// Sets the time within which a new version must be in force.
    pub fn set_apply_time(&mut self, apply_time: Duration) {
        self.apply_time = apply_time;
    }

    /// Records that the version in force was the newest at the given time.
    pub fn record_confirmed(&mut self, at: Time) {
        self.last_confirmed = self.last_confirmed.max(Some(at));
    }

    /// Returns the time since the version in force was last known to be the newest, or none if it never was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.last_confirmed.map(|at| now - at)
    }

    /// Returns for how long the version in force may still be trusted to be the newest.
    pub fn remaining_trust(&self, now: Time) -> Duration {
        let trust_time = self.apply_time.mul_f64(TRUST_FRACTION);
        self.age(now).map_or(Duration::ZERO, |age| trust_time.saturating_sub(age))
    }

    /// Returns the timeouts of the next watch of the leader or of another instance.
    pub fn watch_timeouts(&self, is_leader: bool, now: Time) -> WatchTimeouts {
        let leader_backed = !is_leader && !self.remaining_trust(now).is_zero();
        let wait = if leader_backed { LEADER_BACKED_WAIT } else { self.apply_time.mul_f64(WATCH_FRACTION) };
        WatchTimeouts { wait, timeout: wait + self.max_lag(), leader_backed }
    }

    /// Returns how long an instance waits for a version that the leader has announced before it reads the
    /// configuration itself.
    pub fn max_lag(&self) -> Duration {
        self.apply_time.mul_f64(LAG_FRACTION)
    }
}
