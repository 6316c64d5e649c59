use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use hyper::body::Incoming;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use tower::ServiceExt;

use crate::freezable_stream::FreezableStream;

/// Maximum number of concurrent streams on an HTTP/2 connection.
///
/// hyper's default of 200 would limit the requests that a whole entry can have in flight on the connection.
const MAX_HTTP2_STREAMS: u32 = 20_000;

/// A running server for HTTP/1.1 and HTTP/2 with prior knowledge; it stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    control: ServerControl,
    _stop: DropGuard,
}

/// Breaks or freezes the connections of a [`Server`], as an outage of its process or network does.
#[derive(Debug, Clone)]
pub struct ServerControl {
    outages: mpsc::UnboundedSender<Duration>,
    /// Cancelling this token closes the connections that are open.
    open_token: Arc<Mutex<CancellationToken>>,
    stop: CancellationToken,
    freeze_count: Arc<AtomicU64>,
}

/// Request extension that controls the connection on which the request arrived.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    close: CancellationToken,
    /// Whether outages and freezes don't affect the connection, so that faults can be changed over it.
    exempt: Arc<AtomicBool>,
}

impl Server {
    /// Binds `addr` and serves `router`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn spawn(addr: SocketAddr, router: Router) -> anyhow::Result<Self> {
        Self::spawn_with(addr, |_| router).await
    }

    /// Binds `addr` and serves a router that is built with control of the server's connections.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn spawn_with(
        addr: SocketAddr,
        router: impl FnOnce(ServerControl) -> Router,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (outages, requests) = mpsc::unbounded_channel();
        let stop = CancellationToken::new();
        let open_token = Arc::new(Mutex::new(stop.child_token()));
        let control = ServerControl { outages, open_token, stop: stop.clone(), freeze_count: Arc::default() };
        let run = ServerTask { addr, router: router(control.clone()), control: control.clone() };
        tokio::spawn(run.run(listener, requests));
        Ok(Self { addr, control, _stop: stop.drop_guard() })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Returns the control of the server's connections.
    pub fn control(&self) -> &ServerControl {
        &self.control
    }
}

impl ServerControl {
    /// Closes all open connections; new connections are accepted.
    pub fn close_connections(&self) {
        let old = std::mem::replace(&mut *self.open_token(), self.stop.child_token());
        old.cancel();
    }

    /// Closes all open connections and refuses new ones for `duration`.
    pub fn start_outage(&self, duration: Duration) {
        // Close the connections here and not only in the server task, so that nothing is sent after this
        // call.
        self.open_token().cancel();
        // The send fails only if the server has stopped, and then all connections are closed anyway.
        let _ = self.outages.send(duration);
    }

    /// Stops reads and writes on all open connections without closing them; new connections work.
    pub fn freeze(&self) {
        self.freeze_count.fetch_add(1, Ordering::SeqCst);
    }

    fn open_token(&self) -> MutexGuard<'_, CancellationToken> {
        self.open_token.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Closes the connection without a response and never returns.
    pub(crate) async fn abort<T>(&self) -> T {
        self.close.cancel();
        std::future::pending().await
    }

    /// Exempts the connection from outages and freezes.
    pub(crate) fn exempt(&self) {
        self.exempt.store(true, Ordering::SeqCst);
    }
}

struct ServerTask {
    addr: SocketAddr,
    router: Router,
    control: ServerControl,
}

impl ServerTask {
    async fn run(self, mut listener: TcpListener, mut outages: mpsc::UnboundedReceiver<Duration>) {
        let stop = self.control.stop.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(outage) = outages.recv() => {
                    self.control.open_token().cancel();
                    drop(listener);
                    tokio::time::sleep(outage).await;
                    listener = self.rebind().await;
                    *self.control.open_token() = stop.child_token();
                }
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve_connection(stream),
                    Err(err) => {
                        tracing::warn!("standin: failed to accept a connection: {err}");
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                }
            }
        }
    }

    async fn rebind(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.addr).await {
                Ok(listener) => return listener,
                Err(err) => {
                    tracing::warn!("standin: failed to rebind {}: {err}", self.addr);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        if let Err(err) = stream.set_nodelay(true) {
            tracing::debug!("standin: failed to set TCP_NODELAY: {err}");
            return;
        }
        let (open, close) = (self.control.open_token().clone(), self.control.stop.child_token());
        let connection = Connection { close: close.clone(), exempt: Arc::default() };
        let exempt = Arc::clone(&connection.exempt);
        let stream =
            FreezableStream::new(stream, Arc::clone(&self.control.freeze_count), Arc::clone(&exempt));
        let router = self.router.clone();
        let service = hyper::service::service_fn(move |mut request: hyper::Request<Incoming>| {
            request.extensions_mut().insert(connection.clone());
            router.clone().oneshot(request)
        });
        tokio::spawn(async move {
            let mut builder = Builder::new(TokioExecutor::new());
            builder.http2().max_concurrent_streams(MAX_HTTP2_STREAMS);
            let served = builder.serve_connection(TokioIo::new(stream), service);
            let outage = async {
                open.cancelled().await;
                if exempt.load(Ordering::SeqCst) {
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                biased;
                () = close.cancelled() => {}
                () = outage => {}
                ended = served => if let Err(err) = ended {
                    tracing::debug!("standin: connection failed: {err}");
                }
            }
        });
    }
}
