//! A zone of stand-ins with leaders that run in the test's process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::Bytes;
use carobwick_core::ConfigRecord;
use carobwick_core::Manifest;
use carobwick_core::ModelId;
use carobwick_core::WriteId;
use carobwick_core::ZoneId;
use carobwick_core::ZonePlan;
use carobwick_core::ZoneView;
use carobwick_planner::Leader;
use carobwick_planner::LeaderSetup;
use carobwick_runtime::EngineClient;
use carobwick_runtime::InstanceKind;
use carobwick_runtime::InstanceListClient;
use carobwick_runtime::InstanceStatus;
use carobwick_runtime::KeyValueClient;
use carobwick_runtime::ListedInstance;
use carobwick_runtime::Metrics;
use carobwick_runtime::Node;
use carobwick_runtime::Timeline;
use carobwick_standins::EngineFaults;
use carobwick_standins::EngineOptions;
use carobwick_standins::EngineStandin;
use carobwick_standins::InstanceFaults;
use carobwick_standins::InstancesStandin;
use carobwick_standins::KvFaults;
use carobwick_standins::KvStandin;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Longest wait for a condition, which is usually met within a few seconds.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

pub struct TestZone {
    pub kv: KvStandin,
    pub instances: InstancesStandin,
    pub engines: Vec<EngineStandin>,
    manifest: Manifest,
}

impl TestZone {
    /// Starts a zone with engines of 100 bytes and a manifest with models of the given sizes.
    pub async fn start(engine_count: usize, sizes: &[u64], ignore_fence: bool) -> Self {
        let local_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let kv = KvStandin::spawn(local_addr, KvFaults::default()).await.unwrap();
        let mut engines = Vec::new();
        let mut list = Vec::new();
        for index in 0..engine_count {
            let id = format!("e{index}");
            let mut options = EngineOptions::new(id.parse().unwrap(), "llm".parse().unwrap(), Bytes(100));
            options.ignore_fence = ignore_fence;
            options.load_time = Duration::from_millis(20);
            let engine = EngineStandin::spawn(local_addr, options, EngineFaults::default()).await.unwrap();
            list.push(ListedInstance {
                id,
                zone: "a".parse().unwrap(),
                kind: InstanceKind::Endpoint,
                service: Some("llm".parse().unwrap()),
                addr: engine.server().addr().to_string(),
                peer: String::new(),
                state: InstanceStatus::Live,
            });
            engines.push(engine);
        }
        let instances = InstancesStandin::spawn(local_addr, list, Duration::ZERO, InstanceFaults::default())
            .await
            .unwrap();
        let models: serde_json::Map<_, _> = sizes
            .iter()
            .enumerate()
            .map(|(i, size)| (format!("m{i}"), json!({"service": "llm", "version": "1", "size": size})))
            .collect();
        let manifest = json!({
            "deployment": "test",
            "objective": {"attainment": 1.0, "moves": 1.0},
            "store": {"rate": 20.0, "concurrent": 4},
            "adapter_loads": 16,
            "zones": ["a"],
            "services": {
                "llm": {"kind": "engine", "memory": 100, "slots": 8, "checks_fence": !ignore_fence},
            },
            "models": models,
        });
        let manifest = Manifest::from_json(&manifest.to_string()).unwrap();
        Self { kv, instances, engines, manifest }
    }

    /// Starts the leader task of a planner that has the manifest in force.
    pub fn start_leader(&self, instance: &str) -> (Leader, Node) {
        let node = Node::open();
        let record = ConfigRecord::first(self.manifest.clone(), WriteId(1)).unwrap();
        node.update(|state| state.config = Some(Arc::new(record)));
        let (_sender, demand) = mpsc::channel(8);
        let leader = Leader::spawn(LeaderSetup {
            instance: instance.parse().unwrap(),
            zone: "a".parse().unwrap(),
            key_value: KeyValueClient::open(&self.kv.server().url(), Duration::from_secs(1)),
            instances: InstanceListClient::open(&self.instances.server().url()),
            engine: EngineClient::open(),
            node: node.clone(),
            timeline: Timeline::open(instance.parse().unwrap(), "carobwick-planner"),
            metrics: Metrics::open().unwrap(),
            stop: CancellationToken::new(),
            demand,
        });
        (leader, node)
    }

    /// Waits until the plan in the key-value service meets a condition.
    pub async fn wait_for_plan(&self, condition: impl Fn(&ZonePlan) -> bool) {
        let client = KeyValueClient::open(&self.kv.server().url(), Duration::from_secs(1));
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let entry = client.get("zones/a/plan").await.unwrap();
            let plan = entry.map(|entry| serde_json::from_slice(&entry.value).unwrap());
            if plan.as_ref().is_some_and(&condition) {
                return;
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "the plan does not meet the condition: {plan:#?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the models of the manifest.
    pub fn models(&self) -> Vec<ModelId> {
        self.manifest.models.keys().cloned().collect()
    }

    /// Returns the number of loads that all engines started, and of load orders that did not fit into memory.
    pub fn load_counts(&self) -> (u64, u64) {
        let stats: Vec<_> = self.engines.iter().map(EngineStandin::stats).collect();
        (
            stats.iter().map(|engine| engine.loads).sum(),
            stats.iter().map(|engine| engine.overcommit_attempts).sum(),
        )
    }
}

/// Waits until the node's view of the zone meets a condition, and returns the view.
pub async fn wait_for_view(node: &Node, condition: impl Fn(&ZoneView) -> bool) -> Arc<ZoneView> {
    let zone: ZoneId = "a".parse().unwrap();
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let view = node.read(|state| state.views.get(&zone).cloned());
        if let Some(view) = view.as_ref().filter(|view| condition(view)) {
            return Arc::clone(view);
        }
        assert!(tokio::time::Instant::now() < deadline, "the view does not meet the condition: {view:#?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns whether every model is resident somewhere.
pub fn all_resident(view: &ZoneView, models: &[ModelId]) -> bool {
    models.iter().all(|model| view.endpoints.values().any(|endpoint| endpoint.holds(model)))
}
