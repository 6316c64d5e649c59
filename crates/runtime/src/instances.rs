use std::time::Duration;

use carobwick_core::ServiceId;
use carobwick_core::ZoneId;
use carobwick_derive::data;
use carobwick_derive::key;

use crate::HttpClient;
use crate::Result;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the platform's instance list.
#[derive(Debug, Clone)]
pub struct InstanceListClient {
    http: HttpClient,
    url: String,
}

/// Entry of the instance list.
#[data]
pub struct ListedInstance {
    /// Name of the instance or endpoint.
    pub id: String,
    /// Availability zone that it is in.
    pub zone: ZoneId,
    /// Whether it is an instance of carobwick or an endpoint.
    pub kind: InstanceKind,
    /// Service that an endpoint belongs to.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// `IP:port` at which an instance accepts callers, or an endpoint accepts requests.
    pub addr: String,
    /// `IP:port` at which an instance accepts its peers; empty for endpoints.
    #[serde(default)]
    pub peer: String,
    /// Whether it is about to stop.
    pub state: InstanceStatus,
}

/// Kind of an entry of the instance list.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An instance with carobwick's processes.
    Entry,
    /// A model engine or a plain service.
    Endpoint,
}

/// State of an instance or endpoint of the list.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum InstanceStatus {
    /// Running.
    Live,
    /// About to stop.
    Leaving,
}

impl InstanceListClient {
    /// Opens a client of the list at `base`, such as `http://127.0.0.1:7002`, with a timeout of 2 s.
    pub fn open(base: &str) -> Self {
        Self {
            http: HttpClient::open(REQUEST_TIMEOUT),
            url: format!("{}/instances", base.trim_end_matches('/')),
        }
    }

    /// Returns all listed instances and endpoints.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpClient::get`] does.
    pub async fn list(&self) -> Result<Vec<ListedInstance>> {
        self.http.get(&self.url).await
    }
}
