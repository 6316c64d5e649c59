use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::Change;
use carobwick_core::DemandReport;
use carobwick_core::EventKind;
use carobwick_core::PeerMessage;
use carobwick_runtime::PeerClient;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::context::Context;

const SYNC_INTERVAL: Duration = Duration::from_millis(500);
const DEMAND_INTERVAL: Duration = Duration::from_secs(2);
/// Also bounds how long an unresponsive planner delays the switch to another one.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time on a fallback planner after which the planner of this instance is tried again.
const PREFERRED_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Planners in order of preference, with the one in use.
#[derive(Debug)]
struct Planners {
    addrs: Vec<SocketAddr>,
    current: usize,
    since: Instant,
}

/// Synchronizes the shared state with a planner by periodic anti-entropy exchanges.
pub(crate) async fn sync(context: Arc<Context>) -> anyhow::Result<()> {
    let client = PeerClient::open(PEER_TIMEOUT);
    let mut planners = Planners::new(&context);
    let mut ticks = tokio::time::interval(SYNC_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let addr = planners.select();
        if let Err(err) = sync_with(&context, &client, &addr).await {
            tracing::debug!("entry: exchange with planner {addr} failed: {err}");
            planners.select_next();
        }
    }
}

/// Periodically reports demand to the zone's leader; counts whose report failed go into the next one.
pub(crate) async fn report_demand(context: Arc<Context>) -> anyhow::Result<()> {
    let client = PeerClient::open(PEER_TIMEOUT);
    let mut ticks = tokio::time::interval(DEMAND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_report = Instant::now();
    loop {
        ticks.tick().await;
        let models = context.demand.take();
        if models.is_empty() {
            last_report = Instant::now();
            continue;
        }
        let interval_ms = last_report.elapsed().as_millis() as u64;
        let instance = context.settings.instance.clone();
        let message = PeerMessage::Demand(DemandReport { instance, interval_ms, models: models.clone() });
        match client.exchange(&leader_addr(&context), &message).await {
            Ok(_) => last_report = Instant::now(),
            Err(err) => {
                tracing::debug!("entry: demand report failed: {err}");
                context.demand.restore(models);
            }
        }
    }
}

async fn sync_with(context: &Context, client: &PeerClient, addr: &str) -> anyhow::Result<()> {
    let outcome = context.node.exchange(client, addr, &context.settings.instance).await?;
    for change in &outcome.changes {
        log_change(context, change);
    }
    if let Some(version) = outcome.conflicting_version {
        tracing::error!(
            "entry: planner {addr} has a different manifest with version {version}; it is not adopted"
        );
    }
    Ok(())
}

fn log_change(context: &Context, change: &Change) {
    match change {
        Change::Config(version) => {
            tracing::info!("entry: manifest version {version} is in force");
            context.timeline.add(EventKind::Config, format!("manifest version {version} is in force"));
        }
        Change::Drains => context.timeline.add(EventKind::Drain, "drains changed"),
        Change::View(zone) => tracing::debug!("entry: new view of zone {zone}"),
        Change::CrashReport => context.timeline.add(EventKind::Endpoint, "a crash report arrived"),
    }
}

fn leader_addr(context: &Context) -> String {
    let known = context.node.read(|state| {
        let view = state.views.get(&context.settings.zone)?;
        view.instances.get(&view.leader).map(|leader| leader.peer.clone())
    });
    known.unwrap_or_else(|| context.settings.planner.to_string())
}

impl Planners {
    fn new(context: &Context) -> Self {
        let settings = &context.settings;
        let addrs = std::iter::once(settings.planner).chain(settings.fallbacks.iter().copied()).collect();
        Self { addrs, current: 0, since: Instant::now() }
    }

    fn select(&mut self) -> String {
        if self.current != 0 && self.since.elapsed() >= PREFERRED_RETRY_DELAY {
            self.current = 0;
            self.since = Instant::now();
        }
        self.addrs[self.current].to_string()
    }

    fn select_next(&mut self) {
        self.current = (self.current + 1) % self.addrs.len();
        self.since = Instant::now();
    }
}
