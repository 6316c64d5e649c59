use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use axum::routing::post;
use carobwick_core::Bytes;
use carobwick_core::ModelId;
use carobwick_core::ModelVersion;
use carobwick_core::Rate;
use carobwick_derive::data;

use crate::Faults;
use crate::Server;

/// Duration of an adapter load at full speed.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(5);
/// How often the speed of a load is adapted to the number of loads in flight.
const SPEED_UPDATE_INTERVAL: Duration = Duration::from_millis(5);

/// Stand-in for the platform's weight store.
///
/// Up to `concurrent` model loads at once run at full speed, where each takes `concurrent / rate` seconds.
/// More loads at once share the same rate. Adapter loads are short and have a limit of their own.
#[derive(Debug)]
pub struct WeightsStandin {
    server: Server,
    shared: Arc<Shared>,
}

/// Limits of a [`WeightsStandin`].
#[derive(Debug, Clone, Copy)]
pub struct WeightsOptions {
    /// Model loads per second.
    pub rate: Rate,
    /// Number of concurrent model loads that run at full speed.
    pub concurrent: u32,
    /// Number of concurrent adapter loads that run at full speed.
    pub adapter_concurrent: u32,
}

/// Faults of the weight store.
#[data]
#[serde(default, deny_unknown_fields)]
pub struct WeightsFaults {
    /// Factor by which loads take longer; values below one have no effect.
    pub slow: f64,
}

/// Body of `POST /load`.
#[data]
pub struct LoadRequest {
    /// Name of the model or adapter.
    pub model: ModelId,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Size of the weights.
    pub size: Bytes,
    /// Whether the weights are those of an adapter.
    #[serde(default)]
    pub adapter: bool,
}

/// Counts of a weight store since its start.
#[data]
#[derive(Copy, Default)]
pub struct WeightsStats {
    /// Counts of model loads.
    pub models: LoadCount,
    /// Counts of adapter loads.
    pub adapters: LoadCount,
    /// Total size of all finished loads.
    pub bytes: u64,
}

/// Counts of one kind of load.
#[data]
#[derive(Copy, Default)]
pub struct LoadCount {
    /// Loads that were started.
    pub started: u64,
    /// Loads that have finished.
    pub finished: u64,
    /// Loads in flight.
    pub running: u32,
    /// Highest number of loads in flight at once.
    pub peak: u32,
    /// Loads that were started while as many as run at full speed were in flight.
    pub over_limit: u64,
}

#[derive(Debug)]
struct Shared {
    options: WeightsOptions,
    faults: Faults<WeightsFaults>,
    stats: Mutex<WeightsStats>,
}

/// Counts a load as in flight until it is dropped, also when its caller disconnects.
struct LoadGuard<'a> {
    shared: &'a Shared,
    adapter: bool,
}

impl Default for WeightsFaults {
    fn default() -> Self {
        Self { slow: 1.0 }
    }
}

impl WeightsStandin {
    /// Binds `addr` and serves the weight store.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn spawn(
        addr: SocketAddr,
        options: WeightsOptions,
        faults: WeightsFaults,
    ) -> anyhow::Result<Self> {
        let shared = Arc::new(Shared { options, faults: Faults::open(faults), stats: Mutex::default() });
        let router = Router::new()
            .route("/load", post(load))
            .route("/stats", get(stats))
            .with_state(Arc::clone(&shared))
            .merge(shared.faults.router());
        Ok(Self { server: Server::spawn(addr, router).await?, shared })
    }

    /// Returns the HTTP server of the weight store.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> &Faults<WeightsFaults> {
        &self.shared.faults
    }

    /// Returns the counts since the start.
    pub fn stats(&self) -> WeightsStats {
        *self.shared.stats()
    }
}

impl Shared {
    fn stats(&self) -> MutexGuard<'_, WeightsStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn full_speed_limit(&self, adapter: bool) -> u32 {
        if adapter { self.options.adapter_concurrent } else { self.options.concurrent }
    }

    /// Returns the duration of one load at full speed.
    fn full_speed_time(&self, adapter: bool) -> Duration {
        if adapter {
            return ADAPTER_LOAD_TIME;
        }
        Duration::from_secs_f64(f64::from(self.options.concurrent) / self.options.rate.0)
    }

    /// Returns the current speed of each load in flight, where 1 is full speed.
    fn load_speed(&self, adapter: bool) -> f64 {
        let running = self.stats().count(adapter).running;
        let share = (f64::from(self.full_speed_limit(adapter)) / f64::from(running)).min(1.0);
        share / self.faults.read(|faults| faults.slow).max(1.0)
    }

    fn start(&self, adapter: bool) -> LoadGuard<'_> {
        let limit = self.full_speed_limit(adapter);
        let mut stats = self.stats();
        let count = stats.count(adapter);
        count.started += 1;
        count.over_limit += u64::from(count.running >= limit);
        count.running += 1;
        count.peak = count.peak.max(count.running);
        LoadGuard { shared: self, adapter }
    }
}

impl WeightsStats {
    fn count(&mut self, adapter: bool) -> &mut LoadCount {
        if adapter { &mut self.adapters } else { &mut self.models }
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.shared.stats().count(self.adapter).running -= 1;
    }
}

async fn load(State(shared): State<Arc<Shared>>, Json(request): Json<LoadRequest>) -> Json<LoadRequest> {
    let guard = shared.start(request.adapter);
    let mut remaining = shared.full_speed_time(request.adapter);
    while !remaining.is_zero() {
        let speed = shared.load_speed(request.adapter);
        let pause = remaining.div_f64(speed).min(SPEED_UPDATE_INTERVAL);
        let before = Instant::now();
        tokio::time::sleep(pause).await;
        remaining = remaining.saturating_sub(before.elapsed().mul_f64(speed));
    }
    drop(guard);
    let mut stats = shared.stats();
    stats.count(request.adapter).finished += 1;
    stats.bytes += request.size.0;
    drop(stats);
    Json(request)
}

async fn stats(State(shared): State<Arc<Shared>>) -> Json<WeightsStats> {
    Json(*shared.stats())
}
