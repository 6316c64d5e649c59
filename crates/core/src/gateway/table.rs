use std::sync::Arc;

use carobwick_derive::data;
use carobwick_derive::key;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::Bytes;
use crate::Millis;
use crate::ModelId;
use crate::Rate;
use crate::ServiceId;
use crate::Tokens;
use crate::Version;
use crate::gateway::Access;
use crate::gateway::AccessTable;

/// Number of priorities that engines tell apart.
pub(super) const PRIORITY_LEVELS: usize = 10;

/// Routes, services and limits of one version of the configuration.
#[data]
pub struct RouteTable {
    /// Version of the configuration; a process never returns to an older one.
    pub version: Version,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: IndexMap<ServiceId, Arc<ServiceEntry>>,
    /// Routes by host, those with the longest prefix first.
    hosts: IndexMap<String, Vec<Arc<ServiceRoute>>>,
    /// Tenants and their keys. It goes last: an instance of the version before neither sends nor reads it.
    pub access: AccessTable,
}

/// A route: requests for a host whose path begins with a prefix.
#[data]
pub struct ServiceRoute {
    /// Name of the route.
    pub name: String,
    /// Host in lower case, without a port.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// Kind of the route, which decides what may be retried.
    pub kind: RouteKind,
    /// Timeout for the whole response.
    pub timeout: Millis,
    /// Time to the response, or to the first event of a stream, that callers expect.
    pub target_latency: Millis,
    /// Priority among the routes; 0 is the highest.
    pub priority: u8,
    /// Services that requests are split over, with their weights.
    pub shares: Vec<ServiceShare>,
    /// Number of endpoints on which one attempt of a caller may run.
    pub max_attempts: u32,
    /// Whether an interrupted stream may be resumed at another endpoint.
    pub resumable: bool,
}

/// Share of the requests of a route that a service receives.
#[data]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Weight among the services of the route.
    pub weight: u32,
}

/// Kind of a route, which decides what may be retried on it.
#[key]
#[derive(Copy)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once per attempt of the caller.
    NonIdempotent,
    /// The response is a stream of events; a request may run at most once, unless the stream is resumable.
    Streaming,
}

/// A set of endpoints of one kind.
#[data]
pub struct ServiceEntry {
    /// Name of the service.
    pub id: ServiceId,
    /// Number of connections that one endpoint accepts from all instances together.
    pub max_connections: u32,
    /// Capacity and models of its engines, if the service runs models.
    pub engine: Option<EngineSpec>,
}

/// Capacity of the engines of a service and the models that they serve.
#[data]
pub struct EngineSpec {
    /// Memory for weights of models and adapters.
    pub memory: Bytes,
    /// Number of adapters that one engine can hold at a time.
    pub max_adapters: u32,
    /// Loads per second that the weight store allows for all engines together.
    pub load_rate: Rate,
    /// Capacity for prompts and generated tokens.
    pub context_tokens: Tokens,
    /// Models by name.
    pub models: IndexMap<ModelId, ModelSize>,
}

/// Sizes of a model and its adapters, and the load time.
#[data]
pub struct ModelSize {
    /// Size of the weights.
    pub weights: Bytes,
    /// Size of one adapter.
    pub adapter: Bytes,
    /// Time of a load from the weight store.
    pub load_time: Millis,
}

/// Limits on what a caller may send.
#[data]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_head: Bytes,
    /// Largest body of a request.
    pub max_body: Bytes,
    /// Timeout for receiving a head.
    pub head_timeout: Millis,
    /// Timeout for an idle connection.
    pub idle_timeout: Millis,
}

impl RouteTable {
    /// Creates a table from its parts.
    pub fn new(
        version: Version,
        limits: CallerLimits,
        services: IndexMap<ServiceId, Arc<ServiceEntry>>,
        routes: Vec<ServiceRoute>,
    ) -> Self {
        let mut hosts: IndexMap<String, Vec<Arc<ServiceRoute>>> = IndexMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, limits, services, hosts, access: AccessTable::default() }
    }

    /// Sets the tenants and their keys.
    #[must_use]
    pub fn with_access(self, access: AccessTable) -> Self {
        Self { access, ..self }
    }

    /// Returns the route of a host with the longest prefix that matches the path. A port in `host` is
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoute>> {
        let name = host_name(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the priority of a request among those of all routes and tenants; 0 is the highest.
    ///
    /// The priority of the tenant decides, and among requests of tenants of the same priority that of the route. A request
    /// without a tenant's priority is placed among the tenants by that of its route. Without tenants it is the route's.
    pub fn priority(&self, route: &ServiceRoute, access: &Access) -> u8 {
        let tenants = self.access.priorities();
        if tenants.is_empty() {
            return route.priority;
        }
        let routes: IndexSet<u8> = self.routes().map(|route| route.priority).collect();
        let own = match access {
            Access::Tenant(tenant) => tenant.priority,
            Access::Open | Access::Public | Access::Denied => None,
        };
        let rank = |priorities: &IndexSet<u8>, of: u8| priorities.iter().filter(|other| **other < of).count();
        let level =
            rank(&tenants, own.unwrap_or(route.priority)) * routes.len() + rank(&routes, route.priority);
        let levels = (tenants.len() + 1) * routes.len();
        // Scaled only if there are more levels than engines tell apart.
        (level * PRIORITY_LEVELS / levels.max(PRIORITY_LEVELS)) as u8
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<ServiceRoute>> {
        self.hosts.values().flatten()
    }
}

/// Returns a host without its port. An IPv6 address stands in brackets and contains colons itself.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if !port.contains(']') => name,
        _ => host,
    }
}

impl ServiceRoute {
    /// Returns the service that `draw`, a random number in `0.0..1.0`, selects by weight, or none if no
    /// service has a weight above zero.
    pub fn pick(&self, draw: f64) -> Option<&ServiceId> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = draw * f64::from(total);
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.iter().rfind(|share| share.weight > 0).map(|share| &share.service)
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}
