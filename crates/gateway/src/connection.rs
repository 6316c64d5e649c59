use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::buffer::read_whole;

/// Time after which unacknowledged data closes a connection. A network path that has lost its state sends no
/// reset. The kernel closes by it also a connection whose peer is there, but reads nothing for so long.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of TCP keep-alive probes on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged keep-alive probes after which a connection is closed.
const MAX_KEEPALIVE_PROBES: u32 = 2;
/// Buffer for what has arrived and was not read yet, and so the longest response head. The default of the HTTP library
/// is six times as large, and each connection may fill it.
pub(crate) const READ_BUFFER_BYTES: usize = 64 << 10;
/// Largest response body that [`Connection::exchange`] reads.
const MAX_BODY_BYTES: usize = 8 << 20;

/// An HTTP/1.1 connection to an endpoint or the store; dropping it resets the connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    purpose: ConnectionPurpose,
    _task: AbortOnDropHandle<()>,
}

/// What a connection is opened for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionPurpose {
    /// Any number of requests.
    Requests,
    /// One request whose body exceeds what a peer receives without reading.
    Upload,
}

/// Reason why no response head arrived for a request.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was written.
    Unsent(String),
    /// The connection was lost; the request may have arrived.
    Lost(String),
}

impl Connection {
    /// Opens a connection to `addr`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unreachable`] if the attempt takes longer than `timeout`, and with
    /// [`Category::Connect`] if it fails otherwise, such as by a refused connection.
    pub async fn connect(addr: SocketAddr, timeout: Duration) -> Result<Self> {
        Self::open(addr, timeout, ConnectionPurpose::Requests).await
    }

    /// Opens a connection to `addr` for one request with a long body, during which the peer may pause while it reads.
    ///
    /// Connecting shows that the peer is there. That is not known of a connection from before, whose path may have lost its state.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::connect`] does.
    pub async fn connect_for_upload(addr: SocketAddr, timeout: Duration) -> Result<Self> {
        Self::open(addr, timeout, ConnectionPurpose::Upload).await
    }

    async fn open(addr: SocketAddr, timeout: Duration, purpose: ConnectionPurpose) -> Result<Self> {
        let failed = |err: String| Error::new(Category::Connect, format!("{addr}: {err}"));
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(failed(err.to_string())),
            Err(_) => {
                let message = format!("{addr}: connecting timed out after {timeout:?}");
                return Err(Error::new(Category::Unreachable, message));
            }
        };
        let configured = match purpose {
            ConnectionPurpose::Requests => configure_socket(&stream),
            ConnectionPurpose::Upload => configure_probes(&stream),
        };
        configured.map_err(|err| failed(err.to_string()))?;
        // After a normal close the kernel retransmits buffered data once a partition heals, so that an order
        // could arrive after those of the next leader. A reset discards it.
        let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        reset.map_err(|err| failed(err.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| failed(err.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(err) = connection.await {
                tracing::debug!("link: {addr}: {err}");
            }
        });
        Ok(Self { sender, purpose, _task: AbortOnDropHandle::new(task) })
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the connection may carry another request.
    pub fn is_reusable(&self) -> bool {
        self.purpose == ConnectionPurpose::Requests && !self.is_closed()
    }

    /// Waits until the previous response has ended; returns whether the connection can carry another request.
    pub async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost before the head has arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut err| {
            let unsent = err.take_message().is_some();
            let text = err.into_error().to_string();
            if unsent { SendError::Unsent(text) } else { SendError::Lost(text) }
        })
    }

    /// Sends a request and returns the response with its whole body.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Connect`] if nothing was sent, and with [`Category::Lost`] if the connection is
    /// lost, the body exceeds 8 MiB or the response takes longer than `timeout`. The connection must not be
    /// used after a failure.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>> {
        let exchange = async {
            let response = match self.send(request).await {
                Ok(response) => response,
                Err(SendError::Unsent(text)) => return Err(Error::new(Category::Connect, text)),
                Err(SendError::Lost(text)) => return Err(Error::new(Category::Lost, text)),
            };
            let (head, body) = response.into_parts();
            let body = read_whole(body, MAX_BODY_BYTES, |_size| Ok(())).await;
            let body = body.map_err(|err| Error::new(Category::Lost, err.to_string()))?;
            Ok(Response::from_parts(head, body))
        };
        let lost = || Error::new(Category::Lost, format!("no response within {timeout:?}"));
        tokio::time::timeout(timeout, exchange).await.map_err(|_elapsed| lost())?
    }
}

/// Sets the socket options that close a connection whose peer no longer responds, and disables Nagle's
/// algorithm.
pub(crate) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    configure_probes(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Sets the socket options that close a connection whose peer no longer responds while nothing is on its way to it, and
/// disables Nagle's algorithm.
fn configure_probes(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}
