use std::fmt;
use std::sync::Arc;

use carobwick_derive::data;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::Rate;
use crate::Result;
use crate::TenantId;
use crate::Tokens;
use crate::gateway::RequestHead;
use crate::gateway::ServiceRoute;

/// API key by which a request names its tenant. It is a secret, so `Debug` prints no part of it.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ApiKey(String);

/// A tenant, whose requests share a priority and a quota.
#[data]
pub struct Tenant {
    /// Name of the tenant, which endpoints receive with each of its requests.
    pub id: TenantId,
    /// Priority of its requests, which goes before that of their route; 0 is the highest.
    pub priority: Option<u8>,
    /// Quota of the tenant over all instances, or none without a limit.
    pub quota: Option<Quota>,
}

/// Limit on the requests or tokens of a tenant, over all instances together.
#[data]
#[derive(Copy)]
pub struct Quota {
    /// Units per second.
    pub rate: Rate,
    /// Units on top of the rate that may be used at once.
    pub burst: f64,
    /// What the quota counts.
    pub unit: QuotaUnit,
}

/// What a quota counts.
#[data]
#[derive(Copy, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and the bound of its output; one that states neither counts as `plain`.
    Tokens {
        /// Tokens of a request that does not state them.
        plain: Tokens,
    },
}

/// Tenants with their keys, and the routes that need no key.
#[data]
#[derive(Default)]
pub struct AccessTable {
    tenants: IndexMap<TenantId, Arc<Tenant>>,
    keys: IndexMap<ApiKey, TenantId>,
    /// Names of the routes that need no key.
    public_routes: IndexSet<String>,
}

/// Whether a request may run, and for whom.
#[derive(Debug, Clone, PartialEq)]
pub enum Access {
    /// The configuration has no tenants.
    Open,
    /// The route needs no key, and the request has none of a tenant.
    Public,
    /// The key is that of this tenant.
    Tenant(Arc<Tenant>),
    /// The route needs a key, and the request has none or an unknown one.
    Denied,
}

impl ApiKey {
    /// Creates a key from its text, or none from an empty one.
    pub fn new(text: &str) -> Option<Self> {
        (!text.is_empty()).then(|| Self(text.to_owned()))
    }
}

impl TryFrom<String> for ApiKey {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::new(&text).ok_or_else(|| Error::data("a key is empty"))
    }
}

impl From<ApiKey> for String {
    fn from(key: ApiKey) -> Self {
        key.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey")
    }
}

impl Quota {
    /// Returns the units that a request counts as.
    pub fn cost(&self, head: &RequestHead) -> f64 {
        match self.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens { .. } if head.states_tokens => {
                head.prompt_tokens as f64 + head.max_output as f64
            }
            QuotaUnit::Tokens { plain } => plain.0 as f64,
        }
    }
}

impl AccessTable {
    /// Creates an empty table; `public_routes` are the names of the routes that need no key.
    pub fn new(public_routes: IndexSet<String>) -> Self {
        Self { public_routes, ..Self::default() }
    }

    /// Adds a tenant with its keys. After a failure the table may hold a part of them and must not be used.
    ///
    /// # Errors
    ///
    /// Fails if there is a tenant with this name or one of these keys, or if its quota is negative or not finite.
    pub fn insert(&mut self, tenant: Tenant, keys: Vec<ApiKey>) -> Result<()> {
        let id = tenant.id.clone();
        if let Some(quota) = &tenant.quota {
            let is_valid = |number: f64| number.is_finite() && number >= 0.0;
            if !is_valid(quota.rate.0) || !is_valid(quota.burst) {
                return Err(Error::data(format!("tenant {id}: the quota is negative or not finite")));
            }
        }
        for key in keys {
            let owner = self.keys.insert(key, id.clone());
            if owner.is_some_and(|owner| owner != id) {
                return Err(Error::data(format!("tenant {id}: a key is also that of another tenant")));
            }
        }
        match self.tenants.insert(id.clone(), Arc::new(tenant)) {
            Some(_) => Err(Error::data(format!("tenant {id} is there twice"))),
            None => Ok(()),
        }
    }

    /// Returns whether there are no tenants, so that no request needs a key.
    pub fn is_open(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns the tenants.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.values()
    }

    /// Returns a tenant by its name.
    pub fn tenant(&self, id: &TenantId) -> Option<&Arc<Tenant>> {
        self.tenants.get(id)
    }

    /// Returns the priorities of the tenants, each once.
    pub(super) fn priorities(&self) -> IndexSet<u8> {
        self.tenants.values().filter_map(|tenant| tenant.priority).collect()
    }

    /// Returns whether a request with this key may run on a route.
    pub fn check(&self, route: &ServiceRoute, key: Option<&ApiKey>) -> Access {
        if self.is_open() {
            return Access::Open;
        }
        let tenant = key.and_then(|key| self.keys.get(key)).and_then(|id| self.tenants.get(id));
        match tenant {
            Some(tenant) => Access::Tenant(Arc::clone(tenant)),
            None if self.public_routes.contains(&route.name) => Access::Public,
            None => Access::Denied,
        }
    }
}
