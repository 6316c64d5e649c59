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

/// A planner process with its own clock. Other times are in microseconds of the simulation.
#[derive(Debug)]
pub(super) struct FakePlanner {
    pub id: InstanceId,
    pub zone: ZoneId,
    /// The running controller, or the time at which the process starts again.
    pub controller: Result<Controller, u64>,
    /// Number of times the process has started; replies to earlier incarnations are dropped.
    pub incarnation: u64,
    pub frozen_until: u64,
    /// Time until which the process resigns its lease and does not lead.
    pub resigned_until: u64,
    /// Rate of the monotonic clock.
    pub clock_rate: f64,
    /// Error of the wall clock in milliseconds.
    pub clock_offset: i64,
    pub config: Arc<ConfigRecord>,
    pub drains: DrainSet,
    /// Time from which each engine may be polled again.
    pub next_polls: BTreeMap<EndpointId, u64>,
    /// Engines whose last poll was lost.
    pub lost_polls: BTreeSet<EndpointId>,
    /// Time at which the instance list is read again.
    pub next_listing: u64,
}

impl FakePlanner {
    pub(super) fn start(&mut self) {
        self.incarnation += 1;
        self.next_polls.clear();
        self.next_listing = 0;
        self.controller = Ok(Controller::new(self.id.clone(), self.zone.clone()));
    }

    /// Returns the time of the process's clocks at the time `now` of the simulation.
    pub(super) fn tick(&self, now: u64, seed: u64) -> Tick {
        Tick { now: Time((now as f64 * self.clock_rate) as u64), wall_ms: self.wall_ms(now), seed }
    }

    pub(super) fn wall_ms(&self, now: u64) -> u64 {
        (now / 1_000).saturating_add_signed(self.clock_offset)
    }
}
