use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use carobwick_core::Time;

/// Returns the time since the process first asked, from the monotonic clock.
pub fn now() -> Time {
    static START: OnceLock<Instant> = OnceLock::new();
    Time::ZERO + START.get_or_init(Instant::now).elapsed()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    since_epoch().as_millis() as u64
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub fn wall_us() -> u64 {
    since_epoch().as_micros() as u64
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}
