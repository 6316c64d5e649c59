use std::sync::Arc;
use std::time::Duration;

use carobwick_core::AttemptOutcome;
use carobwick_core::CrashReport;
use carobwick_core::CrashReportSet;
use carobwick_core::DispatchPolicy;
use carobwick_core::Dispatcher;
use carobwick_core::DrainSet;
use carobwick_core::EndpointId;
use carobwick_core::EndpointState;
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

/// Simulated entries and endpoints, with their requests and messages.
#[derive(Debug, Default)]
pub(crate) struct Cluster {
    pub entries: Vec<Entry>,
    pub endpoints: Vec<Endpoint>,
    pub requests: IndexMap<RequestId, Request>,
    pub drains: DrainSet,
    /// Messages in flight, with the time of arrival and the receiving entry.
    pub messages: Vec<(Time, usize, Message)>,
    /// Requests to retry, with the time of the retry.
    pub retries: Vec<(Time, RequestId)>,
    /// Refused requests that callers send again, with the time.
    pub resubmissions: Vec<(Time, RequestKind, Fingerprint)>,
    /// Number of endpoints that each crashing request has crashed.
    pub lost_endpoints: Vec<usize>,
    /// Time at which each crashing request is sent again.
    pub resend_at: Vec<Time>,
    /// Number of times that each crashing request was sent.
    pub sent_count: Vec<usize>,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub dispatcher: Dispatcher,
    pub drains: DrainSet,
    manifest: Arc<Manifest>,
    crash_reports: CrashReportSet,
    view: Arc<ZoneView>,
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub id: EndpointId,
    pub incarnation: Incarnation,
    pub up: bool,
    pub restart_at: Time,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    pub id: RequestId,
    pub entry: usize,
    pub kind: RequestKind,
    pub fingerprint: Fingerprint,
    pub endpoint: Option<usize>,
    pub ends_at: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum RequestKind {
    /// Finishes unless its endpoint crashes; counts the crashes without a cause that ended one of its
    /// attempts.
    Harmless { crashes: u32 },
    /// Crashes each endpoint that executes it; holds the index of the crashing request.
    Crashing(usize),
}

/// A message to an entry.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    Crash(CrashReport),
    Drains(DrainSet),
    View(Arc<ZoneView>),
    /// The entry itself detects that an endpoint crashed.
    CrashDetected(EndpointId, Incarnation),
}

impl Cluster {
    /// Creates a cluster with the given numbers of entries, endpoints and requests that crash endpoints.
    pub fn new(entries: usize, endpoints: usize, crashing_requests: usize) -> Self {
        let endpoint = |index: usize| Endpoint {
            id: format!("llm-{index}").parse().expect("the id has only allowed characters"),
            incarnation: Incarnation(1),
            up: true,
            restart_at: Time::ZERO,
        };
        let mut cluster = Self {
            endpoints: (0..endpoints).map(endpoint).collect(),
            lost_endpoints: vec![0; crashing_requests],
            resend_at: (0..crashing_requests as u64)
                .map(|index| Time::ZERO + Duration::from_secs(3 + index * 2))
                .collect(),
            sent_count: vec![0; crashing_requests],
            ..Self::default()
        };
        let manifest = Arc::new(manifest());
        let view = cluster.view();
        let entry = |_| Entry {
            dispatcher: Dispatcher::new(DispatchPolicy::default()),
            drains: DrainSet::default(),
            manifest: Arc::clone(&manifest),
            crash_reports: CrashReportSet::default(),
            view: Arc::clone(&view),
        };
        cluster.entries = (0..entries).map(entry).collect();
        cluster.entries.iter_mut().for_each(Entry::update_dispatcher);
        cluster
    }

    pub fn request_spec(request: RequestId, fingerprint: Fingerprint, prefix: u64) -> RequestSpec {
        RequestSpec {
            request,
            target: RouteTarget::Model("m".parse().expect("the id has only allowed characters")),
            caller: "caller".parse().expect("the id has only allowed characters"),
            priority: Priority::default(),
            prefix_hash: prefix,
            prompt_tokens: Tokens(100),
            max_tokens: Tokens(50),
            fingerprint,
            repeatable: true,
            forwarded: false,
            deadline: Time(u64::MAX),
        }
    }

    /// Returns the zone's view, as its leader publishes it.
    pub fn view(&self) -> Arc<ZoneView> {
        let endpoint = |process: &Endpoint| {
            let state = if process.up { EndpointState::Live } else { EndpointState::Down };
            let view = json!({
                "service": "llm", "addr": process.id, "incarnation": process.incarnation, "state": state,
                "resident": [{"model": "m", "version": "1", "size": 60}],
                "load": {"running": 0, "queued": 0, "cached_tokens": 0, "free_tokens": 0},
            });
            (process.id.to_string(), view)
        };
        let endpoints: serde_json::Map<String, Value> = self.endpoints.iter().map(endpoint).collect();
        let view = json!({
            "zone": "a", "fence": 1, "version": 1, "leader": "i", "instances": {}, "endpoints": endpoints,
        });
        Arc::new(serde_json::from_value(view).expect("the view has all fields"))
    }

    pub fn receive(&mut self, entry: usize, message: Message) {
        let entry = &mut self.entries[entry];
        match message {
            Message::Crash(report) => {
                entry.crash_reports.add(report);
            }
            Message::Drains(drains) => {
                entry.drains.merge(&drains);
            }
            Message::View(view) => entry.view = view,
            Message::CrashDetected(..) => return,
        }
        entry.update_dispatcher();
    }

    pub fn start(&mut self, id: RequestId, endpoint: usize, ends_at: Time, now: Time) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.endpoint = Some(endpoint);
        request.ends_at = Some(ends_at);
        self.entries[request.entry].dispatcher.record_sent(id, now);
    }

    pub fn complete(&mut self, id: RequestId, now: Time) {
        let Some(request) = self.requests.swap_remove(&id) else { return };
        let outcome = AttemptOutcome::Complete { tokens: Tokens(10) };
        self.entries[request.entry].dispatcher.record_finished(id, outcome, None, now);
    }

    pub fn not_run(&mut self, id: RequestId, now: Time) {
        let Some(request) = self.requests.get(&id) else { return };
        self.entries[request.entry].dispatcher.record_finished(id, AttemptOutcome::NotRun, None, now);
    }

    /// Ends the attempt of a request whose endpoint crashed.
    pub fn fail(&mut self, id: RequestId, random_crash: bool, now: Time) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.endpoint = None;
        request.ends_at = None;
        if let RequestKind::Harmless { crashes } = &mut request.kind {
            *crashes += u32::from(random_crash);
        }
        self.entries[request.entry].dispatcher.record_finished(id, AttemptOutcome::Failed, None, now);
    }
}

impl Entry {
    fn update_dispatcher(&mut self) {
        let zone: ZoneId = self.view.zone.clone();
        let views = IndexMap::from([(zone.clone(), Arc::clone(&self.view))]);
        self.dispatcher.set_view(&self.manifest, &zone, &views, &self.drains, &self.crash_reports);
    }
}

fn manifest() -> Manifest {
    let manifest = json!({
        "deployment": "quarantine",
        "objective": {"attainment": 1.0, "moves": 0.5},
        "store": {"rate": 1.5, "concurrent": 2},
        "adapter_loads": 16,
        "zones": ["a"],
        "services": {"llm": {"kind": "engine", "memory": 100, "slots": 16}},
        "models": {"m": {"service": "llm", "version": "1", "size": 60}},
    });
    Manifest::from_json(&manifest.to_string()).expect("the manifest is valid")
}
