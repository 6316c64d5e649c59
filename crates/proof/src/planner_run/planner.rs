use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use carobwick_core::ConfigRecord;
use carobwick_core::Controller;
use carobwick_core::DrainSet;
use carobwick_core::EndpointId;
use carobwick_core::InstanceId;
use carobwick_core::Tick;
use carobwick_core::Time;
use carobwick_core::ZoneId;

/// A planner process with a clock of its own.
#[derive(Debug)]
pub(super) struct FakePlanner {
    pub id: InstanceId,
    pub zone: ZoneId,
    /// The running process, or when it starts again.
    pub controller: Result<Controller, u64>,
    /// Counts the runs of the process; replies to an earlier one are lost.
    pub incarnation: u64,
    pub frozen_until: u64,
    pub resigned_until: u64,
    /// Speed of the monotonic clock.
    pub clock_rate: f64,
    /// Error of the wall clock in milliseconds.
    pub clock_offset: i64,
    pub config: Arc<ConfigRecord>,
    pub drains: DrainSet,
    pub next_polls: BTreeMap<EndpointId, u64>,
    /// Engines whose last poll was lost.
    pub lost_polls: BTreeSet<EndpointId>,
    pub next_listing: u64,
}

impl FakePlanner {
    pub(super) fn start(&mut self) {
        self.incarnation += 1;
        self.next_polls.clear();
        self.next_listing = 0;
        self.controller = Ok(Controller::new(self.id.clone(), self.zone.clone()));
    }

    /// Returns the process's time at the true time `now`.
    pub(super) fn tick(&self, now: u64, seed: u64) -> Tick {
        Tick { now: Time((now as f64 * self.clock_rate) as u64), wall_ms: self.wall_ms(now), seed }
    }

    pub(super) fn wall_ms(&self, now: u64) -> u64 {
        (now / 1_000).saturating_add_signed(self.clock_offset)
    }
}
