//! Load generator that acts as callers of carobwick.

use std::time::Duration;

use bpaf::Bpaf;
use carobwick_core::ModelId;
use carobwick_core::Rate;
use carobwick_standins::ArrivalMode;
use carobwick_standins::LoadOptions;
use carobwick_standins::RequestKind;
use carobwick_standins::run_load;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Sends requests, checks every response, and prints counts and latencies.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Base URL of an entry or, with --direct, of an endpoint; several are used in turn
    #[bpaf(argument("URL"), some("--url is required"))]
    url: Vec<String>,
    /// Send requests straight to endpoints, with an attempt id
    direct: bool,
    #[bpaf(external(arrival_option), fallback(ArrivalOption::Closed { concurrency: 8 }))]
    arrivals: ArrivalOption,
    /// Duration in seconds after which no request is started, at most 60
    #[bpaf(argument("SECONDS"), fallback(10.0))]
    seconds: f64,
    /// Maximum number of requests
    #[bpaf(argument("COUNT"))]
    requests: Option<u64>,
    #[bpaf(external(kind_option), fallback(KindOption::Whole))]
    kind: KindOption,
    /// Model to request; with several, each request uses one at random
    #[bpaf(argument("NAME"))]
    model: Vec<ModelId>,
    /// Length of a prompt in bytes
    #[bpaf(argument("BYTES"), fallback(256))]
    prompt_bytes: usize,
    /// Share of each prompt that is a prefix in common with other prompts, from 0 to 1
    #[bpaf(argument("SHARE"), fallback(0.75))]
    shared: f64,
    /// Number of different shared prefixes
    #[bpaf(argument("COUNT"), fallback(4))]
    prefixes: u32,
    /// Number of tokens to generate for a request
    #[bpaf(argument("TOKENS"), fallback(16))]
    max_tokens: u32,
    /// Number of caller names
    #[bpaf(argument("COUNT"), fallback(4))]
    callers: u32,
    #[bpaf(external)]
    repeats: Repeats,
    /// Milliseconds after which a request ends as a timeout
    #[bpaf(argument("MS"), fallback(30_000))]
    timeout_ms: u64,
    /// Seed of the random prompts and arrivals
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// Print the result as JSON
    json: bool,
}

#[derive(Debug, Clone, Bpaf)]
struct Repeats {
    /// Send an idempotency key with each request
    keys: bool,
    /// Mark each request as not repeatable
    once: bool,
}

#[derive(Debug, Clone, Bpaf)]
enum ArrivalOption {
    Closed {
        /// Number of requests that are always in flight
        #[bpaf(argument("COUNT"))]
        concurrency: u32,
    },
    Open {
        /// Mean number of requests per second, whether or not earlier ones have ended
        #[bpaf(argument("RATE"))]
        rate: Rate,
    },
}

#[derive(Debug, Clone, Bpaf)]
enum KindOption {
    /// Request chat responses as streams
    Stream,
    /// Request chat responses in one body
    Whole,
    Service {
        /// Send requests to a plain service at this path
        #[bpaf(argument("PATH"))]
        service: String,
    },
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let options = options().run();
    let _logs = carobwick_runtime::start_logs("info", carobwick_runtime::LogOutput::Stderr)?;
    let json = options.json;
    let summary = run_load(load_options(options)?).await?;
    if json {
        println!("{}", serde_json::to_string(&summary)?);
    } else {
        print!("{summary}");
    }
    anyhow::ensure!(summary.foreign == 0, "{} responses belong to another request", summary.foreign);
    Ok(())
}

fn load_options(options: Options) -> anyhow::Result<LoadOptions> {
    let models = if options.model.is_empty() { vec!["m".parse()?] } else { options.model };
    Ok(LoadOptions {
        urls: options.url,
        direct: options.direct,
        arrivals: match options.arrivals {
            ArrivalOption::Closed { concurrency } => ArrivalMode::ClosedLoop(concurrency),
            ArrivalOption::Open { rate } => ArrivalMode::OpenLoop(rate),
        },
        duration: Duration::try_from_secs_f64(options.seconds)?,
        max_requests: options.requests,
        kind: match options.kind {
            KindOption::Stream => RequestKind::Stream,
            KindOption::Whole => RequestKind::Chat,
            KindOption::Service { service } => RequestKind::Service(service),
        },
        models,
        prompt_bytes: options.prompt_bytes,
        shared_fraction: options.shared,
        prefix_count: options.prefixes,
        max_tokens: options.max_tokens,
        caller_count: options.callers,
        idempotency_keys: options.repeats.keys,
        not_repeatable: options.repeats.once,
        timeout: Duration::from_millis(options.timeout_ms),
        seed: options.seed,
    })
}
