use std::time::Duration;

use carobwick_core::EngineState;
use carobwick_core::Order;
use carobwick_core::OrderResult;

use crate::HttpClient;
use crate::Result;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Client for the orders and the state of model engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Opens a client whose requests time out after 2 s.
    pub fn open() -> Self {
        Self { http: HttpClient::open(REQUEST_TIMEOUT) }
    }

    /// Sends an order to the engine at `addr` (`IP:port`) and returns the result it replies with.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpClient::post`] does; after [`crate::Error::Lost`] the order may still take effect.
    pub async fn order(&self, addr: &str, order: &Order) -> Result<OrderResult> {
        self.http.post(&format!("http://{addr}/admin/orders"), order).await
    }

    /// Returns the state of the engine at `addr` (`IP:port`).
    ///
    /// # Errors
    ///
    /// Fails as [`HttpClient::get`] does.
    pub async fn state(&self, addr: &str) -> Result<EngineState> {
        self.http.get(&format!("http://{addr}/admin/state")).await
    }
}
