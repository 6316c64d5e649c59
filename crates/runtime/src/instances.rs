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

/// One line of the instance list.
#[data]
pub struct ListedInstance {
    /// Name of the instance or endpoint.
    pub id: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// What runs there.
    pub kind: InstanceKind,
    /// Service of an endpoint.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// `IP:port` for callers of an entry, or of an endpoint.
    pub addr: String,
    /// `IP:port` for peers of an entry instance; empty for endpoints.
    #[serde(default)]
    pub peer: String,
    /// Whether it is about to stop.
    pub state: InstanceStatus,
}

/// What runs on a listed instance.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// carobwick's processes.
    Entry,
    /// A model engine or a plain service.
    Endpoint,
}

/// State of a listed instance.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum InstanceStatus {
    /// It runs.
    Live,
    /// It is about to stop.
    Leaving,
}

impl InstanceListClient {
    /// Opens a client of the list at `base`, such as `http://127.0.0.1:7002`.
    pub fn open(base: &str) -> Self {
        Self {
            http: HttpClient::open(REQUEST_TIMEOUT),
            url: format!("{}/instances", base.trim_end_matches('/')),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpClient::send`] does.
    pub async fn list(&self) -> Result<Vec<ListedInstance>> {
        self.http.get(&self.url).await
    }
}
