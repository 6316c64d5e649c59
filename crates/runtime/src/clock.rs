use std::time::Duration;
use std::time::SystemTime;

use carobwick_core::Time;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the machine started, including time in suspension.
///
/// A lease keeps running while the machine is suspended, so its age can't be taken from the monotonic clock,
/// which stops.
pub fn now() -> Time {
    let since_boot = clock_gettime(ClockId::Boottime);
    let seconds = Duration::from_secs(since_boot.tv_sec.unsigned_abs());
    Time::ZERO + seconds + Duration::from_nanos(since_boot.tv_nsec.unsigned_abs())
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
