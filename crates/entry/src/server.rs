use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Router;
use carobwick_runtime::serve_until;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Limits;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
const PEEK_INTERVAL: Duration = Duration::from_millis(5);
const PING_INTERVAL: Duration = Duration::from_secs(10);
/// Data that is buffered per stream while its caller reads slowly.
const MAX_SEND_BUFFER_BYTES: usize = 64 << 10;
const MAX_STREAMS: u32 = 1_024;

/// Serves HTTP/1.1 and HTTP/2 on one address.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    /// Taken out at a shutdown, so that new connections are refused while requests in flight finish.
    listener: Arc<Mutex<Option<Arc<TcpListener>>>>,
    router: Router,
    limits: Limits,
    /// Cancelled at a shutdown: no connection is accepted any more, and open ones close after their requests.
    closing: CancellationToken,
    connections: TaskTracker,
}

impl Server {
    pub fn new(
        listener: TcpListener,
        router: Router,
        limits: Limits,
        closing: CancellationToken,
        connections: TaskTracker,
    ) -> Self {
        let listener = Arc::new(Mutex::new(Some(Arc::new(listener))));
        Self { listener, router, limits, closing, connections }
    }

    /// Accepts connections until the shutdown begins.
    pub async fn accept(self) -> anyhow::Result<()> {
        let Some(listener) = self.listener().clone() else {
            return Ok(());
        };
        loop {
            let accepted = tokio::select! {
                () = self.closing.cancelled() => {
                    self.listener().take();
                    return Ok(());
                }
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let (router, limits) = (self.router.clone(), self.limits.clone());
                    self.connections.spawn(serve_connection(stream, router, limits, self.closing.clone()));
                }
                Err(err) => {
                    // File descriptors may be exhausted; the accept would fail again at once.
                    tracing::warn!("entry: accept failed: {err}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn listener(&self) -> MutexGuard<'_, Option<Arc<TcpListener>>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn serve_connection(stream: TcpStream, router: Router, limits: Limits, closing: CancellationToken) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let timeout = limits.read_timeout.duration();
    let detected = tokio::select! {
        biased;
        detected = tokio::time::timeout(timeout, is_http2(&stream)) => detected,
        // A shutdown does not wait for a connection that has sent nothing.
        () = closing.cancelled() => return,
    };
    let Ok(Some(is_http2)) = detected else {
        return;
    };
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.duration())
        .max_buf_size(limits.max_head);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.max_head as u32)
        .max_concurrent_streams(MAX_STREAMS)
        .max_send_buf_size(MAX_SEND_BUFFER_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(timeout);
    let builder = if is_http2 { builder.http2_only() } else { builder.http1_only() };
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(err) = serve_until(connection, &closing).await {
        tracing::debug!("entry: connection failed: {err}");
    }
}

/// Returns whether a connection starts with the first two bytes of the HTTP/2 preface, or `None` if it closes
/// before.
async fn is_http2(stream: &TcpStream) -> Option<bool> {
    let mut preface = [0; 2];
    loop {
        match stream.peek(&mut preface).await {
            Ok(2) => return Some(&preface == b"PR"),
            Ok(1) if preface[0] == b'P' => tokio::time::sleep(PEEK_INTERVAL).await,
            Ok(1) => return Some(false),
            Ok(_) | Err(_) => return None,
        }
    }
}
