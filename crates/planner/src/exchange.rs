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

use crate::Context;

const INTERVAL: Duration = Duration::from_millis(500);
/// Peers of the own zone per round.
const LOCAL_PEERS: usize = 2;

/// Exchanges state with random peers every 0.5 s, and at once after an accepted change.
pub(crate) async fn run(context: Context) -> anyhow::Result<()> {
    let busy = Busy::default();
    loop {
        context.confirm();
        for addr in choose(&context) {
            start(&context, &busy, addr);
        }
        // Without jitter, processes that start together would exchange in step.
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::select! {
            () = tokio::time::sleep(INTERVAL.mul_f64(jitter)) => {}
            () = context.wake.notified() => {}
        }
    }
}

/// Answers a message of a peer or entry.
pub(crate) async fn answer(context: Context, message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::Demand(report) => {
            pass_on(&context, report).await;
            PeerMessage::Ack
        }
        PeerMessage::Relayed(report) => {
            deliver(&context, report);
            PeerMessage::Ack
        }
        message => {
            note_entry(&context, &message);
            let (reply, learned) = context.node.handle_message(message);
            context.record(&learned, "a peer");
            reply
        }
    }
}

/// Notes what the entry of this instance, which has the same name, has in force.
fn note_entry(context: &Context, message: &PeerMessage) {
    match message {
        PeerMessage::Sync { from, digest } if *from == context.instance => {
            context.note_entry(digest.config.map(|(version, _)| version));
        }
        PeerMessage::Probe { from, state_hash } if *from == context.instance => {
            let (own, version) = context.node.read(|state| {
                (state.digest().state_hash(), state.config.as_ref().map(|record| record.version))
            });
            if own == *state_hash {
                context.note_entry(version);
            }
        }
        _ => {}
    }
}

/// Addresses with which an exchange is under way, so that a slow peer is not asked twice.
type Busy = Arc<Mutex<HashSet<String>>>;

fn start(context: &Context, busy: &Busy, addr: String) {
    if !busy.lock().unwrap_or_else(PoisonError::into_inner).insert(addr.clone()) {
        return;
    }
    let (context, busy) = (context.clone(), Arc::clone(busy));
    tokio::spawn(async move {
        let learned = context.node.exchange(&context.peers, &addr, &context.instance).await;
        context.meters.exchange(learned.is_ok());
        match learned {
            Ok(learned) => context.record(&learned, &addr),
            Err(err) => tracing::debug!("peer: exchange with {addr} failed: {err}"),
        }
        busy.lock().unwrap_or_else(PoisonError::into_inner).remove(&addr);
    });
}

/// Chooses two peers of the own zone and one of another, and seeds while too few are known.
fn choose(context: &Context) -> Vec<String> {
    let choices =
        context.node.read(|state| PeerAddresses::from_views(&state.views, &context.zone, &context.instance));
    let rng = &mut rand::rng();
    let mut chosen: Vec<String> = choices.local.choose_multiple(rng, LOCAL_PEERS).cloned().collect();
    chosen.extend(choices.remote.choose(rng).cloned());
    let missing = (LOCAL_PEERS + 1).saturating_sub(chosen.len());
    let seeds = context.seeds.choose_multiple(rng, missing).map(ToString::to_string);
    let seeds: Vec<String> = seeds.filter(|seed| !chosen.contains(seed)).collect();
    chosen.extend(seeds);
    chosen
}

/// Hands a report to the zone's leader, here or at another planner.
async fn pass_on(context: &Context, report: DemandReport) {
    let leader = context.node.read(|state| {
        let view = state.views.get(&context.zone)?;
        (view.leader != context.instance)
            .then(|| view.instances.get(&view.leader))?
            .map(|leader| leader.peer.clone())
    });
    let Some(addr) = leader else {
        deliver(context, report);
        return;
    };
    if let Err(err) = context.peers.exchange(&addr, &PeerMessage::Relayed(report)).await {
        tracing::debug!("peer: demand not passed on to {addr}: {err}");
    }
}

fn deliver(context: &Context, report: DemandReport) {
    // A full queue means that the leader is behind; the next report makes up for this one.
    if context.demand.try_send(report).is_err() {
        tracing::debug!("planner: demand report dropped");
    }
}
