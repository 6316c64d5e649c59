//! Computes the control traffic between planners at the target scale: runs every exchange of a fleet in
//! virtual time and adds up the encoded sizes of the messages.
//!
//! `cargo run --release -p carobwick-runtime --example traffic`

use std::collections::BTreeMap;
use std::sync::Arc;

use carobwick_core::ConfigRecord;
use carobwick_core::Delta;
use carobwick_core::EndpointState;
use carobwick_core::EndpointView;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::InstanceView;
use carobwick_core::LoadReport;
use carobwick_core::Manifest;
use carobwick_core::PeerAddresses;
use carobwick_core::PeerMessage;
use carobwick_core::Resident;
use carobwick_core::SharedState;
use carobwick_core::Version;
use carobwick_core::WriteId;
use carobwick_core::ZoneView;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::json;

const ZONE_COUNT: usize = 7;
const INSTANCES_PER_ZONE: usize = 47;
const ENDPOINTS_PER_ZONE: usize = 96;
const MODEL_COUNT: usize = 1_600;
/// Each instance exchanges with its chosen peers once per round.
const ROUND_SECONDS: f64 = 0.5;
/// Rounds after which the example stops waiting for a publish; 12 rounds are 6 s.
const MAX_ROUNDS: usize = 60;
/// Bytes added to each message by HTTP/2: frame headers and compressed request or response headers, as the
/// test `traffic` of this crate measures them on a connection.
const FRAMING_BYTES: usize = 21;

struct Fleet {
    states: Vec<SharedState>,
    addresses: BTreeMap<String, usize>,
    rng: StdRng,
    bytes: usize,
    messages: usize,
}

fn main() {
    // The size of a patch does not depend on the manifest, so a small one is used: 329 copies of it are in
    // memory.
    println!("manifest of {MODEL_COUNT} models, whole: {} bytes", full_manifest_size());
    let mut fleet = Fleet::new();
    fleet.run_rounds("until all confirmations are known", 12);
    fleet.run_rounds("quiet", 20);
    let rounds = fleet.publish();
    println!("publish: in force at all {} instances after {rounds} rounds", ZONE_COUNT * INSTANCES_PER_ZONE);
    fleet.run_rounds("rest of the 30 s after a publish of one model", 60 - rounds);
    fleet.change_view();
    fleet.run_rounds("10 s after one endpoint changed its models", 20);
}

impl Fleet {
    fn new() -> Self {
        let views: Vec<Arc<ZoneView>> = (0..ZONE_COUNT).map(|zone| Arc::new(view(zone))).collect();
        let record = ConfigRecord::first(manifest(20), WriteId(1)).expect("the manifest is valid");
        let mut states = Vec::new();
        for _ in 0..ZONE_COUNT * INSTANCES_PER_ZONE {
            let mut state = SharedState::default();
            state.adopt(record.clone());
            state.views = views.iter().map(|view| (view.zone.clone(), Arc::clone(view))).collect();
            states.push(state);
        }
        let addresses = (0..states.len()).map(|index| (address(index), index)).collect();
        Self { states, addresses, rng: StdRng::seed_from_u64(1), bytes: 0, messages: 0 }
    }

    fn run_rounds(&mut self, label: &str, rounds: usize) {
        (self.bytes, self.messages) = (0, 0);
        for _ in 0..rounds {
            self.run_round();
        }
        self.print_rate(label, rounds);
    }

    fn print_rate(&self, label: &str, rounds: usize) {
        let seconds = rounds as f64 * ROUND_SECONDS * self.states.len() as f64;
        // Each message is sent by one instance and received by another.
        let rate = 2.0 * self.bytes as f64 / seconds;
        println!(
            "{label}: {rate:.0} bytes/s per instance, sent and received; {:.1} messages/s",
            2.0 * self.messages as f64 / seconds
        );
    }

    /// Publishes a change of one model and returns the number of rounds until it is in force everywhere.
    fn publish(&mut self) -> usize {
        let record = self.states[0].config.clone().expect("a manifest is in force");
        let mut changed = record.manifest.clone();
        changed.models[0].size.0 += 1;
        let next_record = record.following(changed, WriteId(2)).expect("the manifest is valid");
        self.states[0].adopt(next_record);
        (self.bytes, self.messages) = (0, 0);
        let in_force =
            |state: &SharedState| state.config.as_ref().is_some_and(|record| record.version == Version(2));
        let mut rounds = 0;
        while rounds < MAX_ROUNDS && !self.states.iter().all(in_force) {
            self.run_round();
            rounds += 1;
        }
        self.print_rate("until a publish is in force everywhere", rounds);
        rounds
    }

    fn change_view(&mut self) {
        let mut view = ZoneView::clone(&self.states[0].views[0]);
        view.version = view.version.next();
        view.endpoints[0].resident.pop();
        self.states[0].merge_view(view);
    }

