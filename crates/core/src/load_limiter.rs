use std::time::Duration;

use crate::Manifest;
use crate::Time;
use crate::ZoneId;

/// Slots of wall-clock time in which the zones share the weight store's concurrency.
const SHARE_PERIOD_MS: u64 = 2_000;

/// A zone's share of the limits on loads.
#[derive(Debug, Clone)]
pub struct LoadLimiter {
    next_load: Time,
}

impl LoadLimiter {
    /// Starts with the first load due after one interval, since the previous leader may have just used it.
    pub fn new(manifest: &Manifest, now: Time) -> Self {
        Self { next_load: now + load_interval(manifest) }
    }

    /// Returns whether a model may be loaded while `running` loads of the zone are in flight.
    pub fn allows(&self, manifest: &Manifest, zone: &ZoneId, now: Time, wall_ms: u64, running: u32) -> bool {
        now >= self.next_load && running < max_model_loads(manifest, zone, wall_ms)
    }

    /// Counts a load that was ordered.
    pub fn record_load(&mut self, manifest: &Manifest, now: Time) {
        self.next_load = self.next_load.max(now) + load_interval(manifest);
    }
}

/// Returns how many loads a zone may have in flight in the current slot, so that all zones stay at the limit.
pub fn max_model_loads(manifest: &Manifest, zone: &ZoneId, wall_ms: u64) -> u32 {
    let zones = manifest.zones.len().max(1) as u64;
    let index = manifest.zones.iter().position(|known| known == zone).unwrap_or(0) as u64;
    let limit = u64::from(manifest.store.concurrent);
    let extra = limit % zones;
    let turn = (index + wall_ms / SHARE_PERIOD_MS) % zones;
    (limit / zones + u64::from(turn < extra)) as u32
}

/// Returns how many adapter loads a zone may have in flight.
pub fn max_adapter_loads(manifest: &Manifest) -> u32 {
    (manifest.adapter_loads / manifest.zones.len().max(1) as u32).max(1)
}

fn load_interval(manifest: &Manifest) -> Duration {
    Duration::from_secs_f64(manifest.zones.len().max(1) as f64 / manifest.store.rate.0)
}
