use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::request::GeneratedRequest;

type Sender = SendRequest<Full<Bytes>>;

/// HTTP/1.1 client that reuses its connections, as callers of the service do.
#[derive(Debug)]
pub(super) struct Client {
    targets: Vec<Target>,
}

#[derive(Debug)]
struct Target {
    authority: String,
    idle: Mutex<Vec<Sender>>,
}

/// A connection in use, which is closed when it is dropped without [`Self::release`].
#[derive(Debug)]
pub(super) struct PooledConnection<'a> {
    target: &'a Target,
    sender: Sender,
}

impl Client {
    /// Creates a client for base URLs such as `http://127.0.0.1:7000`.
    pub(super) fn open(urls: &[String]) -> anyhow::Result<Self> {
        let target = |url: &String| {
            let uri: http::Uri = url.parse()?;
            let authority = uri.authority().ok_or_else(|| anyhow::anyhow!("URL {url} has no host"))?;
            Ok(Target { authority: authority.to_string(), idle: Mutex::default() })
        };
        Ok(Self { targets: urls.iter().map(target).collect::<anyhow::Result<_>>()? })
    }

    /// Sends a request and returns the response, with its body unread, and the connection.
    pub(super) async fn send(
        &self,
        generated: &GeneratedRequest,
    ) -> anyhow::Result<(Response<Incoming>, PooledConnection<'_>)> {
        let target = &self.targets[(generated.number % self.targets.len() as u64) as usize];
        if let Some(mut sender) = target.take_idle() {
            match sender.try_send_request(request(target, generated)?).await {
                Ok(response) => return Ok((response, PooledConnection { target, sender })),
                // The server closed the idle connection before the request was sent, so it can be sent on a
                // new one.
                Err(err) if err.message().is_some() => {}
                Err(err) => return Err(err.into_error().into()),
            }
        }
        let mut sender = target.connect().await?;
        let response = sender.send_request(request(target, generated)?).await?;
        Ok((response, PooledConnection { target, sender }))
    }
}

impl Target {
    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> anyhow::Result<Sender> {
        let stream = TcpStream::connect(&self.authority).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                tracing::debug!("load: connection failed: {err}");
            }
        });
        Ok(sender)
    }
}

impl PooledConnection<'_> {
    /// Returns the connection to the pool; the response must have been read to its end.
    pub(super) fn release(self) {
        self.target.idle.lock().unwrap_or_else(PoisonError::into_inner).push(self.sender);
    }
}

fn request(target: &Target, generated: &GeneratedRequest) -> anyhow::Result<Request<Full<Bytes>>> {
    let mut request = Request::post(&generated.path)
        .header("host", &target.authority)
        .header("content-type", "application/json")
        .header("carobwick-caller", &generated.caller);
    if let Some(attempt) = generated.attempt {
        request = request.header("carobwick-attempt", attempt.to_string());
    }
    if let Some(key) = &generated.key {
        request = request.header("idempotency-key", key);
    }
    if generated.not_repeatable {
        request = request.header("carobwick-repeatable", "no");
    }
    Ok(request.body(Full::new(generated.body.clone()))?)
}
