use std::net::SocketAddr;
use std::time::Duration;

use carobwick_derive::data;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::EndpointId;
use crate::EndpointState;
use crate::Incarnation;
use crate::Millis;
use crate::ModelId;
use crate::ServiceId;
use crate::Time;
use crate::ZoneId;
use crate::gateway::Weights;

/// Time after the store's return in which entries that lapsed meanwhile come back.
const SETTLE: Duration = Duration::from_secs(2);

/// Time for which the leader's word on a residency stands against entries, which show a state of seconds ago.
const LEADER_WORD: Duration = Duration::from_secs(3);

/// Time after which weights that an endpoint refused count as held again, if nothing says otherwise; a refusal while an
/// adapter is on its way says nothing for long.
const REFUSED: Duration = Duration::from_secs(2);

/// What an endpoint says of itself in the list of endpoints.
#[data]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// Run of its process; a later run has a higher number.
    pub incarnation: Incarnation,
    /// Number of the heartbeat that wrote the entry, within its run.
    pub heartbeat: u64,
    /// Its service.
    pub service: ServiceId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Time until it is taken away, if that is known.
    pub remaining: Option<Millis>,
    /// What it holds, if it is an engine.
    pub resident: ResidentModels,
}

/// Models and adapters of an engine.
#[data]
#[derive(Default)]
pub struct ResidentModels {
    /// Adapters by model.
    pub models: IndexMap<ModelId, IndexSet<ModelId>>,
    /// Models of which the engine keeps a copy in host memory or on disk, from which they load faster.
    pub cached: IndexSet<ModelId>,
}

/// News about one endpoint.
#[data]
pub enum EndpointChange {
    /// Its entry was written.
    Updated(Box<EndpointEntry>),
    /// Its entry was removed.
    Removed(EndpointId),
}

/// Endpoints that exist, as far as an instance knows.
///
/// What was learnt about a run that leaves is never unlearnt from an older entry, and entries that disappear while
/// the store was away are kept until the store has been back for 2 s.
#[derive(Debug, Default)]
pub struct EndpointTable {
    entries: IndexMap<EndpointId, Known>,
    /// Highest run seen of each endpoint.
    runs: IndexMap<EndpointId, Incarnation>,
    left: IndexSet<(EndpointId, Incarnation)>,
    settled: Time,
    doubtful: IndexSet<EndpointId>,
    refused: Vec<Refused>,
}

/// Weights that a run refused although its entry names them.
#[derive(Debug)]
struct Refused {
    id: EndpointId,
    run: Incarnation,
    weights: Weights,
    at: Time,
}

#[derive(Debug)]
struct Known {
    entry: EndpointEntry,
    /// When the leader spoke about this run's residency.
    told: Option<Time>,
}

impl ResidentModels {
    /// Returns whether a request for these weights can run.
    pub fn has(&self, weights: &Weights) -> bool {
        let Some(adapters) = self.models.get(&weights.model) else { return false };
        weights.adapter.as_ref().is_none_or(|adapter| adapters.contains(adapter))
    }

    fn add(&mut self, weights: &Weights) {
        match &weights.adapter {
            Some(adapter) => {
                if let Some(adapters) = self.models.get_mut(&weights.model) {
                    adapters.insert(adapter.clone());
                }
            }
            None => {
                self.models.entry(weights.model.clone()).or_default();
            }
        }
    }

    /// Returns the number of adapters of all models.
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(IndexSet::len).sum()
    }
}

