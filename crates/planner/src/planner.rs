use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use anyhow::Context as _;
use carobwick_core::DemandReport;
use carobwick_core::EventKind;
use carobwick_runtime::EngineClient;
use carobwick_runtime::InstanceListClient;
use carobwick_runtime::Node;
use carobwick_runtime::PeerServer;
use carobwick_runtime::Supervisor;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::Context;
use crate::Leader;
use crate::LeaderSetup;
use crate::Settings;
use crate::exchange;
use crate::key_value;
use crate::operator;

/// Largest number of demand reports that wait for the leader.
const DEMAND_QUEUE_SIZE: usize = 1_024;

/// A running planner.
#[derive(Debug)]
pub struct Planner {
    context: Context,
    peer_addr: SocketAddr,
    operator_addr: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<anyhow::Result<()>>,
}

impl Planner {
    /// Checks the settings, binds the addresses and starts the tasks.
    ///
    /// # Errors
    ///
    /// Fails if a setting is invalid or an address can't be bound.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        settings.validate()?;
        let (demand_sender, demand_receiver) = mpsc::channel(DEMAND_QUEUE_SIZE);
        let context = Context::open(&settings, demand_sender, "carobwick-planner")?;
        let peer_server = bind_peer_server(&context, settings.peer).await?;
        let listener = TcpListener::bind(settings.operators)
            .await
            .with_context(|| format!("--operators: {}", settings.operators))?;
        let (peer_addr, operator_addr) = (peer_server.addr(), listener.local_addr()?);
        let stop = CancellationToken::new();
        let instances = InstanceListClient::open(&settings.instances);
        let supervisor = build_supervisor(&context, instances, peer_server, listener, demand_receiver, &stop);
        let task = tokio::spawn(supervisor.run());
        tracing::info!("planner: {} in {} serves peers on {peer_addr}", context.instance, context.zone);
        context.timeline.add(EventKind::Process, "started");
        Ok(Self { context, peer_addr, operator_addr, stop, task })
    }

    /// Returns the address on which peers are served.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Returns the address on which the operator API is served.
    pub fn operator_addr(&self) -> SocketAddr {
        self.operator_addr
    }

    /// Returns the state that is shared with peers.
    pub fn node(&self) -> &Node {
        &self.context.node
    }

    /// Waits until the planner ends without being stopped.
    ///
    /// # Errors
    ///
    /// Fails with the reason, since a planner ends by itself only if one of its tasks fails too often.
    pub async fn wait_ended(&mut self) -> anyhow::Result<()> {
        (&mut self.task).await?
    }

    /// Stops the planner after the requests in flight are finished, and tells peers what these have changed.
    ///
    /// # Errors
    ///
    /// Fails if a task has failed too often.
    pub async fn stop(self) -> anyhow::Result<()> {
        self.context.timeline.add(EventKind::Process, "stopping");
        self.stop.cancel();
        let result = self.task.await?;
        exchange::run_last(&self.context).await;
        result
    }
}

fn build_supervisor(
    context: &Context,
    instances: InstanceListClient,
    peer_server: PeerServer,
    listener: TcpListener,
    demand_receiver: mpsc::Receiver<DemandReport>,
    stop: &CancellationToken,
) -> Supervisor {
    let supervisor = Supervisor::new("planner", stop.clone());
    let supervisor = with_peer_server(supervisor, context, peer_server);
    let supervisor = with_operator_api(supervisor, context, listener, stop);
    let supervisor = with_leader(supervisor, context, instances, demand_receiver, stop);
    let (exchange_context, watch_context) = (context.clone(), context.clone());
    supervisor
        .task("exchange", move || exchange::run(exchange_context.clone()))
        .task("key-value", move || key_value::run(watch_context.clone()))
}

/// Adds the task of the peer server; a restart binds the same address again.
fn with_peer_server(supervisor: Supervisor, context: &Context, peer_server: PeerServer) -> Supervisor {
    let addr = peer_server.addr();
    let (context, initial) = (context.clone(), InitialListener::new(peer_server));
    supervisor.task("peer server", move || {
        let (context, bound) = (context.clone(), initial.take());
        async move {
            let mut peer_server = match bound {
                Some(peer_server) => peer_server,
                None => bind_peer_server(&context, addr).await?,
            };
            Ok(peer_server.wait_ended().await?)
        }
    })
}

/// Adds the task of the operator API; a restart binds the same address again.
fn with_operator_api(
    supervisor: Supervisor,
    context: &Context,
    listener: TcpListener,
    stop: &CancellationToken,
) -> Supervisor {
    let addr = listener.local_addr();
    let (context, stop, initial) = (context.clone(), stop.clone(), InitialListener::new(listener));
    supervisor.graceful_task("operators", move || {
        let (context, stop, bound) = (context.clone(), stop.clone(), initial.take());
        let addr = addr.as_ref().ok().copied();
        async move {
            let listener = match (bound, addr) {
                (Some(listener), _) => listener,
                (None, Some(addr)) => TcpListener::bind(addr).await?,
                (None, None) => anyhow::bail!("operator API: address unknown"),
            };
            operator::serve(context, listener, stop).await
        }
    })
}

/// Adds the task of the leader; a restarted leader starts without the demand that the previous one received.
fn with_leader(
    supervisor: Supervisor,
    context: &Context,
    instances: InstanceListClient,
    demand_receiver: mpsc::Receiver<DemandReport>,
    stop: &CancellationToken,
) -> Supervisor {
    let demand_receiver = Arc::new(tokio::sync::Mutex::new(demand_receiver));
    let (context, stop) = (context.clone(), stop.clone());
    supervisor.graceful_task("leader", move || {
        let (sender, demand) = mpsc::channel(DEMAND_QUEUE_SIZE);
        let leader = Leader::spawn(LeaderSetup {
            instance: context.instance.clone(),
            zone: context.zone.clone(),
            key_value: context.key_value.clone(),
            instances: instances.clone(),
            engine: EngineClient::open(),
            node: context.node.clone(),
            timeline: context.timeline.clone(),
            metrics: context.metrics.clone(),
            stop: stop.child_token(),
            demand,
        });
        let demand_receiver = demand_receiver.clone();
        async move {
            tokio::select! {
                ended = leader.wait_ended() => ended,
                () = forward_reports(demand_receiver, sender) => Ok(()),
            }
        }
    })
}

/// Forwards demand reports to one run of the leader; never returns, since the end of the leader ends the
/// task.
async fn forward_reports(
    reports: Arc<tokio::sync::Mutex<mpsc::Receiver<DemandReport>>>,
    sender: mpsc::Sender<DemandReport>,
) {
    let mut reports = reports.lock().await;
    while let Some(report) = reports.recv().await {
        // A full queue means that the leader is behind; the next report makes up for this one.
        drop(sender.try_send(report));
    }
    std::future::pending::<()>().await;
}

async fn bind_peer_server(context: &Context, addr: SocketAddr) -> anyhow::Result<PeerServer> {
    let context = context.clone();
    let bound =
        PeerServer::bind(addr, move |message| exchange::handle_message(context.clone(), message)).await;
    bound.with_context(|| format!("--peer: {addr}"))
}

/// A listener that is bound at the start and taken by the first run of a task; later runs bind a new one.
#[derive(Debug, Clone)]
struct InitialListener<T>(Arc<Mutex<Option<T>>>);

impl<T> InitialListener<T> {
    fn new(value: T) -> Self {
        Self(Arc::new(Mutex::new(Some(value))))
    }

    fn take(&self) -> Option<T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
