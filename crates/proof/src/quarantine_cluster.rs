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
use carobwick_core::RequestInfo;
use carobwick_core::RouteTarget;
use carobwick_core::Time;
use carobwick_core::Tokens;
use carobwick_core::ZoneId;
use carobwick_core::ZoneView;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

/// Entries, endpoints and requests of a run.
#[derive(Debug, Default)]
pub(crate) struct Scene {
    pub entries: Vec<Entry>,
    pub endpoints: Vec<Endpoint>,
    pub requests: IndexMap<RequestId, Request>,
    pub drains: DrainSet,
    /// News under way, by time and entry.
    pub messages: Vec<(Time, usize, Message)>,
    /// Attempts to repeat.
    pub retries: Vec<(Time, RequestId)>,
    /// Refused requests that callers send again.
    pub returning: Vec<(Time, Kind, Fingerprint)>,
    /// Endpoints lost to each poison.
    pub lost: Vec<usize>,
    /// Time at which each poison is sent again.
    pub resend: Vec<Time>,
    /// Times that each poison was sent.
    pub through: Vec<usize>,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub dispatcher: Dispatcher,
    pub drains: DrainSet,
    manifest: Arc<Manifest>,
    suspects: CrashReportSet,
    view: Arc<ZoneView>,
}

#[derive(Debug)]
pub(crate) struct Endpoint {
    pub id: EndpointId,
    pub incarnation: Incarnation,
    pub up: bool,
    pub restart: Time,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    pub id: RequestId,
    pub entry: usize,
    pub kind: Kind,
    pub fingerprint: Fingerprint,
    pub endpoint: Option<usize>,
    pub end: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Kind {
    /// Finishes; counts the crashes without a cause that it was in.
    Harmless { crashes: u32 },
    /// Crashes each endpoint that runs it.
    Poison(usize),
}

/// News for an entry.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    Crash(CrashReport),
    Drains(DrainSet),
    View(Arc<ZoneView>),
    /// The entry itself found that an endpoint crashed.
    Noticed(EndpointId, Incarnation),
}

impl Scene {
    pub fn new(entries: usize, endpoints: usize, poisons: usize) -> Self {
        let endpoint = |index: usize| Endpoint {
            id: format!("llm-{index}").parse().expect("the id has only allowed characters"),
            incarnation: Incarnation(1),
            up: true,
            restart: Time::ZERO,
        };
        let mut scene = Self {
            endpoints: (0..endpoints).map(endpoint).collect(),
            lost: vec![0; poisons],
            resend: (0..poisons as u64)
                .map(|index| Time::ZERO + Duration::from_secs(3 + index * 2))
                .collect(),
            through: vec![0; poisons],
            ..Self::default()
        };
        let manifest = Arc::new(manifest());
        let view = scene.view();
        let entry = |_| Entry {
            dispatcher: Dispatcher::new(DispatchPolicy::default()),
            drains: DrainSet::default(),
            manifest: Arc::clone(&manifest),
            suspects: CrashReportSet::default(),
            view: Arc::clone(&view),
        };
        scene.entries = (0..entries).map(entry).collect();
        scene.entries.iter_mut().for_each(Entry::show);
        scene
    }

    pub fn ask(request: RequestId, fingerprint: Fingerprint, prefix: u64) -> RequestInfo {
        RequestInfo {
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

    /// Returns the zone as its leader sees it.
    pub fn view(&self) -> Arc<ZoneView> {
        let endpoint = |known: &Endpoint| {
            let state = if known.up { EndpointState::Live } else { EndpointState::Down };
            let view = json!({
                "service": "llm", "addr": known.id, "incarnation": known.incarnation, "state": state,
                "resident": [{"model": "m", "version": "1", "size": 60}],
                "load": {"running": 0, "queued": 0, "cached_tokens": 0, "free_tokens": 0},
            });
            (known.id.to_string(), view)
        };
        let endpoints: serde_json::Map<String, Value> = self.endpoints.iter().map(endpoint).collect();
        let view = json!({
            "zone": "a", "fence": 1, "version": 1, "leader": "i", "instances": {}, "endpoints": endpoints,
        });
        Arc::new(serde_json::from_value(view).expect("the view is complete"))
    }

    pub fn learn(&mut self, entry: usize, message: Message) {
        let entry = &mut self.entries[entry];
        match message {
            Message::Crash(report) => {
                entry.suspects.add(report);
            }
            Message::Drains(drains) => {
                entry.drains.merge(&drains);
            }
            Message::View(view) => entry.view = view,
            Message::Noticed(..) => return,
        }
        entry.show();
    }

    pub fn start(&mut self, id: RequestId, endpoint: usize, end: Time, now: Time) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.endpoint = Some(endpoint);
        request.end = Some(end);
        self.entries[request.entry].dispatcher.sent(id, now);
    }

    pub fn complete(&mut self, id: RequestId, now: Time) {
        let Some(request) = self.requests.swap_remove(&id) else { return };
        let outcome = AttemptOutcome::Complete { tokens: Tokens(10) };
        self.entries[request.entry].dispatcher.finished(id, outcome, None, now);
    }

    pub fn not_run(&mut self, id: RequestId, now: Time) {
        let Some(request) = self.requests.get(&id) else { return };
        self.entries[request.entry].dispatcher.finished(id, AttemptOutcome::NotRun, None, now);
    }

    /// Ends the attempt of a request whose endpoint crashed.
    pub fn fail(&mut self, id: RequestId, random: bool, now: Time) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.endpoint = None;
        request.end = None;
        if let Kind::Harmless { crashes } = &mut request.kind {
            *crashes += u32::from(random);
        }
        self.entries[request.entry].dispatcher.finished(id, AttemptOutcome::Failed, None, now);
    }
}

impl Entry {
    fn show(&mut self) {
        let zone: ZoneId = self.view.zone.clone();
        let views = IndexMap::from([(zone.clone(), Arc::clone(&self.view))]);
        self.dispatcher.set_view(&self.manifest, &zone, &views, &self.drains, &self.suspects);
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
