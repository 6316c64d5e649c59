use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobwick_core::EventKind;
use carobwick_runtime::Metrics;
use carobwick_runtime::Node;
use carobwick_runtime::Supervisor;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::Result;
use crate::Settings;
use crate::callers;
use crate::cleanup;
use crate::context::Context;
use crate::exchange;
use crate::operators;
use crate::server::Server;

/// Interval at which a graceful shutdown checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry; dropping it cancels its tasks without waiting for requests in flight.
#[derive(Debug)]
pub struct Entry {
    caller_addr: SocketAddr,
    operator_addr: SocketAddr,
    context: Arc<Context>,
    closing: CancellationToken,
    stop: CancellationToken,
    supervisor: JoinHandle<anyhow::Result<()>>,
}

impl Entry {
    /// Validates the settings, binds the addresses and starts serving.
    ///
    /// # Errors
    ///
    /// Fails if a setting is invalid, the metrics can't be set up or an address can't be bound.
    pub async fn bind(settings: Settings) -> Result<Self> {
        settings.validate()?;
        let metrics = Metrics::open().map_err(|err| Error::Start(format!("metrics: {err}")))?;
        let (callers, bound_callers) = bind_listener("callers", settings.callers).await?;
        let (operators, bound_operators) = bind_listener("operators", settings.operators).await?;
        let limits = settings.limits.clone();
        let context = Arc::new(Context::new(settings, metrics));
        let (closing, stop) = (CancellationToken::new(), CancellationToken::new());
        let router = callers::router(Arc::clone(&context));
        let callers = Server::new(callers, router, limits.clone(), closing.clone(), context.tasks.clone());
        let router = operators::router(Arc::clone(&context));
        let operators = Server::new(operators, router, limits, closing.clone(), context.tasks.clone());
        let [follower, poller, reporter] = [(); 3].map(|()| Arc::clone(&context.dispatch));
        let (sync, demand, stale) = (Arc::clone(&context), Arc::clone(&context), Arc::clone(&context));
        let supervisor = Supervisor::new("entry", stop.clone())
            .task("callers", move || callers.clone().accept())
            .task("operators", move || operators.clone().accept())
            .task("sync", move || exchange::sync(Arc::clone(&sync)))
            .task("demand", move || exchange::report_demand(Arc::clone(&demand)))
            .task("view", move || Arc::clone(&follower).follow_state())
            .task("queue", move || Arc::clone(&poller).poll_waiting())
            .task("crashes", move || Arc::clone(&reporter).forward_crash_reports())
            .task("tidy", move || cleanup::remove_stale(Arc::clone(&stale)));
        let supervisor = tokio::spawn(supervisor.run());
        context.timeline.add(EventKind::Process, format!("serves callers at {bound_callers}"));
        tracing::info!("entry: serves callers at {bound_callers} and operators at {bound_operators}");
        Ok(Self {
            caller_addr: bound_callers,
            operator_addr: bound_operators,
            context,
            closing,
            stop,
            supervisor,
        })
    }

    /// Returns the bound address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Returns the bound address for operators.
    pub fn operator_addr(&self) -> SocketAddr {
        self.operator_addr
    }

    /// Returns the state that the entry shares with its peers.
    pub fn node(&self) -> &Node {
        &self.context.node
    }

    /// Waits until a task has failed too often to be restarted, which ends the entry.
    ///
    /// # Errors
    ///
    /// Fails with the task's last error.
    pub async fn wait_failed(&mut self) -> anyhow::Result<()> {
        (&mut self.supervisor).await?
    }

    /// Shuts down gracefully: withdraws readiness, refuses new connections after the stop delay, and lets requests in
    /// flight finish.
    pub async fn shutdown(mut self) {
        let limits = &self.context.settings.limits;
        tracing::info!("entry: stopping with {} requests in flight", self.context.in_flight());
        self.context.timeline.add(EventKind::Process, "is stopping");
        self.context.stopping.store(true, Ordering::Relaxed);
        tokio::time::sleep(limits.stop_delay.duration()).await;
        self.closing.cancel();
        self.context.tasks.close();
        let longest =
            limits.read_timeout.duration() + limits.deadline.duration() + limits.stream_limit.duration();
        tokio::select! {
            () = self.context.tasks.wait() => {}
            () = self.wait_idle() => tracing::info!("entry: no requests in flight, closing idle connections"),
            // Longer than any request in flight can take.
            () = tokio::time::sleep(longest) => {
                tracing::warn!("entry: closing connections that are still open after {longest:?}");
            }
        }
        self.stop.cancel();
        match (&mut self.supervisor).await {
            Ok(Ok(())) => tracing::info!("entry: stopped"),
            Ok(Err(err)) => tracing::warn!("entry: stopped: {err:#}"),
            Err(err) => tracing::warn!("entry: stopped: {err}"),
        }
    }

    /// Waits until no request has been in flight for the read timeout, in which the end of the last response reaches
    /// its caller.
    async fn wait_idle(&self) {
        let mut since = Instant::now();
        while since.elapsed() < self.context.settings.limits.read_timeout.duration() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            if self.context.in_flight() > 0 {
                since = Instant::now();
            }
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.closing.cancel();
        self.stop.cancel();
    }
}

async fn bind_listener(name: &'static str, addr: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let failed = |err: std::io::Error| Error::Start(format!("{name}: {addr}: {err}"));
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
