//! A zone of stand-ins with planners that run in the test's process.

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

/// Longest wait for a condition; the runs reach theirs in a few seconds.
const PATIENCE: Duration = Duration::from_mins(1);

pub struct Zone {
    pub kv: KvStandin,
    pub instances: InstancesStandin,
    pub engines: Vec<EngineStandin>,
    manifest: Manifest,
}

impl Zone {
    /// Starts a zone with engines of 100 bytes and a manifest with models of the given sizes.
    pub async fn start(engines: usize, sizes: &[u64], ignore_fence: bool) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let kv = KvStandin::spawn(any, KvFaults::default()).await.unwrap();
        let mut started = Vec::new();
        let mut list = Vec::new();
        for index in 0..engines {
            let id = format!("e{index}");
            let mut options = EngineOptions::new(id.parse().unwrap(), "llm".parse().unwrap(), Bytes(100));
            options.ignore_fence = ignore_fence;
            options.load_time = Duration::from_millis(20);
            let engine = EngineStandin::spawn(any, options, EngineFaults::default()).await.unwrap();
            list.push(ListedInstance {
                id,
                zone: "a".parse().unwrap(),
                kind: InstanceKind::Endpoint,
                service: Some("llm".parse().unwrap()),
                addr: engine.server().addr().to_string(),
                peer: String::new(),
                state: InstanceStatus::Live,
            });
            started.push(engine);
        }
        let instances =
            InstancesStandin::spawn(any, list, Duration::ZERO, InstanceFaults::default()).await.unwrap();
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
        Self { kv, instances, engines: started, manifest }
    }

    /// Starts a planner's leader with the manifest in force.
    pub fn planner(&self, instance: &str) -> (Leader, Node) {
        let node = Node::open();
        let record = ConfigRecord::first(self.manifest.clone(), WriteId(1)).unwrap();
        node.update(|state| state.config = Some(Arc::new(record)));
        let (_demand, reports) = mpsc::channel(8);
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
            demand: reports,
        });
        (leader, node)
    }

    /// Waits until the plan in the key-value service is as wanted.
    pub async fn plan_where(&self, wanted: impl Fn(&ZonePlan) -> bool) {
        let client = KeyValueClient::open(&self.kv.server().url(), Duration::from_secs(1));
        let end = tokio::time::Instant::now() + PATIENCE;
        loop {
            let entry = client.get("zones/a/plan").await.unwrap();
            let plan = entry.map(|entry| serde_json::from_slice(&entry.value).unwrap());
            if plan.as_ref().is_some_and(&wanted) {
                return;
            }
            assert!(tokio::time::Instant::now() < end, "the plan did not get there: {plan:#?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the models of the manifest.
    pub fn models(&self) -> Vec<ModelId> {
        self.manifest.models.keys().cloned().collect()
    }

    /// Returns the loads that all engines were asked for, and those that did not fit.
    pub fn loads(&self) -> (u64, u64) {
        let stats: Vec<_> = self.engines.iter().map(EngineStandin::stats).collect();
        (stats.iter().map(|s| s.loads).sum(), stats.iter().map(|s| s.overcommit_attempts).sum())
    }
}

/// Waits until the node's view of the zone is as wanted.
pub async fn view_where(node: &Node, wanted: impl Fn(&ZoneView) -> bool) -> Arc<ZoneView> {
    let zone: ZoneId = "a".parse().unwrap();
    let end = tokio::time::Instant::now() + PATIENCE;
    loop {
        let view = node.read(|state| state.views.get(&zone).cloned());
        if let Some(view) = view.as_ref().filter(|view| wanted(view)) {
            return Arc::clone(view);
        }
        assert!(tokio::time::Instant::now() < end, "the view did not get there: {view:#?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns whether every model is resident somewhere.
pub fn all_resident(view: &ZoneView, models: &[ModelId]) -> bool {
    models.iter().all(|model| view.endpoints.values().any(|endpoint| endpoint.holds(model)))
}
