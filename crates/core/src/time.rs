use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use carobwick_derive::key;

/// Point in time, in microseconds since an origin that the process or the simulation chooses.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use carobwick_core::Time;
///
/// let start = Time::ZERO;
/// let later = start + Duration::from_millis(3);
/// assert_eq!(later - start, Duration::from_millis(3));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[key]
#[derive(Copy, Default)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Returns the whole milliseconds since the origin.
    pub fn millis(self) -> u64 {
        self.0 / 1_000
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub for Time {
    type Output = Duration;

    /// Returns the time from `rhs` to `self`, or zero if `rhs` is later.
    fn sub(self, rhs: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(rhs.0))
    }
}
