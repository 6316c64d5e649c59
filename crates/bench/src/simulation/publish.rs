use std::sync::Arc;

use carobwick_core::DemandReport;
use carobwick_core::DrainSet;
use carobwick_core::EndpointState;
use carobwick_core::EndpointView;
use carobwick_core::Fence;
use carobwick_core::InstanceView;
use carobwick_core::ModelDemand;
use carobwick_core::Version;
use carobwick_core::ZoneId;
use carobwick_core::ZoneView;
use indexmap::IndexMap;

use crate::placement::resident_from_manifest;
use crate::simulation::DEMAND_REPORT_INTERVAL;
use crate::simulation::Entry;
use crate::simulation::Simulation;

/// Exchange of demand reports, placement decisions and views between the processes.
impl Simulation {
    /// Returns the demand record, at the caller's entry, of the model or adapter that a request is for.
    pub(super) fn demand_mut(&mut self, index: usize) -> &mut ModelDemand {
        let request = &self.requests[index];
        let model = request.arrival.adapter.as_ref().unwrap_or(&request.arrival.model);
        self.entries[request.origin].demand.entry(model.clone()).or_default()
    }

    /// Sends the demand of each entry to the leader of its zone.
    pub(super) fn report_demand(&mut self) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let models = std::mem::take(&mut entry.demand);
            let zone = self.deployment.manifest.zones.iter().position(|zone| *zone == entry.zone);
            let Some(leader) = zone.and_then(|zone| self.leaders.get_mut(zone)) else { continue };
            let instance = format!("instance-{index}").parse().expect("the id has only allowed characters");
            let interval_ms = DEMAND_REPORT_INTERVAL.as_millis() as u64;
            leader.demand.add_report(self.now, &DemandReport { instance, interval_ms, models });
        }
    }

    /// Lets the leader of each zone place models, and counts the moves.
    pub(super) fn run_leaders(&mut self) {
        for leader in &mut self.leaders {
            let deployment = &mut self.deployment;
            let moves = leader.step(&deployment.manifest, &mut deployment.endpoints, &self.engines, self.now);
            self.score.moves += moves;
        }
    }

    /// Sends every entry the views of the previous call, and records the current ones for the next call.
    pub(super) fn publish_views(&mut self) {
        for entry in &mut self.entries {
            for report in entry.dispatcher.take_crash_reports() {
                self.crash_reports.add(report);
            }
            entry.dispatcher.set_view(
                &self.deployment.manifest,
                &entry.zone,
                &self.previous_views,
                &DrainSet::default(),
                &self.crash_reports,
            );
        }
        let zones = self.deployment.manifest.zones.clone();
        self.previous_views =
            zones.into_iter().map(|zone| (zone.clone(), Arc::new(self.zone_view(zone)))).collect();
    }

    fn zone_view(&self, zone: ZoneId) -> ZoneView {
        let instance = |index: usize, entry: &Entry| {
            let id = format!("instance-{index}").parse().expect("the id has only allowed characters");
            (id, InstanceView { entry: entry.addr.clone(), peer: String::new(), live: entry.up })
        };
        let in_zone = self.entries.iter().enumerate().filter(|(_, entry)| entry.zone == zone);
        let instances: IndexMap<_, _> = in_zone.map(|(index, entry)| instance(index, entry)).collect();
        let endpoints = self.deployment.endpoints.iter().zip(&self.engines);
        let endpoints = endpoints.filter(|((_, endpoint_zone, _), _)| *endpoint_zone == zone).map(
            |((id, _, resident), engine)| {
                let state = if engine.is_up() { EndpointState::Live } else { EndpointState::Down };
                let resident = resident
                    .iter()
                    .map(|model| resident_from_manifest(&self.deployment.manifest, model))
                    .collect();
                let view = EndpointView {
                    service: "llm".parse().expect("the id has only allowed characters"),
                    addr: id.to_string(),
                    incarnation: engine.incarnation(),
                    state,
                    resident,
                    load: engine.load(),
                };
                (id.clone(), view)
            },
        );
        ZoneView {
            fence: Fence::first(1),
            version: Version(self.now.0),
            leader: "leader".parse().expect("the id has only allowed characters"),
            instances,
            endpoints: endpoints.collect(),
            blocked: IndexMap::new(),
            reasons: IndexMap::new(),
            zone,
        }
    }
}