    fn run_round(&mut self) {
        for index in 0..self.states.len() {
            let state = &mut self.states[index];
            if let Some(version) = state.config.as_ref().map(|record| record.version) {
                state.record_applied(&instance(index), version);
            }
            let candidates =
                PeerAddresses::from_views(&state.views, &zone(index / INSTANCES_PER_ZONE), &instance(index));
            let mut chosen: Vec<String> =
                candidates.local.choose_multiple(&mut self.rng, 2).cloned().collect();
            chosen.extend(candidates.remote.choose(&mut self.rng).cloned());
            for address in chosen {
                self.exchange(index, self.addresses[&address]);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let digest = self.states[from].digest();
        self.count(&PeerMessage::Probe { from: instance(from), state_hash: digest.state_hash() });
        if digest.state_hash() == self.states[to].digest().state_hash() {
            self.count(&PeerMessage::Same);
            return;
        }
        self.count(&PeerMessage::Differs);
        self.count(&PeerMessage::Sync { from: instance(from), digest: digest.clone() });
        self.states[to].merge_applied(&digest);
        let (reply_digest, delta) = (self.states[to].digest(), self.states[to].delta_for(&digest));
        self.count(&PeerMessage::SyncReply { digest: reply_digest.clone(), delta: delta.clone() });
        self.states[from].merge(delta);
        self.states[from].merge_applied(&reply_digest);
        let delta = self.states[from].delta_for(&reply_digest);
        if delta != Delta::default() {
            self.count(&PeerMessage::Push { delta: delta.clone() });
            self.count(&PeerMessage::Ack);
            self.states[to].merge(delta);
        }
    }

    fn count(&mut self, message: &PeerMessage) {
        self.bytes += encoded_size(message) + FRAMING_BYTES;
        self.messages += 1;
    }
}

fn encoded_size(message: &PeerMessage) -> usize {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
    bytes.expect("messages can be encoded").len()
}

fn full_manifest_size() -> usize {
    let record = ConfigRecord::first(manifest(MODEL_COUNT), WriteId(1)).expect("the manifest is valid");
    encoded_size(&PeerMessage::Push { delta: Delta { config: Some(record), ..Delta::default() } })
}

fn manifest(models: usize) -> Manifest {
    let model = |index: usize| {
        (
            format!("lettering-model-{index:04}"),
            json!({"service": "lettering-llm", "version": "2026-01-15", "size": 12_000_000_000_u64}),
        )
    };
    let models: serde_json::Map<String, serde_json::Value> = (0..models).map(model).collect();
    let manifest = json!({
        "deployment": "target",
        "objective": {"attainment": 1.0, "moves": 0.5},
        "store": {"rate": 2.0, "concurrent": 8},
        "adapter_loads": 64,
        "zones": (0..ZONE_COUNT).map(zone).collect::<Vec<_>>(),
        "services": {"lettering-llm": {"kind": "engine", "memory": 320_000_000_000_u64, "slots": 64}},
        "models": models,
    });
    Manifest::from_json(&manifest.to_string()).expect("the manifest is valid")
}

fn view(index: usize) -> ZoneView {
    let first_index = index * INSTANCES_PER_ZONE;
    let instances = (first_index..first_index + INSTANCES_PER_ZONE).map(|index| {
        let entry = format!("10.1.{}.{}:8080", index / INSTANCES_PER_ZONE, index % INSTANCES_PER_ZONE);
        (instance(index), InstanceView { entry, peer: address(index), live: true })
    });
    let resident = |model: usize| Resident {
        model: id(&format!("lettering-model-{:04}", model % MODEL_COUNT)),
        version: id("2026-01-15"),
        size: carobwick_core::Bytes(12_000_000_000),
    };
    let endpoints = (0..ENDPOINTS_PER_ZONE).map(|endpoint| {
        let view = EndpointView {
            service: id("lettering-llm"),
            addr: format!("10.2.{index}.{endpoint}:8000"),
            incarnation: Incarnation(endpoint as u64 + 1),
            state: EndpointState::Live,
            resident: (0..5).map(|slot| resident(index * 228 + endpoint * 5 + slot)).collect(),
            load: LoadReport { running: 20, queued: 3, cached_tokens: 100_000, free_tokens: 50_000 },
        };
        (id(&format!("zone-{index}-engine-{endpoint:03}")), view)
    });
    ZoneView {
        zone: zone(index),
        fence: Fence::first(1_000_000),
        version: Version(1),
        leader: instance(first_index),
        instances: instances.collect(),
        endpoints: endpoints.collect(),
        blocked: [].into(),
        reasons: [].into(),
    }
}

fn zone(index: usize) -> carobwick_core::ZoneId {
    id(&format!("region-zone-{index}"))
}

fn instance(index: usize) -> carobwick_core::InstanceId {
    id(&format!("zone-{}-entry-{:02}", index / INSTANCES_PER_ZONE, index % INSTANCES_PER_ZONE))
}

fn address(index: usize) -> String {
    format!("10.1.{}.{}:7000", index / INSTANCES_PER_ZONE, index % INSTANCES_PER_ZONE)
}

fn id<T: std::str::FromStr<Err = carobwick_core::Error>>(text: &str) -> T {
    text.parse().expect("the id is valid")
}
