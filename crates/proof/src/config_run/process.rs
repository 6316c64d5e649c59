use carobwick_core::EndpointId;
use carobwick_core::EndpointState;
use carobwick_core::EndpointView;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::InstanceId;
use carobwick_core::InstanceView;
use carobwick_core::LoadReport;
use carobwick_core::PeerAddresses;
use carobwick_core::SharedState;
use carobwick_core::Time;
use carobwick_core::Version;
use carobwick_core::ZoneId;
use carobwick_core::ZoneView;
use carobwick_core::watches_config;
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

pub(crate) const ZONES: usize = 3;
pub(crate) const PROCESSES_PER_ZONE: usize = 4;
pub(crate) const ENDPOINTS_PER_ZONE: usize = 3;

/// A planner process with the state that it shares with others.
#[derive(Debug)]
pub(crate) struct Process {
    pub index: usize,
    pub instance: InstanceId,
    pub state: SharedState,
    /// Number of times the process was replaced; events of earlier incarnations are dropped.
    pub incarnation: u64,
    pub up_since: Time,
    /// Highest version in force in this incarnation.
    pub highest_version: Option<Version>,
    /// Highest version in force in any incarnation.
    pub highest_ever: Option<Version>,
    /// Rank of each zone's view in this incarnation.
    pub view_ranks: IndexMap<ZoneId, (Fence, Version)>,
    /// State at an earlier time, with which the process may restart.
    pub snapshot: SharedState,
}

impl Process {
    pub fn new(index: usize) -> Self {
        Self {
            index,
            instance: instance(index),
            state: SharedState::default(),
            incarnation: 0,
            up_since: Time::ZERO,
            highest_version: None,
            highest_ever: None,
            view_ranks: IndexMap::new(),
            snapshot: SharedState::default(),
        }
    }

    pub fn zone(&self) -> usize {
        self.index / PROCESSES_PER_ZONE
    }

    /// Replaces the process by a new incarnation that starts with the given state.
    pub fn restart(&mut self, state: SharedState, now: Time) {
        self.state = state;
        self.incarnation += 1;
        self.up_since = now;
        self.highest_version = self.version();
        self.view_ranks = self.state.digest().views;
    }

    pub fn version(&self) -> Option<Version> {
        self.state.config.as_ref().map(|record| record.version)
    }

    /// Chooses peers as the planner does: two in its own zone, one in another, and seed peers while too few
    /// are known.
    pub fn choose_peers(&self, rng: &mut ChaCha8Rng) -> Vec<usize> {
        let peers = PeerAddresses::from_views(&self.state.views, &zone(self.zone()), &self.instance);
        let index = |peer: &String| peer.parse::<usize>().unwrap_or(self.index);
        let mut chosen: Vec<usize> = peers.local.choose_multiple(rng, 2).map(index).collect();
        chosen.extend(peers.remote.choose(rng).map(index));
        let member = |zone: usize, slot: usize| zone % ZONES * PROCESSES_PER_ZONE + slot % PROCESSES_PER_ZONE;
        let slot = self.index % PROCESSES_PER_ZONE;
        let seeds =
            [member(self.zone(), slot + 1), member(self.zone(), slot + 2), member(self.zone() + 1, slot)];
        let missing = 3_usize.saturating_sub(chosen.len());
        chosen.extend(seeds.choose_multiple(rng, missing));
        chosen
    }

    pub fn is_watcher(&self) -> bool {
        let view = self.state.views.get(&zone(self.zone()));
        watches_config(view.map(AsRef::as_ref), &self.instance)
    }
}

pub(crate) fn zone(index: usize) -> ZoneId {
    parse(&format!("z{index}"))
}

pub(crate) fn instance(index: usize) -> InstanceId {
    parse(&format!("i{index:02}"))
}

pub(crate) fn endpoint(index: usize) -> EndpointId {
    parse(&format!("e{index}"))
}

/// Returns the view that the leader of a zone, its first process, publishes in the given term.
pub(crate) fn zone_view(zone_index: usize, term: u64) -> ZoneView {
    let first = zone_index * PROCESSES_PER_ZONE;
    let instances = (first..first + PROCESSES_PER_ZONE).map(|index| {
        (instance(index), InstanceView { entry: String::new(), peer: index.to_string(), live: true })
    });
    let endpoints = (zone_index * ENDPOINTS_PER_ZONE..(zone_index + 1) * ENDPOINTS_PER_ZONE).map(|index| {
        let view = EndpointView {
            service: parse("llm"),
            addr: String::new(),
            incarnation: Incarnation(term),
            state: EndpointState::Live,
            resident: Vec::new(),
            load: LoadReport::default(),
        };
        (endpoint(index), view)
    });
    ZoneView {
        zone: zone(zone_index),
        fence: Fence::first(term),
        version: Version(1),
        leader: instance(first),
        instances: instances.collect(),
        endpoints: endpoints.collect(),
        blocked: IndexMap::new(),
        reasons: IndexMap::new(),
    }
}

/// Parses an id that is known to be valid.
pub(crate) fn parse<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| unreachable!("`{text}` is a valid id"))
}
