use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::Artifact;
use crate::DrainSet;
use crate::DrainTarget;
use crate::EndpointId;
use crate::EndpointState;
use crate::EndpointView;
use crate::Fingerprint;
use crate::Incarnation;
use crate::Manifest;
use crate::ModelId;
use crate::Priority;
use crate::RouteTarget;
use crate::ServiceId;
use crate::ServiceKind;
use crate::Time;
use crate::ZoneId;
use crate::ZoneView;
use crate::breaker::Breaker;
use crate::load::EndpointLoad;
use crate::losses::LostRequests;
use crate::prefill::PrefillEstimator;

/// Destinations to which an entry can send requests: endpoints of its zone and entries of other zones.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub targets: IndexMap<RouteTarget, TargetSpec>,
    pub endpoints: IndexMap<EndpointId, Endpoint>,
    pub zones: IndexMap<ZoneId, RemoteZone>,
    /// Indices of the endpoints that hold each base model or plain service. A group is one entry of this map
    /// and is identified by its index.
    groups: IndexMap<RouteTarget, Vec<usize>>,
    /// Services, identified by their index in this map.
    services: IndexMap<ServiceId, ()>,
}

/// Routing data of a model, adapter or plain service, from the manifest and the views.
#[derive(Debug)]
pub(crate) struct TargetSpec {
    /// Index in `Fleet::groups`; a base model and its adapters are one group and share capacity.
    pub group: usize,
    /// Index in `Fleet::services`; several groups may share the endpoints of a service.
    pub service: usize,
    /// Number of requests that one endpoint runs at the same time.
    pub slots: f64,
    /// Target in seconds for the time to the first token, or to the complete response of a plain service.
    pub target_latency: f64,
    /// Target in seconds for the time between tokens; zero for a plain service.
    pub token_gap: f64,
    pub priority: Priority,
    pub retiring: bool,
    /// Indices of the endpoints that hold the target.
    pub holders: Vec<usize>,
    /// Indices of the endpoints that hold the base model; empty for a plain service.
    pub base_holders: Vec<usize>,
    /// Slots and load in each other zone.
    pub remote: RemoteLoads,
}

/// Slots and load of the endpoints of a target in another zone, from the view of that zone.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RemoteLoad {
    /// Number of requests that the endpoints run at the same time.
    pub slots: f64,
    /// Number of running and queued requests.
    pub load: f64,
}

/// An endpoint of the entry's own zone.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub addr: String,
    pub service: ServiceId,
    pub incarnation: Incarnation,
    /// Whether the endpoint is live and not drained.
    pub usable: bool,
    pub load: EndpointLoad,
    pub breaker: Breaker,
    pub prefill: PrefillEstimator,
    /// Average time in seconds that requests of this entry took on the endpoint.
    pub service_time: Option<f64>,
    /// Fingerprints of suspect requests of this entry that run on the endpoint.
    pub suspects: Vec<Fingerprint>,
    pub lost: LostRequests,
    /// Seed of the endpoint in rendezvous hashing: a hash of its id.
    pub seed: u64,
}

/// An availability zone other than the entry's own.
#[derive(Debug, Default)]
pub(crate) struct RemoteZone {
    /// Addresses of the live entries of the zone.
    pub entries: Vec<String>,
    /// Number of requests of this entry forwarded to the zone, by group.
    pub forwarded: IndexMap<usize, u32>,
    /// Time until which no request is forwarded after the zone refused one, by group.
    pub paused_until: IndexMap<usize, Time>,
}

type RemoteLoads = IndexMap<ZoneId, RemoteLoad>;

/// Where models and services are resident: endpoint indices in the own zone, loads in other zones.
///
/// The `slots` of these loads count endpoints; [`scale_slots`] converts them.
#[derive(Default)]
struct Residency {
    models: IndexMap<ModelId, Vec<usize>>,
    services: IndexMap<ServiceId, Vec<usize>>,
    remote_models: IndexMap<ModelId, RemoteLoads>,
    remote_services: IndexMap<ServiceId, RemoteLoads>,
}

impl Fleet {
    /// Rebuilds the routing data from the manifest, the views of all zones and the drained targets.
    pub fn set_view(
        &mut self,
        manifest: &Manifest,
        own_zone: &ZoneId,
        views: &IndexMap<ZoneId, Arc<ZoneView>>,
        drains: &DrainSet,
    ) {
        self.set_endpoints(views.get(own_zone).map(|view| &view.endpoints), drains);
        self.set_zones(own_zone, views, drains);
        let residency = self.residency(own_zone, views, drains);
        self.targets.clear();
        self.groups.values_mut().for_each(Vec::clear);
        for id in manifest.models.keys().chain(manifest.adapters.keys()) {
            let Some(artifact) = manifest.find(id) else { continue };
            let (model, base, priority, retiring) = match artifact {
                Artifact::Model(model) => (model, id, model.priority, model.retiring),
                Artifact::Adapter(adapter, model) => {
                    (model, &adapter.base, adapter.priority, adapter.retiring || model.retiring)
                }
            };
            let slots = f64::from(manifest.services.get(&model.service).map_or(1, |service| service.slots));
            let base_holders = residency.models.get(base).cloned().unwrap_or_default();
            let holders = match artifact {
                Artifact::Model(_) => base_holders.clone(),
                Artifact::Adapter(..) => residency.models.get(id).cloned().unwrap_or_default(),
            };
            let spec = TargetSpec {
                group: self.group_index(&RouteTarget::Model(base.clone()), &base_holders),
                service: self.service_index(&model.service),
                slots,
                target_latency: model.first_token.duration().as_secs_f64(),
                token_gap: model.token_gap.duration().as_secs_f64(),
                priority,
                retiring,
                holders,
                base_holders,
                remote: scale_slots(residency.remote_models.get(base), slots),
            };
            self.targets.insert(RouteTarget::Model(id.clone()), spec);
        }
        for (id, service) in manifest.services.iter().filter(|(_, spec)| spec.kind == ServiceKind::Plain) {
            let slots = f64::from(service.slots);
            let holders = residency.services.get(id).cloned().unwrap_or_default();
            let spec = TargetSpec {
                group: self.group_index(&RouteTarget::Service(id.clone()), &holders),
                service: self.service_index(id),
                slots,
                target_latency: service.target.duration().as_secs_f64(),
                token_gap: 0.0,
                priority: Priority::default(),
                retiring: false,
                holders,
                base_holders: Vec::new(),
                remote: scale_slots(residency.remote_services.get(id), slots),
            };
            self.targets.insert(RouteTarget::Service(id.clone()), spec);
        }
    }

