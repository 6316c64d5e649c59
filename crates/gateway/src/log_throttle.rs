use std::cell::Cell;
use std::time::Duration;

use carobwick_core::Time;
use carobwick_runtime::now;

/// Least time between two log lines about the same kind of event, so that hostile callers can't fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts events that callers can cause at any rate, and limits the log lines about them.
#[derive(Debug, Default)]
pub(crate) struct LogThrottle {
    /// Events since the last log line about them.
    unlogged: Cell<u64>,
    last_logged: Cell<Option<Time>>,
}

impl LogThrottle {
    /// Counts an event; returns the number of events that a log line must name, or none if it is too early for one.
    pub fn count(&self) -> Option<u64> {
        self.unlogged.set(self.unlogged.get() + 1);
        if self.last_logged.get().is_some_and(|last| now() < last + LOG_INTERVAL) {
            return None;
        }
        self.last_logged.set(Some(now()));
        Some(self.unlogged.take())
    }
}
