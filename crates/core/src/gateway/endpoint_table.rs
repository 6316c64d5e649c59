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
use crate::gateway::ServedVersion;
use crate::gateway::SoftwareVersion;
use crate::gateway::VersionCount;
use crate::gateway::Weights;
use crate::gateway::departures::Departures;
use crate::gateway::version_history::VersionHistory;

/// Time after an outage of the store within which entries that expired during the outage may be added again.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Time for which an update of the leader on the resident models of an engine takes precedence over entries,
/// which show a state of seconds ago.
const LEADER_PRECEDENCE: Duration = Duration::from_secs(3);

/// Time after which weights that an endpoint refused count as resident again unless an update says otherwise.
/// A refusal while an adapter is being loaded holds only for a short time.
const REFUSAL_LIFETIME: Duration = Duration::from_secs(2);

/// Entry of an endpoint in the list of endpoints, as the endpoint wrote it.
#[data]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// Incarnation of its process; a later one has a higher number.
    pub incarnation: Incarnation,
    /// Number of the heartbeat that wrote the entry, within its incarnation.
    pub heartbeat: u64,
    /// Its service.
    pub service: ServiceId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Time until it is removed, if that is known.
    pub remaining: Option<Millis>,
    /// Resident models and adapters, if it is an engine.
    pub resident: ResidentModels,
    /// Version of its software, if known. It is no part of the serialized entry, since instances of the version before
    /// would read what follows the entry as another field.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

/// Models and adapters that are resident on an engine, and copies of weights that it can load fast.
#[data]
#[derive(Default)]
pub struct ResidentModels {
    /// Resident models, each with its resident adapters.
    pub models: IndexMap<ModelId, IndexSet<ModelId>>,
    /// Models of which the engine has a copy in host memory or on disk, from which they load faster.
    pub cached: IndexSet<ModelId>,
}

/// Change of one entry in the list of endpoints.
#[data]
pub enum EndpointChange {
    /// Its entry was written.
    Updated(Box<EndpointEntry>),
    /// Its entry was removed.
    Removed(EndpointId),
}

/// Table of the endpoints that an instance knows.
///
/// An incarnation that is leaving never becomes live again, even if an older entry arrives. Entries that
/// disappear during an outage of the store are kept until the store has been reachable again for 2 s. An endpoint
/// that was removed before the store returned from an older copy comes back only if it is alive.
#[derive(Debug, Default)]
pub struct EndpointTable {
    entries: IndexMap<EndpointId, TableRow>,
    /// Highest incarnation seen of each endpoint.
    latest: IndexMap<EndpointId, Incarnation>,
    leaving: IndexSet<(EndpointId, Incarnation)>,
    recovery_end: Time,
    pending_removals: IndexSet<EndpointId>,
    refusals: Vec<Refusal>,
    departures: Departures,
    version_history: VersionHistory,
}

/// Weights that an incarnation refused although its entry lists them.
#[derive(Debug)]
struct Refusal {
    id: EndpointId,
    incarnation: Incarnation,
    weights: Weights,
    at: Time,
}

#[derive(Debug)]
struct TableRow {
    entry: EndpointEntry,
    /// Time of the last update of the leader on the resident models of this incarnation.
    leader_update: Option<Time>,
}

impl ResidentModels {
    /// Returns whether a request for the given model and adapter can run.
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

    /// Returns the number of resident adapters of all models.
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(IndexSet::len).sum()
    }
}

