use std::collections::HashMap;
use std::fmt;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// With a ping timeout of 1 s, an unresponsive connection is closed within 2 s.
const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Data of one stream that is buffered while its caller reads slowly.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
/// Concurrent streams per connection; endpoints commonly allow no more.
const MAX_STREAMS: usize = 100;
/// Covers the windows of all streams, so that slow callers can't block the connection's other streams.
const CONNECTION_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES * MAX_STREAMS as u32;

/// Pools of HTTP/2 connections to endpoints and to the entries of other zones.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    pools: Mutex<HashMap<String, Arc<Pool>>>,
}

/// Response whose body is still being received.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub response: Response<Incoming>,
    _guard: StreamGuard,
}

/// Reason why a request could not be sent or its response not received.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection was refused; nothing was written.
    Refused(String),
    /// No connection could be made for another reason; nothing was written.
    Connect(String),
    /// The connection closed before anything was written.
    NotWritten(String),
    /// The connection failed after the request may have been written.
    Lost(String),
    /// The connection was closed because a ping was not answered in time.
    PingTimeout,
}

#[derive(Debug, Default)]
struct Pool {
    connections: Mutex<Vec<Connection>>,
    /// Held while connecting, so that a burst of requests does not open one connection for each.
    connecting: tokio::sync::Mutex<()>,
}

#[derive(Debug, Clone)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    streams: Arc<AtomicUsize>,
}

/// Counts as an open stream of a connection until dropped.
#[derive(Debug)]
struct StreamGuard(Arc<AtomicUsize>);

impl Upstream {
    /// Sends a request to `addr` (`IP:port`) and returns the response as soon as its head has arrived.
    pub async fn send(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<UpstreamResponse, SendError> {
        let pool = self.pool(addr);
        let mut request = request;
        loop {
            let (mut sender, guard) = match pool.acquire() {
                Some(acquired) => acquired,
                None => pool.connect(addr).await?,
            };
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(UpstreamResponse { response, _guard: guard }),
                Err(mut err) => match err.take_message() {
                    // The connection was closed while idle; the next iteration uses another or a new one.
                    Some(unsent) if sender.is_closed() => request = unsent,
                    Some(_) => return Err(SendError::NotWritten(err.error().to_string())),
                    None => return Err(SendError::from(err.error())),
                },
            }
        }
    }

    /// Closes idle connections, except for one to each address for which `in_use` returns true.
    pub fn retain(&self, in_use: impl Fn(&str) -> bool) {
        lock(&self.pools).retain(|addr, pool| {
            let max_idle = usize::from(in_use(addr));
            pool.close_idle(max_idle) > 0 || max_idle > 0
        });
    }

    fn pool(&self, addr: &str) -> Arc<Pool> {
        let mut pools = lock(&self.pools);
        if let Some(pool) = pools.get(addr) {
            return Arc::clone(pool);
        }
        let pool = Arc::new(Pool::default());
        pools.insert(addr.to_owned(), Arc::clone(&pool));
        pool
    }
}

impl Pool {
    fn acquire(&self) -> Option<(SendRequest<Full<Bytes>>, StreamGuard)> {
        let mut connections = lock(&self.connections);
        connections.retain(|connection| !connection.sender.is_closed());
        let free =
            connections.iter().find(|connection| connection.streams.load(Ordering::Relaxed) < MAX_STREAMS)?;
        Some((free.sender.clone(), StreamGuard::new(&free.streams)))
    }

    async fn connect(&self, addr: &str) -> Result<(SendRequest<Full<Bytes>>, StreamGuard), SendError> {
        let _connecting = self.connecting.lock().await;
        if let Some(acquired) = self.acquire() {
            return Ok(acquired);
        }
        let sender = match tokio::time::timeout(CONNECT_TIMEOUT, open_connection(addr)).await {
            Ok(result) => result?,
            Err(_) => return Err(SendError::Connect(format!("{addr}: timed out"))),
        };
        let connection = Connection { sender: sender.clone(), streams: Arc::default() };
        let guard = StreamGuard::new(&connection.streams);
        lock(&self.connections).push(connection);
        Ok((sender, guard))
    }

    /// Closes all but `max_idle` idle connections and returns the number of connections that remain.
    fn close_idle(&self, max_idle: usize) -> usize {
        let mut connections = lock(&self.connections);
        let mut idle = 0;
        connections.retain(|connection| {
            if connection.sender.is_closed() {
                return false;
            }
            idle += usize::from(connection.streams.load(Ordering::Relaxed) == 0);
            connection.streams.load(Ordering::Relaxed) > 0 || idle <= max_idle
        });
        connections.len()
    }
}

impl StreamGuard {
    fn new(streams: &Arc<AtomicUsize>) -> Self {
        streams.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(streams))
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SendError {
    /// Returns whether any byte of the request may have been written.
    pub fn may_be_written(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::PingTimeout)
    }
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(text) => write!(f, "connection refused: {text}"),
            Self::Connect(text) => write!(f, "connect failed: {text}"),
            Self::NotWritten(text) => write!(f, "connection closed before the request was written: {text}"),
            Self::Lost(text) => write!(f, "connection lost: {text}"),
            Self::PingTimeout => f.write_str("ping timed out"),
        }
    }
}

impl From<&hyper::Error> for SendError {
    fn from(err: &hyper::Error) -> Self {
        if err.is_timeout() { Self::PingTimeout } else { Self::Lost(err.to_string()) }
    }
}

async fn open_connection(addr: &str) -> Result<SendRequest<Full<Bytes>>, SendError> {
    let stream = TcpStream::connect(addr).await.map_err(|err| match err.kind() {
        ErrorKind::ConnectionRefused => SendError::Refused(addr.to_owned()),
        _ => SendError::Connect(format!("{addr}: {err}")),
    })?;
    stream.set_nodelay(true).map_err(|err| SendError::Connect(err.to_string()))?;
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|err| SendError::Connect(format!("{addr}: {err}")))?;
    let addr = addr.to_owned();
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            tracing::debug!("entry: connection to {addr} ended: {err}");
        }
    });
    Ok(sender)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
