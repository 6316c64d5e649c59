//! Deployment of two zones with one model, an adapter and a plain service, for tests of the dispatcher.

use std::sync::Arc;
use std::time::Duration;

use carobwick_core::AttemptOutcome;
use carobwick_core::CrashReportSet;
use carobwick_core::Decision;
use carobwick_core::DispatchPolicy;
use carobwick_core::Dispatcher;
use carobwick_core::DrainSet;
use carobwick_core::EndpointId;
use carobwick_core::Fingerprint;
use carobwick_core::Incarnation;
use carobwick_core::Manifest;
use carobwick_core::Priority;
use carobwick_core::RequestId;
use carobwick_core::RequestSpec;
use carobwick_core::RouteTarget;
use carobwick_core::Time;
use carobwick_core::Tokens;
use carobwick_core::ZoneId;
use carobwick_core::ZoneView;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

pub struct Deployment {
    pub manifest: Manifest,
    pub views: IndexMap<ZoneId, Arc<ZoneView>>,
    pub drains: DrainSet,
    pub crash_reports: CrashReportSet,
}

impl Deployment {
    /// Creates `count` engines with 4 slots in zone `a` and one in zone `b`. All hold the model `m`, and the
    /// first of each zone also the adapter `m:x`.
    pub fn new(count: usize) -> Self {
        let manifest = json!({
            "deployment": "test",
            "objective": {"attainment": 1.0, "moves": 0.5},
            "store": {"rate": 1.5, "concurrent": 2},
            "adapter_loads": 16,
            "zones": ["a", "b"],
            "services": {
                "llm": {"kind": "engine", "memory": 100, "slots": 4},
                "desk": {"kind": "plain", "slots": 4},
            },
            "models": {"m": {"service": "llm", "version": "1", "size": 60, "first_token": 3_000}},
            "adapters": {"m:x": {"base": "m", "version": "1", "size": 10}},
        });
        let manifest = Manifest::from_json(&manifest.to_string()).unwrap();
        let names: Vec<String> = (0..count).map(|index| format!("a{index}")).collect();
        let views = [view("a", &names), view("b", &["b0".to_owned()])];
        let views = views.into_iter().map(|view| (view.zone.clone(), Arc::new(view))).collect();
        Self { manifest, views, drains: DrainSet::default(), crash_reports: CrashReportSet::default() }
    }

    pub fn dispatcher(&self, policy: DispatchPolicy) -> Dispatcher {
        let mut dispatcher = Dispatcher::new(policy);
        self.apply_to(&mut dispatcher);
        dispatcher
    }

    pub fn apply_to(&self, dispatcher: &mut Dispatcher) {
        let zone = "a".parse().unwrap();
        dispatcher.set_view(&self.manifest, &zone, &self.views, &self.drains, &self.crash_reports);
    }

    pub fn change_view(&mut self, zone: &str, change: impl FnOnce(&mut ZoneView)) {
        let zone: ZoneId = zone.parse().unwrap();
        change(Arc::make_mut(&mut self.views[&zone]));
    }
}

pub fn request_spec(request: u64) -> RequestSpec {
    RequestSpec {
        request: RequestId(request),
        target: RouteTarget::Model("m".parse().unwrap()),
        caller: "caller".parse().unwrap(),
        priority: Priority::default(),
        prefix_hash: 7,
        prompt_tokens: Tokens(100),
        max_tokens: Tokens(100),
        fingerprint: Fingerprint(request),
        repeatable: true,
        forwarded: false,
        deadline: time(100_000_000),
    }
}

pub fn time(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// Returns the endpoint and incarnation that a request is sent to, and panics on any other decision.
pub fn sent_to(decision: &Decision) -> (EndpointId, Incarnation) {
    match decision {
        Decision::Send { endpoint, incarnation, .. } => (endpoint.clone(), *incarnation),
        other => panic!("{other:?} instead of Send"),
    }
}

/// Reports the first token and the end of a request that was sent, at the given times in milliseconds.
pub fn complete(dispatcher: &mut Dispatcher, request: u64, first: u64, end: u64) {
    let request = RequestId(request);
    dispatcher.record_sent(request, time(first));
    dispatcher.record_first_token(request, time(first));
    dispatcher.record_finished(request, AttemptOutcome::Complete { tokens: Tokens(50) }, None, time(end));
}

fn view(zone: &str, endpoints: &[String]) -> ZoneView {
    let engine = |(index, name): (usize, &String)| -> (String, Value) {
        let mut resident = vec![json!({"model": "m", "version": "1", "size": 60})];
        if index == 0 {
            resident.push(json!({"model": "m:x", "version": "1", "size": 10}));
        }
        let load = json!({"running": 0, "queued": 0, "cached_tokens": 0, "free_tokens": 0});
        let view = json!({
            "service": "llm", "addr": format!("{name}:1"), "incarnation": "1", "state": "live",
            "resident": resident, "load": load,
        });
        (name.clone(), view)
    };
    let endpoints: serde_json::Map<String, Value> = endpoints.iter().enumerate().map(engine).collect();
    let view = json!({
        "zone": zone, "fence": 1, "version": 1, "leader": "i0",
        "instances": {"i0": {"entry": format!("{zone}:80"), "peer": format!("{zone}:81"), "live": true}},
        "endpoints": endpoints,
    });
    serde_json::from_value(view).unwrap()
}
