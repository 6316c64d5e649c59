use std::time::Duration;

use crate::Time;

/// Part of the time for a new configuration for which a watch waits that nothing else backs.
const WATCH_FRACTION: f64 = 0.25;
/// Part of that time for which the answer to a watch may be late, and a newer version that the leader has.
const LAG_FRACTION: f64 = 0.25;
/// Part of that time for which a configuration that was the newest is taken to be so. It covers the leader's watch and the
/// pause between two of its messages, and leaves time for a watch of the instance's own.
const TRUST_FRACTION: f64 = 0.6;
/// Wait of a watch that the leader's word backs.
const LEADER_BACKED_WAIT: Duration = Duration::from_secs(30);

/// How long an instance may go by what it knows of the configuration.
///
/// An answer of the store can be lost on a connection that stays open, and the leader that would tell of a newer version can be
/// lost as well. So each wait is bounded by the last time at which the version in force was the newest.
#[derive(Debug)]
pub struct ConfigFreshness {
    apply_time: Duration,
    last_confirmed: Option<Time>,
}

/// How long a watch of the configuration waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimeouts {
    /// Wait that the store is asked for.
    pub wait: Duration,
    /// Time after which the answer counts as lost.
    pub timeout: Duration,
    /// Whether the watch is given up when the configuration is no longer known to be the newest.
    pub leader_backed: bool,
}

impl ConfigFreshness {
    /// Starts without knowledge; a new version must be in force within `apply`.
    pub fn new(apply_time: Duration) -> Self {
        Self { apply_time, last_confirmed: None }
    }

    /// Sets the time within which a new version must be in force.
    pub fn set_apply_time(&mut self, apply_time: Duration) {
        self.apply_time = apply_time;
    }

    /// Notes that the version in force was the newest at a time.
    pub fn confirmed(&mut self, at: Time) {
        self.last_confirmed = self.last_confirmed.max(Some(at));
    }

    /// Returns the time since the version in force was known to be the newest.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.last_confirmed.map(|at| now - at)
    }

    /// Returns for how long the version in force may still be taken for the newest.
    pub fn remaining_trust(&self, now: Time) -> Duration {
        let trust_time = self.apply_time.mul_f64(TRUST_FRACTION);
        self.age(now).map_or(Duration::ZERO, |age| trust_time.saturating_sub(age))
    }

    /// Returns how long the next watch waits, on the leader or on another instance.
    pub fn watch_timeouts(&self, is_leader: bool, now: Time) -> WatchTimeouts {
        let leader_backed = !is_leader && !self.remaining_trust(now).is_zero();
        let wait = if leader_backed { LEADER_BACKED_WAIT } else { self.apply_time.mul_f64(WATCH_FRACTION) };
        WatchTimeouts { wait, timeout: wait + self.max_lag(), leader_backed }
    }

    /// Returns how long an instance waits for a version that the leader has before it reads the configuration itself.
    pub fn max_lag(&self) -> Duration {
        self.apply_time.mul_f64(LAG_FRACTION)
    }
}
