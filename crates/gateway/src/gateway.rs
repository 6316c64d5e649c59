use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::Settings;
use crate::Store;
use crate::WireFormat;
use crate::callers;
use crate::config::ConfigReader;
use crate::convictions;
use crate::coordinator::Coordinator;
use crate::election::Election;
use crate::list::ListReader;
use crate::meters::Meters;
use crate::peers;
use crate::quota;
use crate::served_versions;
use crate::state::State;
use crate::status_pages;
use crate::status_pages::StatusPage;

/// Time for which a stopping instance still accepts connections, until the load balancer has noticed that it
/// is not ready.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Largest fraction of the grace time in which a stopping instance takes new requests. The rest is for their responses.
const MAX_ACCEPT_FRACTION: f64 = 0.5;
/// Fraction of the grace time after which requests in flight are aborted, so that the process exits before it
/// is killed.
const GRACE_FRACTION: f64 = 0.95;
/// Time before that in which requests without a response get one, and streams may still end.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// A running instance; dropping it aborts its tasks.
#[derive(Debug)]
pub struct Gateway {
    state: Rc<State>,
    election: Rc<Election>,
    closing: CancellationToken,
    connections: TaskTracker,
    tasks: JoinSet<()>,
}

impl Gateway {
    /// Binds the addresses and starts all tasks; must be called within a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Start`] if an address can't be bound or the metrics can't be registered.
    pub async fn bind(settings: Settings, wire: Box<dyn WireFormat>, store: Rc<dyn Store>) -> Result<Self> {
        let callers = bind_listener("callers", settings.callers).await?;
        let ready = bind_listener("ready", settings.ready).await?;
        let metrics = bind_listener("metrics", settings.metrics).await?;
        let peers = bind_listener("peers", settings.peers).await?;
        let meters =
            Meters::open().map_err(|err| Error::new(Category::Start, format!("metrics: {err:#}")))?;
        let shared_settings = Rc::new(settings.clone());
        let (list_sender, list_updates) = mpsc::unbounded_channel();
        let (convicted_sender, convicted) = mpsc::unbounded_channel();
        let state = Rc::new(State::new(settings, wire, meters, list_sender, convicted_sender));
        let election = Rc::new(Election::new(&shared_settings));
        let coordinator = Rc::new(Coordinator::new(Rc::clone(&state), Rc::clone(&election)));
        let (closing, connections) = (CancellationToken::new(), TaskTracker::new());
        let mut tasks = JoinSet::new();
        tasks.spawn_local(callers::accept(Rc::clone(&state), callers, closing.clone(), connections.clone()));
        tasks.spawn_local(status_pages::serve(Rc::clone(&state), ready, StatusPage::Readiness));
        tasks.spawn_local(status_pages::serve(Rc::clone(&state), metrics, StatusPage::Metrics));
        let reader = ConfigReader::new(Rc::clone(&state), Rc::clone(&store), Rc::clone(&coordinator));
        tasks.spawn_local(reader.run());
        let reader =
            ListReader::new(Rc::clone(&state), Rc::clone(&store), Rc::clone(&coordinator), list_updates);
        tasks.spawn_local(reader.run());
        tasks.spawn_local(convictions::keep(Rc::clone(&state), Rc::clone(&store), convicted));
        tasks.spawn_local(quota::keep(Rc::clone(&state), Rc::clone(&coordinator), Rc::clone(&store)));
        let kept = served_versions::keep(Rc::clone(&state), Rc::clone(&coordinator), Rc::clone(&store));
        tasks.spawn_local(kept);
        tasks.spawn_local(Rc::clone(&election).run(Rc::clone(&shared_settings), store));
        tasks.spawn_local(peers::accept(Rc::clone(&coordinator), Rc::clone(&election), peers));
        tasks.spawn_local(peers::follow(Rc::clone(&state), Rc::clone(&coordinator), Rc::clone(&election)));
        tasks.spawn_local(Rc::clone(&coordinator).issue_tokens());
        tasks.spawn_local(Rc::clone(&coordinator).share_streams());
        tasks.spawn_local(coordinator.run());
        tracing::info!(
            "gateway: {} accepts callers at {}",
            shared_settings.instance,
            shared_settings.callers
        );
        Ok(Self { state, election, closing, connections, tasks })
    }

    /// Waits until a background task ends, which only a bug causes, and returns the error.
    pub async fn wait_failed(&mut self) -> Error {
        // The task that accepts callers also ends on shutdown, which consumes `self`.
        match self.tasks.join_next().await {
            Some(Err(err)) => Error::new(Category::Start, format!("a task failed: {err}")),
            Some(Ok(())) | None => Error::new(Category::Start, "a task ended"),
        }
    }

    /// Applies the settings that may change while the instance runs; all others need a restart.
    pub fn reload(&self, settings: &Settings) {
        let started = Settings { terms: settings.terms, ..self.state.settings.clone() };
        if started != *settings {
            tracing::warn!("gateway: changed names, addresses and sizes take effect after a restart");
        }
        if self.state.terms.get() != settings.terms {
            tracing::info!("gateway: settings reloaded: {:?}", settings.terms);
            self.state.set_terms(settings.terms);
        }
    }

    /// Shuts down gracefully: the instance first reports that it is not ready, then refuses new requests and those that
    /// wait for an endpoint, accepts no more connections, and waits for the requests in flight. Shortly before the grace
    /// time ends, those without a response get one that says whether they may have run; streams are aborted at its end.
    pub async fn shutdown(self) {
        let grace = self.state.terms.get().grace.mul_f64(GRACE_FRACTION);
        self.log_stop("stopping");
        self.state.stopping.set(true);
        self.election.resign();
        let accept_time = READINESS_NOTICE_TIME.min(grace.mul_f64(MAX_ACCEPT_FRACTION));
        let mut finish = pin!(async {
            tokio::time::sleep(accept_time).await;
            self.log_stop("refusing new requests");
            self.state.refusing.cancel();
            tokio::time::sleep(READINESS_NOTICE_TIME.saturating_sub(accept_time)).await;
            self.closing.cancel();
            self.connections.close();
            self.connections.wait().await;
        });
        let last_responses = grace.saturating_sub(LAST_RESPONSE_TIME);
        if tokio::time::timeout(last_responses, finish.as_mut()).await.is_err() {
            self.state.stop_ending.cancel();
            // Counted from here, so that a process that is late for want of processor time still writes the responses.
            if tokio::time::timeout(LAST_RESPONSE_TIME, finish).await.is_err() {
                let connections = self.connections.len();
                tracing::warn!("gateway: grace time is over, {connections} connections are aborted");
            }
        }
        tracing::info!("gateway: stopped");
    }

    fn log_stop(&self, phase: &str) {
        let (connections, unplaced) = (self.connections.len(), self.state.unplaced.get());
        tracing::info!(
            "gateway: {phase} with {connections} connections, {unplaced} requests wait for an endpoint"
        );
    }
}

async fn bind_listener(name: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|err| Error::new(Category::Start, format!("{name}: {addr}: {err}")))
}