    fn set_endpoints(&mut self, views: Option<&IndexMap<EndpointId, EndpointView>>, drains: &DrainSet) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.usable = false;
        }
        for (id, view) in views.into_iter().flatten() {
            let endpoint = self.endpoints.entry(id.clone()).or_insert_with(|| Endpoint::new(id, view));
            if endpoint.incarnation != view.incarnation {
                endpoint.breaker = Breaker::default();
                endpoint.load.forget_others();
                endpoint.prefill.reset();
                endpoint.incarnation = view.incarnation;
            }
            endpoint.addr.clone_from(&view.addr);
            endpoint.service.clone_from(&view.service);
            endpoint.usable = view.state == EndpointState::Live && !is_drained(drains, id);
        }
        // An endpoint that left the view is kept while requests of this entry run on it, so that their
        // completion is counted.
        let in_view = |id: &EndpointId| views.is_some_and(|views| views.contains_key(id));
        self.endpoints.retain(|id, endpoint| in_view(id) || endpoint.load.own() > 0);
    }

    fn set_zones(&mut self, own_zone: &ZoneId, views: &IndexMap<ZoneId, Arc<ZoneView>>, drains: &DrainSet) {
        for zone in self.zones.values_mut() {
            zone.entries.clear();
        }
        for (id, view) in views.iter().filter(|(id, _)| *id != own_zone) {
            let live = view.instances.iter().filter(|(instance, instance_view)| {
                instance_view.live && !drains.is_drained(&DrainTarget::Instance((*instance).clone()))
            });
            let entries = live.map(|(_, instance_view)| instance_view.entry.clone()).collect();
            self.zones.entry(id.clone()).or_default().entries = entries;
        }
    }

    /// Returns where each model and service is resident on live endpoints that are not drained.
    fn residency(
        &self,
        own_zone: &ZoneId,
        views: &IndexMap<ZoneId, Arc<ZoneView>>,
        drains: &DrainSet,
    ) -> Residency {
        let mut found = Residency::default();
        for (zone, view) in views {
            for (id, endpoint) in &view.endpoints {
                let own = self.endpoints.get_index_of(id).filter(|_| zone == own_zone);
                if endpoint.state != EndpointState::Live || is_drained(drains, id) {
                    continue;
                }
                let models = endpoint.resident.iter().map(|resident| &resident.model);
                if let Some(index) = own {
                    models.for_each(|model| found.models.entry(model.clone()).or_default().push(index));
                    found.services.entry(endpoint.service.clone()).or_default().push(index);
                } else {
                    let load = f64::from(endpoint.load.running + endpoint.load.queued);
                    let add = |loads: &mut RemoteLoads| {
                        let remote = loads.entry(zone.clone()).or_default();
                        remote.slots += 1.0;
                        remote.load += load;
                    };
                    models.for_each(|model| add(found.remote_models.entry(model.clone()).or_default()));
                    add(found.remote_services.entry(endpoint.service.clone()).or_default());
                }
            }
        }
        found
    }

    /// Returns the indices of the endpoints that can run the requests of a group.
    pub fn holders(&self, group: usize) -> &[usize] {
        self.groups.get_index(group).map_or(&[], |(_, holders)| holders.as_slice())
    }

    fn group_index(&mut self, base: &RouteTarget, holders: &[usize]) -> usize {
        self.groups.insert_full(base.clone(), holders.to_vec()).0
    }

    fn service_index(&mut self, service: &ServiceId) -> usize {
        self.services.insert_full(service.clone(), ()).0
    }
}

impl Endpoint {
    fn new(id: &EndpointId, view: &EndpointView) -> Self {
        Self {
            addr: view.addr.clone(),
            service: view.service.clone(),
            incarnation: view.incarnation,
            usable: false,
            load: EndpointLoad::default(),
            breaker: Breaker::default(),
            prefill: PrefillEstimator::new(),
            service_time: None,
            suspects: Vec::new(),
            lost: LostRequests::default(),
            seed: xxh3_64(id.as_str().as_bytes()),
        }
    }
}

fn is_drained(drains: &DrainSet, id: &EndpointId) -> bool {
    drains.is_drained(&DrainTarget::Endpoint(id.clone()))
}

/// Returns the loads with `slots` converted from a number of endpoints, each of which has `slots` slots.
fn scale_slots(loads: Option<&RemoteLoads>, slots: f64) -> RemoteLoads {
    let scale = |(zone, load): (&ZoneId, &RemoteLoad)| {
        (zone.clone(), RemoteLoad { slots: load.slots * slots, load: load.load })
    };
    loads.into_iter().flatten().map(scale).collect()
}
