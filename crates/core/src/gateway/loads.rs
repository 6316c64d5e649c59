use carobwick_derive::data;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::EndpointId;
use crate::Incarnation;
use crate::LoadReport;
use crate::gateway::EndpointTable;

/// Load that one run of an endpoint reported to some instance.
#[data]
#[derive(Copy)]
pub struct SharedLoad {
    /// Hash of the endpoint and its run; it keeps the news of a large fleet small.
    pub key: u32,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub queued: u32,
}

/// Newest load of each endpoint since it was last passed on.
#[derive(Debug, Default)]
pub struct PendingLoads {
    loads: IndexMap<u32, SharedLoad>,
}

impl SharedLoad {
    /// Returns what is passed on of an endpoint's report.
    pub fn new(id: &EndpointId, incarnation: Incarnation, load: LoadReport) -> Self {
        Self { key: load_key(id, incarnation), running: load.running, queued: load.queued }
    }

    /// Returns the report as the endpoint gave it, as far as it was passed on.
    pub fn report(&self) -> LoadReport {
        LoadReport { running: self.running, queued: self.queued, ..LoadReport::default() }
    }
}

impl PendingLoads {
    /// Takes a load, in place of an earlier one of the same endpoint.
    pub fn insert(&mut self, load: SharedLoad) {
        self.loads.insert(load.key, load);
    }

    /// Returns the loads since the last call.
    pub fn take(&mut self) -> Vec<SharedLoad> {
        std::mem::take(&mut self.loads).into_values().collect()
    }
}

/// Returns the endpoints that the loads belong to; others have left or are not known yet.
pub fn resolve_loads<'a>(
    loads: &'a [SharedLoad],
    roster: &'a EndpointTable,
) -> impl Iterator<Item = (&'a EndpointId, Incarnation, LoadReport)> {
    let keys: IndexMap<u32, (&EndpointId, Incarnation)> = roster
        .iter()
        .map(|entry| (load_key(&entry.id, entry.incarnation), (&entry.id, entry.incarnation)))
        .collect();
    loads.iter().filter_map(move |load| {
        keys.get(&load.key).map(|(id, incarnation)| (*id, *incarnation, load.report()))
    })
}

fn load_key(id: &EndpointId, incarnation: Incarnation) -> u32 {
    xxh3_64_with_seed(id.as_str().as_bytes(), incarnation.0) as u32
}
