use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carobwick_core::AttemptOutcome;
use carobwick_core::Decision;
use carobwick_core::DispatchPolicy;
use carobwick_core::Dispatcher;
use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::LoadReport;
use carobwick_core::Priority;
use carobwick_core::RefusalCode;
use carobwick_core::RequestId;
use carobwick_core::RequestInfo;
use carobwick_core::RouteTarget;
use carobwick_core::ZoneId;
use carobwick_runtime::Node;
use carobwick_runtime::now;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::inbound::Inbound;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Changed crash reports are passed on to the other entries this often.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The dispatcher of this entry, with the requests that wait for it.
#[derive(Debug)]
pub(crate) struct Dispatch {
    node: Node,
    zone: ZoneId,
    inner: Mutex<Inner>,
    /// Notified when a request starts to wait.
    waits: Notify,
}

/// Where an attempt goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Target {
    /// To an endpoint of the own zone.
    Endpoint { id: EndpointId, addr: String, incarnation: Incarnation },
    /// To an entry of another zone.
    Zone { addr: String },
}

#[derive(Debug)]
struct Inner {
    dispatcher: Dispatcher,
    waiting: HashMap<RequestId, oneshot::Sender<Decision>>,
}

impl Dispatch {
    pub fn new(node: Node, zone: ZoneId) -> Self {
        let inner = Inner { dispatcher: Dispatcher::new(DispatchPolicy::default()), waiting: HashMap::new() };
        Self { node, zone, inner: Mutex::new(inner), waits: Notify::new() }
    }

    /// Decides where a new request runs, as soon as it may.
    pub async fn admit(&self, inbound: &Inbound) -> Result<Target, Refusal> {
        let ask = RequestInfo {
            request: inbound.request,
            target: inbound.target.clone(),
            caller: inbound.caller.clone(),
            priority: Priority::default(),
            prefix_hash: inbound.prefix,
            prompt_tokens: inbound.prompt,
            max_tokens: inbound.max_tokens,
            fingerprint: inbound.fingerprint,
            repeatable: inbound.repeatable,
            forwarded: inbound.forwarded,
            deadline: inbound.deadline,
        };
        self.decide(inbound, |dispatcher| dispatcher.admit(ask, now())).await
    }

    /// Decides where a request runs again, after an attempt that ended with `Failed` or `NotRun`.
    pub async fn retry(&self, inbound: &Inbound) -> Result<Target, Refusal> {
        self.decide(inbound, |dispatcher| dispatcher.retry(inbound.request, now())).await
    }

    pub fn sent(&self, request: RequestId) {
        self.lock().dispatcher.record_sent(request, now());
    }

    pub fn first_token(&self, request: RequestId) {
        self.lock().dispatcher.record_first_token(request, now());
    }

    /// Notes the end of an attempt, which may let another request start.
    pub fn finished(&self, request: RequestId, outcome: AttemptOutcome, load: Option<LoadReport>) {
        let mut inner = self.lock();
        inner.dispatcher.record_finished(request, outcome, load, now());
        if outcome == AttemptOutcome::Cancelled {
            inner.waiting.remove(&request);
        }
        inner.poll();
    }

    /// Notes a crash and passes the report on to the other entries.
    pub fn crashed(&self, endpoint: &EndpointId, incarnation: Incarnation) -> usize {
        let report = self.lock().dispatcher.record_crash(endpoint, incarnation, now());
        let suspects = report.fingerprints.len();
        if suspects > 0 {
            self.node.update(|state| state.crash_reports.add(report));
        }
        suspects
    }

    /// Takes over each change of the shared state.
    pub async fn follow(self: Arc<Self>) -> anyhow::Result<()> {
        let mut changes = self.node.subscribe();
        loop {
            let state = self.node.read(Clone::clone);
            if let Some(config) = &state.config {
                let mut inner = self.lock();
                let dispatcher = &mut inner.dispatcher;
                dispatcher.set_view(
                    &config.manifest,
                    &self.zone,
                    &state.views,
                    &state.drains,
                    &state.crash_reports,
                );
                inner.poll();
            }
            changes.changed().await?;
        }
    }

    /// Polls for requests that wait, at the times at which the dispatcher wants it.
    pub async fn run(self: Arc<Self>) -> anyhow::Result<()> {
        loop {
            let due = self.lock().dispatcher.next_poll();
            let Some(due) = due else {
                self.waits.notified().await;
                continue;
            };
            tokio::time::sleep((due - now()).max(Duration::from_millis(1))).await;
            self.lock().poll();
        }
    }

    /// Passes changed crash reports on.
    pub async fn report(self: Arc<Self>) -> anyhow::Result<()> {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let reports = self.lock().dispatcher.take_crash_reports();
            if !reports.is_empty() {
                self.node.update(|state| {
                    for report in reports {
                        state.crash_reports.add(report);
                    }
                });
            }
        }
    }

    async fn decide(
        &self,
        inbound: &Inbound,
        ask: impl FnOnce(&mut Dispatcher) -> Decision,
    ) -> Result<Target, Refusal> {
        let (decision, answer) = {
            let mut inner = self.lock();
            match ask(&mut inner.dispatcher) {
                Decision::Wait => {
                    let (sender, answer) = oneshot::channel();
                    inner.waiting.insert(inbound.request, sender);
                    (Decision::Wait, Some(answer))
                }
                decision => (decision, None),
            }
        };
        let decision = match answer {
            None => decision,
            Some(answer) => {
                self.waits.notify_one();
                // The sender lives until the request is decided on or dropped.
                answer.await.unwrap_or(Decision::Wait)
            }
        };
        match decision {
            Decision::Send { endpoint, addr, incarnation } => {
                Ok(Target::Endpoint { id: endpoint, addr, incarnation })
            }
            Decision::Forward { addr, .. } => Ok(Target::Zone { addr }),
            Decision::Wait => Err(Refusal::new(Code::TooManyRequests, "the request was not placed")),
            // The request was checked against the manifest, which the dispatcher is about to take over.
            Decision::Refuse { code: RefusalCode::NotFound, run, .. } => {
                let refusal = Refusal::new(Code::NotReady, "a new manifest is being taken over");
                Err(refusal.with_run(run).after(Duration::from_secs(1)))
            }
            Decision::Refuse { code, run, retry_after } => {
                let text = match &inbound.target {
                    RouteTarget::Model(model) => format!("model `{model}`: {}", reason(code)),
                    RouteTarget::Service(service) => format!("service `{service}`: {}", reason(code)),
                };
                let refusal = Refusal::new(Code::Dispatch(code), text).with_run(run);
                Err(match retry_after {
                    Some(delay) => refusal.after(delay),
                    None => refusal,
                })
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn poll(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        for (request, decision) in self.dispatcher.poll(now()) {
            if let Some(sender) = self.waiting.remove(&request) {
                // The receiver is gone if the caller left; its flight ends the request.
                let _gone = sender.send(decision);
            }
        }
    }
}

impl Target {
    /// Returns the `IP:port` to connect to.
    pub fn addr(&self) -> &str {
        match self {
            Self::Endpoint { addr, .. } | Self::Zone { addr } => addr,
        }
    }
}

fn reason(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::NotFound => "is not declared",
        RefusalCode::Retiring => "takes no new requests",
        RefusalCode::Unavailable => "no endpoint serves it at present",
        RefusalCode::Overloaded => "the request would miss its target",
        RefusalCode::CrashesEndpoint => "this request has crashed endpoints",
        RefusalCode::RetryBudget => "an attempt failed and the retry budget is used up",
        RefusalCode::NotRepeatable => "an attempt failed and the request must not run twice",
    }
}
