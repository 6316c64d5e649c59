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
use carobwick_core::RequestSpec;
use carobwick_core::RouteTarget;
use carobwick_core::ZoneId;
use carobwick_runtime::Node;
use carobwick_runtime::now;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::inbound::InboundRequest;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Interval at which changed crash reports are sent to the other entries.
const CRASH_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// [`Dispatcher`] that all requests of an entry share, with the requests that wait for its decision.
#[derive(Debug)]
pub(crate) struct SharedDispatcher {
    node: Node,
    zone: ZoneId,
    inner: Mutex<Inner>,
    /// Notified when a request starts to wait.
    wait_started: Notify,
}

/// Destination of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptTarget {
    /// An endpoint of the entry's zone.
    Endpoint { id: EndpointId, addr: String, incarnation: Incarnation },
    /// An entry of another zone.
    Zone { addr: String },
}

#[derive(Debug)]
struct Inner {
    dispatcher: Dispatcher,
    waiting: HashMap<RequestId, oneshot::Sender<Decision>>,
}

impl SharedDispatcher {
    pub fn new(node: Node, zone: ZoneId) -> Self {
        let inner = Inner { dispatcher: Dispatcher::new(DispatchPolicy::default()), waiting: HashMap::new() };
        Self { node, zone, inner: Mutex::new(inner), wait_started: Notify::new() }
    }

    /// Returns the target of a new request, after waiting in the dispatcher's queue if needed.
    pub async fn admit(&self, inbound: &InboundRequest) -> Result<AttemptTarget, Refusal> {
        let info = RequestSpec {
            request: inbound.request,
            target: inbound.target.clone(),
            caller: inbound.caller.clone(),
            priority: Priority::default(),
            prefix_hash: inbound.prefix_hash,
            prompt_tokens: inbound.prompt_tokens,
            max_tokens: inbound.max_tokens,
            fingerprint: inbound.fingerprint,
            repeatable: inbound.repeatable,
            forwarded: inbound.forwarded,
            deadline: inbound.deadline,
        };
        self.decide(inbound, |dispatcher| dispatcher.admit(info, now())).await
    }

    /// Returns the target of a retry, after an attempt that ended with `Failed` or `NotRun`.
    pub async fn retry(&self, inbound: &InboundRequest) -> Result<AttemptTarget, Refusal> {
        self.decide(inbound, |dispatcher| dispatcher.retry(inbound.request, now())).await
    }

    pub fn sent(&self, request: RequestId) {
        self.lock().dispatcher.record_sent(request, now());
    }

    pub fn first_token(&self, request: RequestId) {
        self.lock().dispatcher.record_first_token(request, now());
    }

    /// Records the end of an attempt, which may let a waiting request start.
    pub fn finished(&self, request: RequestId, outcome: AttemptOutcome, load: Option<LoadReport>) {
        let mut inner = self.lock();
        inner.dispatcher.record_finished(request, outcome, load, now());
        if outcome == AttemptOutcome::Cancelled {
            inner.waiting.remove(&request);
        }
        inner.poll();
    }

    /// Records a crash, shares the report with the other entries and returns the number of suspect requests.
    pub fn crashed(&self, endpoint: &EndpointId, incarnation: Incarnation) -> usize {
        let report = self.lock().dispatcher.record_crash(endpoint, incarnation, now());
        let suspect_count = report.fingerprints.len();
        if suspect_count > 0 {
            self.node.update(|state| state.crash_reports.add(report));
        }
        suspect_count
    }

    /// Applies each change of the shared state to the dispatcher.
    pub async fn follow_state(self: Arc<Self>) -> anyhow::Result<()> {
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

    /// Polls the dispatcher for decisions on waiting requests whenever it is due.
    pub async fn poll_waiting(self: Arc<Self>) -> anyhow::Result<()> {
        loop {
            let due = self.lock().dispatcher.next_poll();
            let Some(due) = due else {
                self.wait_started.notified().await;
                continue;
            };
            tokio::time::sleep((due - now()).max(Duration::from_millis(1))).await;
            self.lock().poll();
        }
    }

    /// Periodically shares changed crash reports with the other entries.
    pub async fn forward_crash_reports(self: Arc<Self>) -> anyhow::Result<()> {
        loop {
            tokio::time::sleep(CRASH_REPORT_INTERVAL).await;
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
        inbound: &InboundRequest,
        query: impl FnOnce(&mut Dispatcher) -> Decision,
    ) -> Result<AttemptTarget, Refusal> {
        let (decision, receiver) = {
            let mut inner = self.lock();
            match query(&mut inner.dispatcher) {
                Decision::Wait => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiting.insert(inbound.request, sender);
                    (Decision::Wait, Some(receiver))
                }
                decision => (decision, None),
            }
        };
        let decision = match receiver {
            None => decision,
            Some(receiver) => {
                self.wait_started.notify_one();
                // The sender is dropped only with a decision or with the request itself.
                receiver.await.unwrap_or(Decision::Wait)
            }
        };
        match decision {
            Decision::Send { endpoint, addr, incarnation } => {
                Ok(AttemptTarget::Endpoint { id: endpoint, addr, incarnation })
            }
            Decision::Forward { addr, .. } => Ok(AttemptTarget::Zone { addr }),
            Decision::Wait => Err(Refusal::new(Code::TooManyRequests, "the request was not placed")),
            // The request was validated against a newer manifest, which the dispatcher is about to apply.
            Decision::Refuse { code: RefusalCode::NotFound, run, .. } => {
                let refusal = Refusal::new(Code::NotReady, "a new manifest is being taken over");
                Err(refusal.with_run_status(run).with_retry_after(Duration::from_secs(1)))
            }
            Decision::Refuse { code, run, retry_after } => {
                let text = match &inbound.target {
                    RouteTarget::Model(model) => format!("model `{model}`: {}", refusal_text(code)),
                    RouteTarget::Service(service) => format!("service `{service}`: {}", refusal_text(code)),
                };
                let refusal = Refusal::new(Code::Dispatch(code), text).with_run_status(run);
                Err(match retry_after {
                    Some(delay) => refusal.with_retry_after(delay),
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
                // Fails if the caller disconnected; dropping its `ProxiedRequest` ends the request.
                let _gone = sender.send(decision);
            }
        }
    }
}

impl AttemptTarget {
    /// Returns the `IP:port` to connect to.
    pub fn addr(&self) -> &str {
        match self {
            Self::Endpoint { addr, .. } | Self::Zone { addr } => addr,
        }
    }
}

fn refusal_text(code: RefusalCode) -> &'static str {
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
