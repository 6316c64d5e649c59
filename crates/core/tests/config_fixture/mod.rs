//! Small manifests and zone views for tests.

use carobwick_core::EndpointState;
use carobwick_core::EndpointView;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::InstanceView;
use carobwick_core::LoadReport;
use carobwick_core::Manifest;
use carobwick_core::Version;
use carobwick_core::ZoneView;
use serde_json::Value;
use serde_json::json;

/// Returns a manifest with models of 60 bytes on engines of 100 bytes, in the zones `a` and `b`.
pub fn manifest(models: &[&str]) -> Manifest {
    let model = |name: &&str| ((*name).to_owned(), json!({"service": "llm", "version": "1", "size": 60}));
    let models: serde_json::Map<String, Value> = models.iter().map(model).collect();
    let manifest = json!({
        "deployment": "test",
        "objective": {"attainment": 1.0, "moves": 0.5},
        "store": {"rate": 1.5, "concurrent": 2},
        "adapter_loads": 16,
        "zones": ["a", "b"],
        "services": {"llm": {"kind": "engine", "memory": 100, "slots": 8}},
        "models": models,
    });
    Manifest::from_json(&manifest.to_string()).unwrap()
}

/// Returns a view with live instances and live engines of the service `llm`.
pub fn view(zone: &str, version: u64, instances: &[&str], endpoints: &[&str]) -> ZoneView {
    let instance = |name: &&str| {
        let view = InstanceView { entry: String::new(), peer: String::new(), live: true };
        (name.parse().unwrap(), view)
    };
    let endpoint = |name: &&str| {
        let view = EndpointView {
            service: "llm".parse().unwrap(),
            addr: String::new(),
            incarnation: Incarnation(1),
            state: EndpointState::Live,
            resident: Vec::new(),
            load: LoadReport::default(),
        };
        (name.parse().unwrap(), view)
    };
    ZoneView {
        zone: zone.parse().unwrap(),
        fence: Fence::first(1),
        version: Version(version),
        leader: "i0".parse().unwrap(),
        instances: instances.iter().map(instance).collect(),
        endpoints: endpoints.iter().map(endpoint).collect(),
        blocked: [].into(),
        reasons: [].into(),
    }
}
