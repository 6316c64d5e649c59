use carobwick_derive::data;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::EndpointId;
use crate::Incarnation;
use crate::LoadReport;
use crate::gateway::EndpointTable;

/// Load that one incarnation of an endpoint reported to some instance.
#[data]
#[derive(Copy)]
pub struct SharedLoad {
    /// Hash of the endpoint and its incarnation, which keeps the messages of a large fleet small.
    pub key: u32,
    /// Number of requests that run there.
    pub running: u32,
    /// Number of requests that are queued there.
    pub queued: u32,
}

/// Buffers the newest load of each endpoint until it is shared with other instances.
#[derive(Debug, Default)]
pub struct PendingLoads {
    loads: IndexMap<u32, SharedLoad>,
}

impl SharedLoad {
    /// Returns the part of the report of an endpoint that is shared with other instances.
    pub fn new(id: &EndpointId, incarnation: Incarnation, load: LoadReport) -> Self {
        Self { key: load_key(id, incarnation), running: load.running, queued: load.queued }
    }

    /// Returns the report of the endpoint, with defaults for the parts that are not shared.
    pub fn report(&self) -> LoadReport {
        LoadReport { running: self.running, queued: self.queued, ..LoadReport::default() }
    }
}

impl PendingLoads {
    /// Adds a load, which replaces an earlier one of the same endpoint.
    pub fn insert(&mut self, load: SharedLoad) {
        self.loads.insert(load.key, load);
    }

    /// Returns the loads that were added since the last call.
    pub fn take(&mut self) -> Vec<SharedLoad> {
        std::mem::take(&mut self.loads).into_values().collect()
    }
}

/// Returns the loads with the endpoints that they belong to. Loads of endpoints that have left or are not
/// known yet are left out.
pub fn resolve_loads<'a>(
    loads: &'a [SharedLoad],
    endpoints: &'a EndpointTable,
) -> impl Iterator<Item = (&'a EndpointId, Incarnation, LoadReport)> {
    let keys: IndexMap<u32, (&EndpointId, Incarnation)> = endpoints
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
