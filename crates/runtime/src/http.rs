use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::Result;

/// Client for JSON requests to the platform, engines and the operator API.
#[derive(Debug, Clone)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpClient {
    /// Opens a client whose requests time out after `timeout`.
    pub fn open(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        // A connection can stop working while it is idle, so it is closed soon and the next request opens a
        // new one.
        let inner =
            Client::builder(TokioExecutor::new()).pool_idle_timeout(Duration::from_secs(10)).build(connector);
        Self { inner, timeout }
    }

    /// Sends a GET request and returns the JSON value of the response.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::send`] does, or with [`Error::Codec`] if the response is not the expected JSON.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        let body = self.send(Method::GET, url, Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Posts a JSON value and returns the JSON value of the response.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::send`] does, or with [`Error::Codec`] if `body` can't be serialized or the response
    /// is not the expected JSON.
    pub async fn post<B: Serialize, T: DeserializeOwned>(&self, url: &str, body: &B) -> Result<T> {
        let body = self.send(Method::POST, url, serde_json::to_vec(body)?.into()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends a request and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Connect`] if nothing was sent, [`Error::Status`] for a status other than 2xx,
    /// [`Error::Lost`] if the connection was lost or the request timed out, and [`Error::Codec`] if `url` is
    /// invalid.
    pub async fn send(&self, method: Method, url: &str, body: Bytes) -> Result<Bytes> {
        let exchange = async {
            let response = self.open_stream(method, url, body).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|err| Error::Lost(err.to_string()))?.to_bytes();
            if status.is_success() {
                return Ok(body);
            }
            Err(Error::Status(status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
        };
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Lost(format!("no answer from {url} in {:?}", self.timeout))),
        }
    }

    /// Sends a request and returns the response once its head has arrived, without a timeout.
    ///
    /// The body can be read as it arrives. Responses with an error status are returned too.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Connect`] if nothing was sent, [`Error::Lost`] if the connection was lost, and
    /// [`Error::Codec`] if `url` is invalid.
    pub async fn open_stream(&self, method: Method, url: &str, body: Bytes) -> Result<Response<Incoming>> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|err| Error::Codec(err.to_string()))?;
        self.inner.request(request).await.map_err(|err| {
            let text = format!("{url}: {err}");
            if err.is_connect() { Error::Connect(text) } else { Error::Lost(text) }
        })
    }
}
