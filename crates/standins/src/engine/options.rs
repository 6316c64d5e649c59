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
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Maximum number of requests that wait in the queue.
    pub queue_limit: usize,
    /// Whether orders with an old fencing number are executed.
    pub ignore_fence: bool,
    /// Whether responses carry load reports.
    pub reports_load: bool,
    /// Age of the load that the reports show.
    pub report_lag: Duration,
    /// Base URL of the weight store; without a URL, a load takes `load_time`.
    pub weights_url: Option<String>,
    /// Duration of a load when there is no weight store.
    pub load_time: Duration,
    /// Speed of inference.
    pub timing: EngineTiming,
    /// How long a stream's request goes on after its caller disconnected, so that it can be resumed.
    pub resume_grace: Duration,
    /// Delay before a cache event is sent.
    pub event_delay: Duration,
    /// Drop every n-th cache event; zero drops none.
    pub event_gap: u64,
    /// What the engine does on a crash.
    pub on_crash: OnCrash,
}

/// Speed of inference.
#[derive(Debug, Clone, Copy)]
pub struct EngineTiming {
    /// Prefill time in microseconds per prompt token that is not in the prefix cache.
    pub prefill_us: f64,
    /// Microseconds between the tokens of a request that runs alone.
    pub token_us: u64,
    /// Share by which each further request in the batch increases the time between tokens.
    pub batch_slowdown: f64,
    /// Capacity of the prefix cache.
    pub cache_tokens: Tokens,
    /// Capacity of the memory for running requests, which load reports use for the free tokens.
    pub capacity_tokens: Tokens,
}

/// What an engine does on a crash.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OnCrash {
    /// The process exits.
    Exit,
    /// Connections are closed and refused for this long; then the engine restarts empty, as a new
    /// incarnation.
    Restart(Duration),
}

/// Faults of a model engine.
#[data]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of next orders that are lost: they have no effect and get no response.
    pub lose_orders: u32,
    /// Number of next orders that are executed and answered only after `order_delay_ms`.
    pub delay_orders: u32,
    /// Delay in milliseconds of delayed and duplicated orders.
    pub order_delay_ms: u64,
    /// Number of next orders that arrive twice, the second time after `order_delay_ms`.
    pub duplicate_orders: u32,
    /// A request whose prompt contains this text crashes the engine when it runs.
    pub crash_marker: Option<String>,
    /// Whether to stop reads and writes on all open connections, once; new connections work.
    pub freeze: bool,
    /// Number of next streams that are cut.
    pub cut_streams: u32,
    /// Number of events that a stream sends before it is cut.
    pub cut_after: u32,
    /// Number of next chat responses that carry a wrong attempt id.
    pub wrong_attempts: u32,
    /// Milliseconds for which connections are closed and refused, once; the engine keeps its state.
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
            queue_limit: 64,
            ignore_fence: false,
            reports_load: true,
            report_lag: Duration::ZERO,
            weights_url: None,
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
            cache_tokens: Tokens(100_000),
            capacity_tokens: Tokens(400_000),
        }
    }
}
