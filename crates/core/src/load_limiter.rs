use std::time::Duration;

use crate::Manifest;
use crate::Time;
use crate::ZoneId;

/// Period of wall-clock time in milliseconds after which the remainder of the weight store's concurrency
/// passes on to other zones.
const SHARE_PERIOD_MS: u64 = 2_000;

/// Rate limiter for the loads of one zone, which has a share of the limits of the weight store.
#[derive(Debug, Clone)]
pub struct LoadLimiter {
    next_load: Time,
}

impl LoadLimiter {
    /// Creates a limiter that allows the first load after one interval, since the previous leader may have
    /// just ordered one.
    pub fn new(manifest: &Manifest, now: Time) -> Self {
        Self { next_load: now + load_interval(manifest) }
    }

    /// Returns whether a model may be loaded now while `running` loads of the zone are in flight.
    pub fn allows(&self, manifest: &Manifest, zone: &ZoneId, now: Time, wall_ms: u64, running: u32) -> bool {
        now >= self.next_load && running < max_model_loads(manifest, zone, wall_ms)
    }

    /// Records a load that was ordered.
    pub fn record_load(&mut self, manifest: &Manifest, now: Time) {
        self.next_load = self.next_load.max(now) + load_interval(manifest);
    }
}

/// Returns how many model loads a zone may have in flight in the current period.
///
/// The shares of all zones add up to the limit in each period.
pub fn max_model_loads(manifest: &Manifest, zone: &ZoneId, wall_ms: u64) -> u32 {
    let zones = manifest.zones.len().max(1) as u64;
    let index = manifest.zones.iter().position(|known| known == zone).unwrap_or(0) as u64;
    let limit = u64::from(manifest.store.concurrent);
    let extra = limit % zones;
    let turn = (index + wall_ms / SHARE_PERIOD_MS) % zones;
    (limit / zones + u64::from(turn < extra)) as u32
}

/// Returns how many adapter loads a zone may have in flight, which is at least one.
pub fn max_adapter_loads(manifest: &Manifest) -> u32 {
    (manifest.adapter_loads / manifest.zones.len().max(1) as u32).max(1)
}

fn load_interval(manifest: &Manifest) -> Duration {
    Duration::from_secs_f64(manifest.zones.len().max(1) as f64 / manifest.store.rate.0)
}
