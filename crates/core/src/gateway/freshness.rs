use std::time::Duration;

use crate::Time;

/// Part of the time for a new configuration for which a watch waits that nothing else backs.
const WATCH_PART: f64 = 0.25;
/// Part of that time for which the answer to a watch may be late, and a newer version that the leader has.
const LATE_PART: f64 = 0.25;
/// Part of that time for which a configuration that was the newest is taken to be so. It covers the leader's watch and the
/// pause between two of its messages, and leaves time for a watch of the instance's own.
const TRUST_PART: f64 = 0.6;
/// Wait of a watch that the leader's word backs.
const BACKED_WAIT: Duration = Duration::from_secs(30);

/// How long an instance may go by what it knows of the configuration.
///
/// An answer of the store can be lost on a connection that stays open, and the leader that would tell of a newer version can be
/// lost as well. So each wait is bounded by the last time at which the version in force was the newest.
#[derive(Debug)]
pub struct ConfigFreshness {
    apply: Duration,
    checked: Option<Time>,
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
    pub fn new(apply: Duration) -> Self {
        Self { apply, checked: None }
    }

    /// Sets the time within which a new version must be in force.
    pub fn set_apply_time(&mut self, apply: Duration) {
        self.apply = apply;
    }

    /// Notes that the version in force was the newest at a time.
    pub fn confirmed(&mut self, at: Time) {
        self.checked = self.checked.max(Some(at));
    }

    /// Returns the time since the version in force was known to be the newest.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.checked.map(|at| now - at)
    }

    /// Returns for how long the version in force may still be taken for the newest.
    pub fn remaining_trust(&self, now: Time) -> Duration {
        let trust = self.apply.mul_f64(TRUST_PART);
        self.age(now).map_or(Duration::ZERO, |age| trust.saturating_sub(age))
    }

    /// Returns how long the next watch waits, on the leader or on another instance.
    pub fn watch_timeouts(&self, leads: bool, now: Time) -> WatchTimeouts {
        let backed = !leads && !self.remaining_trust(now).is_zero();
        let wait = if backed { BACKED_WAIT } else { self.apply.mul_f64(WATCH_PART) };
        WatchTimeouts { wait, timeout: wait + self.max_lag(), leader_backed: backed }
    }

    /// Returns how long an instance waits for a version that the leader has before it reads the configuration itself.
    pub fn max_lag(&self) -> Duration {
        self.apply.mul_f64(LATE_PART)
    }
}
