use std::time::Duration;

use carobwick_core::Bytes;
use carobwick_core::EndpointId;
use carobwick_core::ServiceId;
use carobwick_core::Tokens;
use carobwick_derive::data;

/// Settings of an [`EngineStandin`](crate::EngineStandin).
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Accelerator memory.
    pub memory: Bytes,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Whether orders with an old fencing number are carried out.
    pub ignore_fence: bool,
    /// Whether answers carry load reports.
    pub reports_load: bool,
    /// Age of the load reports.
    pub report_lag: Duration,
    /// Base URL of the weight store; without one a load takes `load_time`.
    pub weights: Option<String>,
    /// Time of a load without a weight store.
    pub load_time: Duration,
    /// Speed of inference.
    pub timing: EngineTiming,
    /// How long a stream goes on after its caller left, in wait for a resume.
    pub resume_grace: Duration,
    /// Delay of the cache events.
    pub event_delay: Duration,
    /// Every n-th cache event is lost; zero for none.
    pub event_gap: u64,
    /// What happens on a crash.
    pub on_crash: OnCrash,
}

/// Speed of inference.
#[derive(Debug, Clone, Copy)]
pub struct EngineTiming {
    /// Microseconds of prefill per token that is not in the prefix cache.
    pub prefill_us: f64,
    /// Microseconds between the tokens of one request that runs alone.
    pub token_us: u64,
    /// Growth of the time between tokens with each further request in the batch.
    pub batch_slowdown: f64,
    /// Size of the prefix cache.
    pub cache: Tokens,
    /// Tokens that fit into the memory for running requests.
    pub capacity: Tokens,
}

/// What happens on a crash.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OnCrash {
    /// The process exits.
    Exit,
    /// Connections are closed and refused for this long; then the engine is back, empty, as a new incarnation.
    Restart(Duration),
}

/// Faults of a model engine.
#[data]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The next orders are lost: no effect and no answer.
    pub lose_orders: u32,
    /// The next orders take effect late, and their answer is late too.
    pub delay_orders: u32,
    /// Delay of late and repeated orders.
    pub order_delay_ms: u64,
    /// The next orders arrive twice, the second time after the delay.
    pub duplicate_orders: u32,
    /// A prompt with this text crashes the engine when it runs.
    pub crash_marker: Option<String>,
    /// Open connections go silent, once; new ones work.
    pub freeze: bool,
    /// The next streams break off.
    pub cut_streams: u32,
    /// Events that a stream sends before it breaks off.
    pub cut_after: u32,
    /// The next chat answers carry a wrong attempt id.
    pub wrong_attempts: u32,
    /// Connections are closed and refused for this long, once; the engine keeps its state.
    pub refuse_ms: u64,
}

impl EngineOptions {
    /// Returns settings for a fast engine with 8 slots that checks fencing numbers.
    pub fn new(endpoint: EndpointId, service: ServiceId, memory: Bytes) -> Self {
        Self {
            endpoint,
            service,
            memory,
            slots: 8,
            queue: 64,
            ignore_fence: false,
            reports_load: true,
            report_lag: Duration::ZERO,
            weights: None,
            load_time: Duration::from_millis(20),
            timing: EngineTiming::default(),
            resume_grace: Duration::from_secs(1),
            event_delay: Duration::ZERO,
            event_gap: 0,
            on_crash: OnCrash::Restart(Duration::from_millis(300)),
        }
    }
}

impl Default for EngineTiming {
    fn default() -> Self {
        Self {
            prefill_us: 20.0,
            token_us: 2_000,
            batch_slowdown: 0.01,
            cache: Tokens(100_000),
            capacity: Tokens(400_000),
        }
    }
}
