use std::time::Duration;

use indexmap::IndexMap;

use crate::CallerId;
use crate::Time;

/// Time constant of the exponential decay of demand and use.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Time after which the share is computed again.
const SHARE_REFRESH: Duration = Duration::from_millis(100);
/// Demand at which a caller is removed, far below the work of one request.
const NEGLIGIBLE_WORK: f64 = 0.01;

/// Work that each caller requested and received in the last seconds, on one service.
#[derive(Debug, Default)]
pub(crate) struct FairShare {
    callers: IndexMap<CallerId, Usage>,
    total: Usage,
    /// Time at which the share was computed, and the share as a fraction of the total.
    share: Option<(Time, f64)>,
}

/// Use of a caller relative to its max-min fair share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShareLevel {
    /// At most half of the share.
    Low,
    /// At most the share.
    Within,
    /// More than the share.
    Above,
}

#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    demand: f64,
    served: f64,
    at: Time,
}

impl FairShare {
    /// Adds work that a caller requests.
    pub fn add_demand(&mut self, caller: &CallerId, work: f64, now: Time) {
        self.usage(caller, now).demand += work;
    }

    /// Adds work that is done for a caller.
    pub fn add_served(&mut self, caller: &CallerId, work: f64, now: Time) {
        self.usage(caller, now).served += work;
        self.total.decay(now);
        self.total.served += work;
    }

    /// Returns the use of a caller relative to its share.
    pub fn level(&mut self, caller: &CallerId, now: Time) -> ShareLevel {
        let share = match self.share {
            Some((at, share)) if now < at + SHARE_REFRESH => share,
            _ => {
                let share = self.compute_share(now);
                self.share = Some((now, share));
                share
            }
        };
        self.total.decay(now);
        let share = share * self.total.served;
        let served = self.usage(caller, now).served;
        // The tolerance covers rounding errors, so that a single caller is never above its share.
        let share = share * 1.001;
        if served <= share * 0.5 {
            ShareLevel::Low
        } else if served <= share {
            ShareLevel::Within
        } else {
            ShareLevel::Above
        }
    }

    fn compute_share(&mut self, now: Time) -> f64 {
        for usage in self.callers.values_mut() {
            usage.decay(now);
        }
        self.callers.retain(|_, usage| usage.demand > NEGLIGIBLE_WORK);
        let served: f64 = self.callers.values().map(|usage| usage.served).sum();
        if served <= 0.0 {
            return 1.0;
        }
        share(self.callers.values().map(|usage| usage.demand).collect(), served) / served
    }

    fn usage(&mut self, caller: &CallerId, now: Time) -> &mut Usage {
        let usage = self.callers.entry(caller.clone()).or_default();
        usage.decay(now);
        usage
    }
}

impl Usage {
    fn decay(&mut self, now: Time) {
        let factor = (-(now - self.at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.demand *= factor;
        self.served *= factor;
        self.at = now;
    }
}

/// Returns the max-min fair share: the cap at which the capped demands add up to the total.
fn share(mut demands: Vec<f64>, total: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = total;
    for (index, demand) in demands.iter().enumerate() {
        let equal = left / (demands.len() - index) as f64;
        if *demand > equal {
            return equal;
        }
        left -= demand;
    }
    f64::INFINITY
}
