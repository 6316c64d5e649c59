use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use carobwick_core::DemandReport;
use carobwick_core::PeerAddresses;
use carobwick_core::PeerMessage;
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::task::JoinSet;

use crate::Context;

const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
const LAST_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of peers of the own zone with which one round exchanges.
const LOCAL_PEER_COUNT: usize = 2;

/// Exchanges state with random peers every 0.5 s, and at once after an accepted change.
pub(crate) async fn run(context: Context) -> anyhow::Result<()> {
    let active = ActiveExchanges::default();
    loop {
        context.record_applied();
        for addr in choose_peers(&context) {
            start_exchange(&context, &active, addr);
        }
        // Without jitter, processes that start together would all exchange at the same moments.
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::select! {
            () = tokio::time::sleep(EXCHANGE_INTERVAL.mul_f64(jitter)) => {}
            () = context.wake.notified() => {}
        }
    }
}

/// Exchanges state once with some peers, for changes that were accepted while the planner stopped.
pub(crate) async fn run_last(context: &Context) {
    let mut exchanges = JoinSet::new();
    for addr in choose_peers(context) {
        let context = context.clone();
        exchanges.spawn(async move {
            if let Err(err) = context.node.exchange(&context.peers, &addr, &context.instance).await {
                tracing::info!("peer: last exchange with {addr} failed: {err}");
            }
        });
    }
    if tokio::time::timeout(LAST_EXCHANGE_TIMEOUT, exchanges.join_all()).await.is_err() {
        tracing::info!("peer: last exchange timed out after {LAST_EXCHANGE_TIMEOUT:?}");
    }
}

/// Handles a message of a peer or entry and returns the reply.
pub(crate) async fn handle_message(context: Context, message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::Demand(report) => {
            forward_demand(&context, report).await;
            PeerMessage::Ack
        }
        PeerMessage::Relayed(report) => {
            enqueue_demand(&context, report);
            PeerMessage::Ack
        }
        message => {
            record_entry_state(&context, &message);
            let (reply, outcome) = context.node.handle_message(message);
            context.record_merge(&outcome, "a peer");
            reply
        }
    }
}

/// Records the manifest version that the entry of this instance has in force; it sends under the same
/// instance id.
fn record_entry_state(context: &Context, message: &PeerMessage) {
    match message {
        PeerMessage::Sync { from, digest } if *from == context.instance => {
            context.record_entry_version(digest.config.map(|(version, _)| version));
        }
        PeerMessage::Probe { from, state_hash } if *from == context.instance => {
            let (own, version) = context.node.read(|state| {
                (state.digest().state_hash(), state.config.as_ref().map(|record| record.version))
            });
            if own == *state_hash {
                context.record_entry_version(version);
            }
        }
        _ => {}
    }
}

/// Addresses of peers with an exchange in flight, so that a slow peer doesn't get a second one.
type ActiveExchanges = Arc<Mutex<HashSet<String>>>;

fn start_exchange(context: &Context, active: &ActiveExchanges, addr: String) {
    if !active.lock().unwrap_or_else(PoisonError::into_inner).insert(addr.clone()) {
        return;
    }
    let (context, active) = (context.clone(), Arc::clone(active));
    tokio::spawn(async move {
        let outcome = context.node.exchange(&context.peers, &addr, &context.instance).await;
        context.meters.record_exchange(outcome.is_ok());
        match outcome {
            Ok(outcome) => context.record_merge(&outcome, &addr),
            Err(err) => tracing::debug!("peer: exchange with {addr} failed: {err}"),
        }
        active.lock().unwrap_or_else(PoisonError::into_inner).remove(&addr);
    });
}

/// Returns random peers: two of the own zone and one of another zone, with seeds while fewer are known.
fn choose_peers(context: &Context) -> Vec<String> {
    let addresses =
        context.node.read(|state| PeerAddresses::from_views(&state.views, &context.zone, &context.instance));
    let rng = &mut rand::rng();
    let mut chosen: Vec<String> = addresses.local.choose_multiple(rng, LOCAL_PEER_COUNT).cloned().collect();
    chosen.extend(addresses.remote.choose(rng).cloned());
    let missing = (LOCAL_PEER_COUNT + 1).saturating_sub(chosen.len());
    let seeds = context.seeds.choose_multiple(rng, missing).map(ToString::to_string);
    let seeds: Vec<String> = seeds.filter(|seed| !chosen.contains(seed)).collect();
    chosen.extend(seeds);
    chosen
}

/// Passes a demand report to the zone's leader, in this process or at another planner.
async fn forward_demand(context: &Context, report: DemandReport) {
    let leader = context.node.read(|state| {
        let view = state.views.get(&context.zone)?;
        (view.leader != context.instance)
            .then(|| view.instances.get(&view.leader))?
            .map(|leader| leader.peer.clone())
    });
    let Some(addr) = leader else {
        enqueue_demand(context, report);
        return;
    };
    if let Err(err) = context.peers.exchange(&addr, &PeerMessage::Relayed(report)).await {
        tracing::debug!("peer: demand report not relayed to {addr}: {err}");
    }
}

fn enqueue_demand(context: &Context, report: DemandReport) {
    // A full queue means that the leader is behind; the next report makes up for this one.
    if context.demand.try_send(report).is_err() {
        tracing::debug!("planner: demand report dropped");
    }
}
