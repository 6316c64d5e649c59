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
/// Also bounds how long a silent planner delays the use of another one.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time on another planner after which the instance's own is tried again.
const FALLBACK_TIME: Duration = Duration::from_secs(5);

/// Planners in order of preference, with the one in use.
#[derive(Debug)]
struct Planners {
    addrs: Vec<SocketAddr>,
    current: usize,
    since: Instant,
}

/// Exchanges the shared state with a planner.
pub(crate) async fn sync(context: Arc<Context>) -> anyhow::Result<()> {
    let client = PeerClient::open(TIMEOUT);
    let mut planners = Planners::new(&context);
    let mut ticks = tokio::time::interval(SYNC_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let addr = planners.current();
        if let Err(err) = sync_with(&context, &client, &addr).await {
            tracing::debug!("entry: exchange with planner {addr} failed: {err}");
            planners.advance();
        }
    }
}

/// Reports demand to the zone's leader.
pub(crate) async fn report_demand(context: Arc<Context>) -> anyhow::Result<()> {
    let client = PeerClient::open(TIMEOUT);
    let mut ticks = tokio::time::interval(DEMAND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        ticks.tick().await;
        let models = context.demand.take();
        if models.is_empty() {
            last = Instant::now();
            continue;
        }
        let interval_ms = last.elapsed().as_millis() as u64;
        let instance = context.settings.instance.clone();
        let message = PeerMessage::Demand(DemandReport { instance, interval_ms, models: models.clone() });
        match client.exchange(&leader(&context), &message).await {
            Ok(_) => last = Instant::now(),
            Err(err) => {
                tracing::debug!("entry: demand report failed: {err}");
                context.demand.restore(models);
            }
        }
    }
}

async fn sync_with(context: &Context, client: &PeerClient, addr: &str) -> anyhow::Result<()> {
    let learned = context.node.exchange(client, addr, &context.settings.instance).await?;
    for change in &learned.changes {
        note(context, change);
    }
    if let Some(version) = learned.conflicting_version {
        tracing::error!("entry: planner {addr} has another manifest of version {version}; it is not adopted");
    }
    Ok(())
}

fn note(context: &Context, change: &Change) {
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

fn leader(context: &Context) -> String {
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

    fn current(&mut self) -> String {
        if self.current != 0 && self.since.elapsed() >= FALLBACK_TIME {
            self.current = 0;
            self.since = Instant::now();
        }
        self.addrs[self.current].to_string()
    }

    fn advance(&mut self) {
        self.current = (self.current + 1) % self.addrs.len();
        self.since = Instant::now();
    }
}
