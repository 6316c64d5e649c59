use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobwick_core::ConfigRecord;
use carobwick_core::DrainTarget;
use carobwick_core::RequestId;
use carobwick_runtime::Metrics;
use carobwick_runtime::Node;
use carobwick_runtime::Timeline;
use tokio_util::task::TaskTracker;

use crate::Settings;
use crate::crash_detector::CrashDetector;
use crate::demand::Demand;
use crate::dispatch::SharedDispatcher;
use crate::idempotency::IdempotencyStore;
use crate::meters::Meters;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::upstream::Upstream;

/// State that all requests and tasks of an entry share.
#[derive(Debug)]
pub(crate) struct Context {
    pub settings: Settings,
    pub node: Node,
    pub dispatch: Arc<SharedDispatcher>,
    pub crash_detector: CrashDetector,
    pub upstream: Upstream,
    pub idempotency: IdempotencyStore,
    pub demand: Demand,
    pub metrics: Metrics,
    pub meters: Meters,
    pub timeline: Timeline,
    /// Connections and requests that a graceful shutdown waits for.
    pub tasks: TaskTracker,
    /// Set when a graceful shutdown begins.
    pub stopping: AtomicBool,
    in_flight: AtomicUsize,
}

/// Counts a request in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<Context>);

impl Context {
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let node = Node::open();
        Self {
            dispatch: Arc::new(SharedDispatcher::new(node.clone(), settings.zone.clone())),
            crash_detector: CrashDetector::default(),
            upstream: Upstream::default(),
            idempotency: IdempotencyStore::open(&settings.key_value, settings.limits.once_rate),
            demand: Demand::default(),
            meters: Meters::new(&metrics),
            metrics,
            timeline: Timeline::open(settings.instance.clone(), "carobwick-entry"),
            tasks: TaskTracker::new(),
            stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            node,
            settings,
        }
    }

    /// Returns the manifest in force, or a refusal if none has been received.
    pub fn config(&self) -> Result<Arc<ConfigRecord>, Refusal> {
        self.node.read(|state| state.config.clone()).ok_or_else(|| {
            Refusal::new(Code::NotReady, "no manifest has arrived yet")
                .with_retry_after(Duration::from_secs(1))
        })
    }

    /// Returns why the entry is not ready for callers, or `None` if it is ready.
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.stopping.load(Ordering::Relaxed) {
            return Some("the entry is stopping");
        }
        self.node.read(|state| {
            if state.config.is_none() {
                return Some("no manifest has arrived yet");
            }
            let Some(view) = state.views.get(&self.settings.zone) else {
                return Some("no view of the zone has arrived yet");
            };
            let instance = &self.settings.instance;
            let is_leaving = view.instances.get(instance).is_some_and(|own| !own.live);
            if is_leaving || state.drains.is_drained(&DrainTarget::Instance(instance.clone())) {
                return Some("the instance is drained");
            }
            None
        })
    }

    /// Counts a request as in flight, or refuses it if the maximum is reached.
    pub fn try_admit(self: &Arc<Self>) -> Result<InFlightGuard, Refusal> {
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = InFlightGuard(Arc::clone(self));
        if before < self.settings.limits.max_requests {
            return Ok(guard);
        }
        Err(Refusal::new(Code::TooManyRequests, "too many requests in flight")
            .with_retry_after(Duration::from_secs(1)))
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub fn new_request_id() -> RequestId {
        RequestId(rand::random())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