impl EndpointTable {
    /// Takes the whole list.
    pub fn replace(&mut self, entries: Vec<EndpointEntry>, now: Time) {
        let present: IndexSet<EndpointId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.update(entry, now);
        }
        let missing: Vec<EndpointId> =
            self.entries.keys().filter(|id| !present.contains(*id)).cloned().collect();
        for id in missing {
            self.remove(&id, now);
        }
    }

    /// Takes one change of the list.
    pub fn apply(&mut self, news: EndpointChange, now: Time) {
        match news {
            EndpointChange::Updated(entry) => self.update(*entry, now),
            EndpointChange::Removed(id) => self.remove(&id, now),
        }
    }

    /// Takes the leader's word on what an engine holds.
    pub fn set_resident(&mut self, id: &EndpointId, run: Incarnation, holding: &ResidentModels, now: Time) {
        if let Some(known) = self.entries.get_mut(id)
            && known.entry.incarnation == run
        {
            known.entry.resident.models.clone_from(&holding.models);
            known.told = Some(now);
            self.refused.retain(|refused| refused.id != *id);
        }
    }

    /// Notes that the store answers again after it was away.
    pub fn store_recovered(&mut self, now: Time) {
        self.settled = now + SETTLE;
    }

    /// Drops entries that did not come back in time and returns them; refused weights count as held again in time.
    pub fn expire(&mut self, now: Time) -> Vec<EndpointId> {
        for refused in self.refused.extract_if(.., |refused| now >= refused.at + REFUSED) {
            if let Some(known) = self.entries.get_mut(&refused.id)
                && known.entry.incarnation == refused.run
            {
                known.entry.resident.add(&refused.weights);
            }
        }
        if now < self.settled || self.doubtful.is_empty() {
            return Vec::new();
        }
        let gone: Vec<EndpointId> = self.doubtful.drain(..).collect();
        for id in &gone {
            self.forget(id);
        }
        gone
    }

    /// Notes that an endpoint refuses the given model or adapter, which its entry names.
    pub fn mark_missing(&mut self, id: &EndpointId, weights: &Weights, now: Time) {
        let Some(known) = self.entries.get_mut(id).filter(|known| known.entry.resident.has(weights)) else {
            return;
        };
        self.refused.push(Refused {
            id: id.clone(),
            run: known.entry.incarnation,
            weights: weights.clone(),
            at: now,
        });
        let models = &mut known.entry.resident.models;
        match &weights.adapter {
            Some(adapter) => {
                if let Some(adapters) = models.get_mut(&weights.model) {
                    adapters.swap_remove(adapter);
                }
            }
            None => {
                models.swap_remove(&weights.model);
            }
        }
    }

    /// Marks the run of an endpoint as leaving, as the endpoint itself said; returns whether that is news.
    pub fn mark_leaving(&mut self, id: &EndpointId, run: Incarnation) -> bool {
        let is_new = self.left.insert((id.clone(), run));
        if let Some(known) = self.entries.get_mut(id)
            && known.entry.incarnation == run
        {
            known.entry.state = EndpointState::Leaving;
        }
        is_new
    }

    /// Returns the endpoints that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = (EndpointId, Incarnation)> {
        let leaving = self.iter().filter(|entry| entry.state == EndpointState::Leaving);
        leaving.map(|entry| (entry.id.clone(), entry.incarnation))
    }

    /// Returns whether a run of an endpoint is known and takes new requests.
    pub fn is_live(&self, id: &EndpointId, run: Incarnation) -> bool {
        self.get(id).is_some_and(|entry| entry.incarnation == run && entry.state == EndpointState::Live)
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointEntry> {
        self.entries.get(id).map(|known| &known.entry)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values().map(|known| &known.entry)
    }

    /// Returns the endpoints of a service that take new requests.
    pub fn live<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a EndpointEntry> {
        self.iter().filter(move |entry| entry.service == *service && entry.state == EndpointState::Live)
    }

    fn update(&mut self, mut entry: EndpointEntry, now: Time) {
        let newest = self.runs.entry(entry.id.clone()).or_insert(entry.incarnation);
        if entry.incarnation < *newest {
            return;
        }
        *newest = entry.incarnation;
        let run = (entry.id.clone(), entry.incarnation);
        if entry.state == EndpointState::Leaving {
            self.left.insert(run.clone());
        }
        if self.left.contains(&run) {
            entry.state = EndpointState::Leaving;
        }
        self.doubtful.swap_remove(&entry.id);
        match self.entries.get_mut(&entry.id) {
            Some(known)
                if known.entry.incarnation == entry.incarnation
                    && entry.heartbeat < known.entry.heartbeat =>
            {
                // A late write of an older heartbeat; it can only say that the run is leaving.
                if entry.state == EndpointState::Leaving {
                    known.entry.state = entry.state;
                }
            }
            Some(known) if known.entry.incarnation == entry.incarnation => {
                if known.merge(entry, now) {
                    let id = &known.entry.id;
                    self.refused.retain(|refused| refused.id != *id);
                }
            }
            _ => {
                self.entries.insert(entry.id.clone(), Known { entry, told: None });
            }
        }
    }

    fn remove(&mut self, id: &EndpointId, now: Time) {
        if now < self.settled {
            self.doubtful.insert(id.clone());
        } else {
            self.forget(id);
        }
    }

    fn forget(&mut self, id: &EndpointId) {
        self.doubtful.swap_remove(id);
        self.entries.shift_remove(id);
    }
}

impl Known {
    /// Takes a later entry of the same run; returns whether its holding counts.
    fn merge(&mut self, mut entry: EndpointEntry, now: Time) -> bool {
        let counts = self.told.is_none_or(|at| now >= at + LEADER_WORD);
        if !counts {
            entry.resident = self.entry.resident.clone();
        }
        self.entry = entry;
        counts
    }
}
