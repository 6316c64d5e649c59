mod check;
mod client;
mod recorder;
mod request;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobwick_core::ModelId;
use carobwick_core::Rate;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use self::check::Outcome;
pub use self::recorder::LoadSummary;
pub use self::recorder::Quantiles;

use self::client::Client;
use self::recorder::LoadRecorder;
use self::request::RequestGenerator;

/// Maximum duration of a load run.
const MAX_DURATION: Duration = Duration::from_mins(1);

/// Settings of a load run, see [`run_load`].
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Base URLs, to which requests are sent in turn.
    pub urls: Vec<String>,
    /// Whether the URLs are those of endpoints, whose requests carry an attempt id.
    pub direct: bool,
    /// When requests are sent.
    pub arrivals: ArrivalMode,
    /// Time after which no request is started, at most 60 s.
    pub duration: Duration,
    /// Maximum number of requests; without it, only the duration ends the run.
    pub max_requests: Option<u64>,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Models, one of which is chosen at random for each request.
    pub models: Vec<ModelId>,
    /// Length of a prompt in bytes.
    pub prompt_bytes: usize,
    /// Share of each prompt that is a prefix in common with other prompts, from 0 to 1.
    pub shared_fraction: f64,
    /// Number of different shared prefixes.
    pub prefix_count: u32,
    /// Number of tokens to generate for a request.
    pub max_tokens: u32,
    /// Number of caller names.
    pub caller_count: u32,
    /// Whether each request carries an idempotency key.
    pub idempotency_keys: bool,
    /// Whether each request is marked as not repeatable.
    pub not_repeatable: bool,
    /// Time after which a request ends as [`Outcome::Timeout`].
    pub timeout: Duration,
    /// Seed of the random prompts and arrivals.
    pub seed: u64,
}

/// When the requests of a load run are sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ArrivalMode {
    /// This many requests are always in flight.
    ClosedLoop(u32),
    /// Requests arrive at random times with this mean rate per second, whether or not earlier ones have
    /// ended.
    OpenLoop(Rate),
}

/// Kind of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestKind {
    /// A chat request whose response is a stream of server-sent events.
    Stream,
    /// A chat request whose response is a single JSON body.
    Chat,
    /// A request to a plain service at this path.
    Service(String),
}

/// State that all requests of a load run share.
struct LoadRun {
    options: LoadOptions,
    client: Client,
    generator: RequestGenerator,
    recorder: Mutex<LoadRecorder>,
    started: AtomicU64,
    in_flight: AtomicU64,
    end: Instant,
}

/// Sends requests, checks every response, and returns counts and latencies.
///
/// # Errors
///
/// Fails if there is no URL or model, a URL is invalid, the duration is above 60 s, or the rate is not above
/// zero.
pub async fn run_load(options: LoadOptions) -> anyhow::Result<LoadSummary> {
    anyhow::ensure!(!options.urls.is_empty(), "at least one URL is required");
    anyhow::ensure!(options.duration <= MAX_DURATION, "a load run lasts at most {MAX_DURATION:?}");
    anyhow::ensure!(!options.models.is_empty(), "at least one model is required");
    let start = Instant::now();
    let run = Arc::new(LoadRun {
        client: Client::open(&options.urls)?,
        generator: RequestGenerator::new(&options),
        recorder: Mutex::new(LoadRecorder::new()),
        started: AtomicU64::new(0),
        in_flight: AtomicU64::new(0),
        end: start + options.duration,
        options,
    });
    match run.options.arrivals {
        ArrivalMode::ClosedLoop(concurrency) => closed_loop(&run, concurrency).await?,
        ArrivalMode::OpenLoop(rate) => open_loop(&run, rate).await?,
    }
    Ok(run.recorder().summary(start.elapsed()))
}

impl LoadRun {
    /// Returns the number of the next request, or `None` when the run is over.
    fn next_number(&self) -> Option<u64> {
        if Instant::now() >= self.end {
            return None;
        }
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        self.options.max_requests.is_none_or(|limit| number < limit).then_some(number)
    }

    async fn request(&self, number: u64, due: Instant) {
        let in_flight = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        let generated = self.generator.generate(number);
        let checked = check::send_and_check(&self.client, &generated, due);
        let result = tokio::time::timeout(self.options.timeout, checked).await;
        let result = result.unwrap_or_else(|_| check::RequestResult::failed(Outcome::Timeout));
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.recorder().record(&result, due.elapsed(), in_flight);
    }

    fn recorder(&self) -> MutexGuard<'_, LoadRecorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn closed_loop(run: &Arc<LoadRun>, concurrency: u32) -> anyhow::Result<()> {
    let mut workers = JoinSet::new();
    for _ in 0..concurrency {
        let run = Arc::clone(run);
        workers.spawn(async move {
            while let Some(number) = run.next_number() {
                run.request(number, Instant::now()).await;
            }
        });
    }
    while let Some(ended) = workers.join_next().await {
        ended?;
    }
    Ok(())
}

async fn open_loop(run: &Arc<LoadRun>, rate: Rate) -> anyhow::Result<()> {
    anyhow::ensure!(rate.0 > 0.0, "the rate must be above zero");
    let mut random = ChaCha8Rng::seed_from_u64(run.options.seed);
    let mut requests = JoinSet::new();
    let mut due = Instant::now();
    loop {
        // Exponential gaps model the arrivals of many independent callers. Latencies count from the scheduled
        // arrival, so that they include the time that a request waits because the server is slow.
        let gap = -(1.0 - random.random::<f64>()).ln() / rate.0;
        due += Duration::from_secs_f64(gap);
        tokio::time::sleep_until(due).await;
        let Some(number) = run.next_number() else {
            break;
        };
        let run = Arc::clone(run);
        requests.spawn(async move { run.request(number, due).await });
        while let Some(ended) = requests.try_join_next() {
            ended?;
        }
    }
    while let Some(ended) = requests.join_next().await {
        ended?;
    }
    Ok(())
}
