use carobwick_derive::data;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::EndpointId;
use crate::Incarnation;
use crate::LoadReport;
use crate::gateway::EndpointTable;
use crate::gateway::Pace;

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

/// Load that an endpoint reports, with the pace of its machine if it names one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PacedLoad {
    /// The load.
    pub load: LoadReport,
    /// The pace.
    pub pace: Option<Pace>,
}

/// Loads for other instances, with the paces in the same order.
///
/// The paces are a list of their own at the end of a message, since an instance of the version before reads the loads
/// without them. The list is empty if no endpoint names a pace.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SharedLoads {
    /// The loads.
    pub loads: Vec<SharedLoad>,
    /// The pace of each, or [`Pace::UNKNOWN`].
    pub paces: Vec<Pace>,
}

/// Buffers the newest load of each endpoint until it is shared with other instances.
#[derive(Debug, Default)]
pub struct PendingLoads {
    loads: IndexMap<u32, (SharedLoad, Option<Pace>)>,
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

impl From<LoadReport> for PacedLoad {
    fn from(load: LoadReport) -> Self {
        Self { load, pace: None }
    }
}

impl SharedLoads {
    /// Returns each load with its pace, if it has one.
    pub fn iter(&self) -> impl Iterator<Item = (SharedLoad, Option<Pace>)> {
        let paces = self.paces.iter().map(|pace| pace.known()).chain(std::iter::repeat(None));
        self.loads.iter().copied().zip(paces)
    }
}

impl PendingLoads {
    /// Adds a load, which replaces an earlier one of the same endpoint.
    pub fn insert(&mut self, load: SharedLoad, pace: Option<Pace>) {
        self.loads.insert(load.key, (load, pace));
    }

    /// Adds all loads of a message.
    pub fn extend(&mut self, shared: &SharedLoads) {
        for (load, pace) in shared.iter() {
            self.insert(load, pace);
        }
    }

    /// Returns the loads that were added since the last call.
    pub fn take(&mut self) -> SharedLoads {
        let (loads, paces): (_, Vec<_>) = std::mem::take(&mut self.loads).into_values().unzip();
        let is_known = paces.iter().any(Option::is_some);
        let paces = paces.into_iter().filter(|_| is_known);
        SharedLoads { loads, paces: paces.map(|pace| pace.unwrap_or(Pace::UNKNOWN)).collect() }
    }
}

/// Returns the loads with the endpoints that they belong to. Loads of endpoints that have left or are not
/// known yet are left out.
pub fn resolve_loads<'a>(
    shared: &'a SharedLoads,
    endpoints: &'a EndpointTable,
) -> impl Iterator<Item = (&'a EndpointId, Incarnation, PacedLoad)> {
    let keys: IndexMap<u32, (&EndpointId, Incarnation)> = endpoints
        .iter()
        .map(|entry| (load_key(&entry.id, entry.incarnation), (&entry.id, entry.incarnation)))
        .collect();
    shared.iter().filter_map(move |(load, pace)| {
        let (id, incarnation) = keys.get(&load.key)?;
        Some((*id, *incarnation, PacedLoad { load: load.report(), pace }))
    })
}

fn load_key(id: &EndpointId, incarnation: Incarnation) -> u32 {
    xxh3_64_with_seed(id.as_str().as_bytes(), incarnation.0) as u32
}
