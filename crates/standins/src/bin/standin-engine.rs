//! Stand-in for a model engine.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use carobwick_core::Bytes;
use carobwick_core::EndpointId;
use carobwick_core::ServiceId;
use carobwick_core::Tokens;
use carobwick_standins::EngineOptions;
use carobwick_standins::EngineStandin;
use carobwick_standins::EngineTiming;
use carobwick_standins::OnCrash;
use carobwick_standins::parse_faults;
use carobwick_standins::run_until_interrupted;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Serves as a model engine with generated responses.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    addr: SocketAddr,
    /// Name of the endpoint
    #[bpaf(argument("NAME"))]
    endpoint: EndpointId,
    /// Service of the endpoint
    #[bpaf(argument("NAME"))]
    service: ServiceId,
    /// Accelerator memory in bytes
    #[bpaf(argument("BYTES"))]
    memory: Bytes,
    /// Maximum number of requests that run at once
    #[bpaf(argument("COUNT"), fallback(8))]
    slots: usize,
    /// Maximum number of requests that wait in the queue
    #[bpaf(argument("COUNT"), fallback(64))]
    queue: usize,
    /// Execute orders with an old fencing number
    ignore_fence: bool,
    /// Send no load reports
    no_load: bool,
    /// Age in milliseconds of the load that the reports show
    #[bpaf(argument("MS"), fallback(0))]
    report_lag_ms: u64,
    /// Base URL of the weight store
    #[bpaf(argument("URL"))]
    weights: Option<String>,
    /// Duration in milliseconds of a load when there is no weight store
    #[bpaf(argument("MS"), fallback(20))]
    load_ms: u64,
    /// Prefill time in microseconds per prompt token that is not in the prefix cache
    #[bpaf(argument("US"), fallback(20.0))]
    prefill_us: f64,
    /// Microseconds between the tokens of a request that runs alone
    #[bpaf(argument("US"), fallback(2_000))]
    token_us: u64,
    /// Share by which each further request in the batch increases the time between tokens
    #[bpaf(argument("SHARE"), fallback(0.01))]
    growth: f64,
    /// Capacity of the prefix cache in tokens
    #[bpaf(argument("TOKENS"), fallback(100_000))]
    cache_tokens: u64,
    /// Capacity in tokens of the memory for running requests
    #[bpaf(argument("TOKENS"), fallback(400_000))]
    capacity_tokens: u64,
    /// Milliseconds for which a stream's request goes on after its caller disconnected
    #[bpaf(argument("MS"), fallback(1_000))]
    grace_ms: u64,
    /// Delay of the cache events in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    event_delay_ms: u64,
    /// Drop every n-th cache event; 0 drops none
    #[bpaf(argument("N"), fallback(0))]
    event_gap: u64,
    /// Restart in the same process this many milliseconds after a crash, instead of exiting
    #[bpaf(argument("MS"))]
    restart_ms: Option<u64>,
    /// Initial faults as JSON, as in the body of `POST /faults`
    #[bpaf(argument("JSON"))]
    faults: Option<String>,
}

impl Options {
    fn engine(&self) -> EngineOptions {
        let restart = |ms| OnCrash::Restart(Duration::from_millis(ms));
        EngineOptions {
            endpoint: self.endpoint.clone(),
            service: self.service.clone(),
            memory: self.memory,
            slots: self.slots,
            queue_limit: self.queue,
            ignore_fence: self.ignore_fence,
            reports_load: !self.no_load,
            report_lag: Duration::from_millis(self.report_lag_ms),
            weights_url: self.weights.clone(),
            load_time: Duration::from_millis(self.load_ms),
            timing: EngineTiming {
                prefill_us: self.prefill_us,
                token_us: self.token_us,
                batch_slowdown: self.growth,
                cache_tokens: Tokens(self.cache_tokens),
                capacity_tokens: Tokens(self.capacity_tokens),
            },
            resume_grace: Duration::from_millis(self.grace_ms),
            event_delay: Duration::from_millis(self.event_delay_ms),
            event_gap: self.event_gap,
            on_crash: self.restart_ms.map_or(OnCrash::Exit, restart),
        }
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let options = options().run();
    let _logs = carobwick_runtime::start_logs("info", carobwick_runtime::LogOutput::Stderr)?;
    let faults = parse_faults(options.faults.as_deref())?;
    let engine = EngineStandin::spawn(options.addr, options.engine(), faults).await?;
    run_until_interrupted("standin-engine", engine.server().addr()).await
}
