use std::time::Duration;

use carobwick_core::Time;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the machine started, time in suspension included.
///
/// A lease goes on while a machine is suspended, so its age can't be taken from the steady clock.
pub fn now() -> Time {
    let since = clock_gettime(ClockId::Boottime);
    let seconds = Duration::from_secs(since.tv_sec.unsigned_abs());
    Time::ZERO + seconds + Duration::from_nanos(since.tv_nsec.unsigned_abs())
}