impl EndpointTable {
    /// Applies the whole list, as read from the store; entries that are missing in it are removed.
    pub fn replace(&mut self, entries: Vec<EndpointEntry>, now: Time) {
        let present: IndexSet<EndpointId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.update(entry, now);
        }
        let missing: Vec<EndpointId> = self
            .entries
            .keys()
            .chain(self.departures.held())
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
    }

    /// Applies one change of the list.
    pub fn apply(&mut self, change: EndpointChange, now: Time) {
        match change {
            EndpointChange::Updated(entry) => self.update(*entry, now),
            EndpointChange::Removed(id) => self.remove(&id, now),
        }
    }

    /// Sets the resident models of an engine to those that the leader has sent.
    pub fn set_resident(
        &mut self,
        id: &EndpointId,
        incarnation: Incarnation,
        resident: &ResidentModels,
        now: Time,
    ) {
        if let Some(row) = self.entries.get_mut(id)
            && row.entry.incarnation == incarnation
        {
            row.entry.resident.models.clone_from(&resident.models);
            row.leader_update = Some(now);
            self.refusals.retain(|refusal| refusal.id != *id);
        }
    }

    /// Records that the store is reachable again after an outage.
    pub fn record_recovery(&mut self, now: Time) {
        self.recovery_end = now + RECOVERY_TIME;
    }

    /// Records that the store has returned from an older copy, which may list endpoints that have left since.
    pub fn record_return(&mut self, now: Time) {
        self.departures.record_return(now);
    }

    /// Removes entries that were not added again in time after an outage of the store, and returns their
    /// ids.
    ///
    /// Weights that were refused some time ago count as resident again.
    pub fn expire(&mut self, now: Time) -> Vec<EndpointId> {
        for refusal in self.refusals.extract_if(.., |refusal| now >= refusal.at + REFUSAL_LIFETIME) {
            if let Some(row) = self.entries.get_mut(&refusal.id)
                && row.entry.incarnation == refusal.incarnation
            {
                row.entry.resident.add(&refusal.weights);
            }
        }
        for entry in self.departures.take_listed(now) {
            self.update(entry, now);
        }
        if now < self.recovery_end || self.pending_removals.is_empty() {
            return Vec::new();
        }
        let expired: Vec<EndpointId> = self.pending_removals.drain(..).collect();
        for id in &expired {
            self.remove_now(id, now);
        }
        expired
    }

    /// Records that an endpoint refuses the given model or adapter, which its entry lists.
    pub fn mark_missing(&mut self, id: &EndpointId, weights: &Weights, now: Time) {
        let Some(row) = self.entries.get_mut(id).filter(|row| row.entry.resident.has(weights)) else {
            return;
        };
        self.refusals.push(Refusal {
            id: id.clone(),
            incarnation: row.entry.incarnation,
            weights: weights.clone(),
            at: now,
        });
        let models = &mut row.entry.resident.models;
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

    /// Marks an incarnation of an endpoint as leaving, as the endpoint itself announced; returns whether it
    /// was not marked before.
    pub fn mark_leaving(&mut self, id: &EndpointId, incarnation: Incarnation) -> bool {
        let is_new = self.leaving.insert((id.clone(), incarnation));
        if let Some(row) = self.entries.get_mut(id)
            && row.entry.incarnation == incarnation
        {
            row.entry.state = EndpointState::Leaving;
        }
        is_new
    }

    /// Returns the endpoints that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = (EndpointId, Incarnation)> {
        let leaving = self.iter().filter(|entry| entry.state == EndpointState::Leaving);
        leaving.map(|entry| (entry.id.clone(), entry.incarnation))
    }

    /// Returns whether an incarnation of an endpoint is known and accepts new requests.
    pub fn is_live(&self, id: &EndpointId, incarnation: Incarnation) -> bool {
        self.get(id)
            .is_some_and(|entry| entry.incarnation == incarnation && entry.state == EndpointState::Live)
    }

    /// Returns the entry of an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointEntry> {
        self.entries.get(id).map(|row| &row.entry)
    }

    /// Returns the entries of all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values().map(|row| &row.entry)
    }

    /// Returns the endpoints of a service that accept new requests.
    pub fn live<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a EndpointEntry> {
        self.iter().filter(move |entry| entry.service == *service && entry.state == EndpointState::Live)
    }

    /// Returns how many software versions may have begun a stream of a service.
    pub fn version_count(&self, service: &ServiceId, now: Time) -> VersionCount<'_> {
        VersionCount::of(self.versions(now).filter(|(of, _)| *of == service).map(|(_, version)| version))
    }

    /// Returns the services of which several versions may have begun a stream.
    pub fn services_with_several_versions(&self, now: Time) -> Vec<ServiceId> {
        let mut first: IndexMap<&ServiceId, &Option<SoftwareVersion>> = IndexMap::new();
        let mut several: IndexSet<&ServiceId> = IndexSet::new();
        for (service, version) in self.versions(now) {
            if *first.entry(service).or_insert(version) != version {
                several.insert(service);
            }
        }
        several.into_iter().cloned().collect()
    }

    /// Returns the versions of all services that serve or have served in the last minute.
    pub fn served_versions(&self, now: Time) -> Vec<ServedVersion> {
        let present: IndexSet<_> = self.iter().map(|entry| (&entry.service, &entry.version)).collect();
        let past = self.version_history.iter(now);
        let ended = past.filter(|(service, version, _)| !present.contains(&(*service, *version)));
        let ended = ended.map(|(service, version, at)| (service, version, Some(now - at)));
        let serving = present.iter().map(|(service, version)| (*service, *version, None));
        let served = serving.chain(ended).map(|(service, version, age)| ServedVersion {
            service: service.clone(),
            version: version.clone(),
            ended: age.map(|age| Millis(age.as_millis() as u64)),
        });
        served.collect()
    }

    /// Records the versions that another instance knew. One that served then may have ended only now.
    pub fn record_served_versions(&mut self, served: Vec<ServedVersion>, now: Time) {
        for ServedVersion { service, version, ended } in served {
            let at = now - ended.map_or(Duration::ZERO, Millis::duration);
            self.version_history.record_end(service, version, at, now);
        }
    }

    fn versions(&self, now: Time) -> impl Iterator<Item = (&ServiceId, &Option<SoftwareVersion>)> {
        let present = self.iter().map(|entry| (&entry.service, &entry.version));
        present.chain(self.version_history.iter(now).map(|(service, version, _)| (service, version)))
    }

    fn record_end(&mut self, entry: &EndpointEntry, now: Time) {
        self.version_history.record_end(entry.service.clone(), entry.version.clone(), now, now);
    }

    fn update(&mut self, mut entry: EndpointEntry, now: Time) {
        let newest = self.latest.entry(entry.id.clone()).or_insert(entry.incarnation);
        if entry.incarnation < *newest {
            return;
        }
        *newest = entry.incarnation;
        if self.departures.holds(&entry, now) {
            return;
        }
        let key = (entry.id.clone(), entry.incarnation);
        if entry.state == EndpointState::Leaving {
            self.leaving.insert(key.clone());
        }
        if self.leaving.contains(&key) {
            entry.state = EndpointState::Leaving;
        }
        self.pending_removals.swap_remove(&entry.id);
        match self.entries.get_mut(&entry.id) {
            Some(row)
                if row.entry.incarnation == entry.incarnation && entry.heartbeat < row.entry.heartbeat =>
            {
                // A late write of an older heartbeat, of which only the state "leaving" still counts.
                if entry.state == EndpointState::Leaving {
                    row.entry.state = entry.state;
                }
            }
            Some(row) if row.entry.incarnation == entry.incarnation => {
                if row.merge(entry, now) {
                    let id = &row.entry.id;
                    self.refusals.retain(|refusal| refusal.id != *id);
                }
            }
            _ => {
                let row = TableRow { entry, leader_update: None };
                if let Some(before) = self.entries.insert(row.entry.id.clone(), row) {
                    self.record_end(&before.entry, now);
                }
            }
        }
    }

    fn remove(&mut self, id: &EndpointId, now: Time) {
        self.departures.release(id);
        if now < self.recovery_end {
            self.pending_removals.insert(id.clone());
        } else {
            self.remove_now(id, now);
        }
    }

    fn remove_now(&mut self, id: &EndpointId, now: Time) {
        self.pending_removals.swap_remove(id);
        if let Some(row) = self.entries.shift_remove(id) {
            self.record_end(&row.entry, now);
            self.departures.record_removal(id, row.entry.incarnation, now);
        }
    }
}

impl TableRow {
    /// Applies a later entry of the same incarnation; returns whether its resident models are used.
    fn merge(&mut self, mut entry: EndpointEntry, now: Time) -> bool {
        let is_newer = self.leader_update.is_none_or(|at| now >= at + LEADER_PRECEDENCE);
        if !is_newer {
            entry.resident = self.entry.resident.clone();
        }
        entry.version = entry.version.or_else(|| self.entry.version.take());
        self.entry = entry;
        is_newer
    }
}
