use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use carobwick_core::AttemptId;
use carobwick_core::EngineState;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::LoadReport;
use carobwick_core::ModelId;
use carobwick_core::ModelVersion;
use carobwick_core::OrderId;
use carobwick_core::OrderOutcome;
use carobwick_core::OrderResult;
use carobwick_core::Role;
use carobwick_derive::data;
use carobwick_runtime::HttpClient;
use tokio::sync::Notify;
use tokio::sync::broadcast;

use super::EngineFaults;
use super::EngineOptions;
use super::OnCrash;
use super::batch::Batch;
use super::batch::Job;
use super::batch::Phase;
use super::cache::CacheEvent;
use super::cache::PrefixCache;
use super::memory::CopyState;
use super::memory::Memory;
use crate::Faults;
use crate::ServerControl;

/// How long after its response ended a stream can be resumed.
pub(super) const RESUME_WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of order outcomes that the engine remembers.
const MAX_ORDER_RESULTS: usize = 256;
/// Number of cache events that a slow reader may lag behind before it loses events.
const EVENT_BUFFER_LEN: usize = 1_024;
/// Timeout of a load, long enough for a slow weight store.
const LOAD_TIMEOUT: Duration = Duration::from_mins(10);
/// How often an idle engine's task checks whether the engine still exists.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Settings, faults and state of one engine, shared by its tasks and handlers.
#[derive(Debug)]
pub(super) struct Core {
    pub options: EngineOptions,
    pub faults: Faults<EngineFaults>,
    pub wake: Notify,
    pub http: HttpClient,
    pub events: broadcast::Sender<(Instant, CacheEvent)>,
    control: OnceLock<ServerControl>,
    state: Mutex<State>,
}

/// State of an engine; a crash resets all of it except the counts.
#[derive(Debug)]
pub(super) struct State {
    pub incarnation: Incarnation,
    pub fence: Fence,
    pub memory: Memory,
    pub batch: Batch,
    pub role: Role,
    pub streams: Streams,
    pub stats: EngineStats,
    cache: PrefixCache,
    results: VecDeque<OrderResult>,
    load_history: VecDeque<(Instant, LoadReport)>,
    next_sequence: u64,
}

/// Requests whose streams can be resumed, by attempt id.
#[derive(Debug, Default)]
pub(super) struct Streams {
    jobs: HashMap<AttemptId, Arc<Job>>,
    ended: VecDeque<(Instant, AttemptId)>,
}

/// Counts of an engine since its start, over all incarnations.
#[data]
#[derive(Default)]
pub struct EngineStats {
    /// Chat requests that were accepted.
    pub requests: u64,
    /// Chat requests that were refused.
    pub refused: u64,
    /// Chat requests whose callers disconnected early.
    pub cancelled: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Orders that arrived.
    pub orders: u64,
    /// Orders that were refused because of their fencing number.
    pub fenced: u64,
    /// Orders that were refused because they had expired.
    pub expired: u64,
    /// Loads that were started.
    pub loads: u64,
    /// Unloads that were started.
    pub unloads: u64,
    /// Load orders that were refused because the model did not fit into memory.
    pub overcommit_attempts: u64,
    /// Crashes of the engine.
    pub crashes: u64,
    /// Highest number of requests that ran at once.
    pub peak_running: u64,
}

impl Core {
    pub(super) fn new(options: EngineOptions, faults: EngineFaults) -> Self {
        let state = State::new(&options, EngineStats::default());
        Self {
            options,
            faults: Faults::open(faults),
            wake: Notify::new(),
            http: HttpClient::open(LOAD_TIMEOUT),
            events: broadcast::Sender::new(EVENT_BUFFER_LEN),
            control: OnceLock::new(),
            state: Mutex::new(state),
        }
    }

    /// Sets the control of the server's connections, which faults and crashes use.
    pub(super) fn set_control(&self, control: ServerControl) {
        self.control.get_or_init(|| control.clone());
        self.faults.on_change(move |faults| {
            if faults.freeze {
                control.freeze();
            }
            if faults.refuse_ms > 0 {
                control.start_outage(Duration::from_millis(faults.refuse_ms));
            }
        });
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn state_report(&self) -> EngineState {
        let state = self.lock();
        let fence = if self.options.ignore_fence { Fence(0) } else { state.fence };
        EngineState {
            incarnation: state.incarnation,
            fence,
            memory: self.options.memory,
            resident: state.memory.resident(),
            loading: state.memory.in_transition(),
            running: state.batch.running() as u32,
            queued: state.batch.queued() as u32,
            role: state.role,
            results: state.results.iter().cloned().collect(),
        }
    }

    pub(super) fn crash(&self) {
        match self.options.on_crash {
            OnCrash::Exit => {
                tracing::error!("engine: {} crashed", self.options.endpoint);
                std::process::exit(70);
            }
            OnCrash::Restart(delay) => {
                if let Some(control) = self.control.get() {
                    control.start_outage(delay);
                }
                let mut state = self.lock();
                state.batch.abort_all();
                let mut counts = state.stats.clone();
                counts.crashes += 1;
                *state = State::new(&self.options, counts);
            }
        }
    }

    /// Generates the tokens that are due and returns the time at which the next are due.
    fn step(&self) -> Option<Instant> {
        let now = Instant::now();
        let step = {
            let mut state = self.lock();
            let state = &mut *state;
            let step = state.batch.step(now, &mut state.cache);
            state.stats.peak_running = state.stats.peak_running.max(step.peak_running as u64);
            for (stored, removed) in &step.cache_changes {
                let sequence = state.next_sequence;
                state.next_sequence += 1;
                let lost = self.options.event_gap > 0 && sequence.is_multiple_of(self.options.event_gap);
                if !lost {
                    let event = CacheEvent { sequence, stored: stored.clone(), removed: removed.clone() };
                    // The send fails if no reader is subscribed.
                    let _ = self.events.send((now, event));
                }
            }
            self.record_load_report(state, now);
            step
        };
        if step.crashed {
            self.crash();
            return None;
        }
        step.next_due
    }

    /// Returns the load as of `report_lag` ago, or that of an idle engine if none was recorded by then.
    pub(super) fn load_report(&self, state: &State) -> LoadReport {
        if self.options.report_lag.is_zero() {
            return self.current_load(state);
        }
        let cutoff = Instant::now().checked_sub(self.options.report_lag);
        let mut old = state.load_history.iter().rev();
        old.find(|(at, _)| Some(*at) <= cutoff).map_or_else(|| self.idle_load(), |(_, load)| *load)
    }

    pub(super) fn record_load_report(&self, state: &mut State, now: Instant) {
        if self.options.report_lag.is_zero() {
            return;
        }
        let load = self.current_load(state);
        state.load_history.push_back((now, load));
        while state
            .load_history
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) > self.options.report_lag)
        {
            state.load_history.pop_front();
        }
    }

    fn idle_load(&self) -> LoadReport {
        LoadReport { free_tokens: self.options.timing.capacity_tokens.0, ..LoadReport::default() }
    }

    fn current_load(&self, state: &State) -> LoadReport {
        LoadReport {
            running: state.batch.running() as u32,
            queued: state.batch.queued() as u32,
            cached_tokens: state.cache.tokens(),
            free_tokens: self.options.timing.capacity_tokens.0.saturating_sub(state.batch.reserved_tokens()),
        }
    }
}

impl State {
    fn new(options: &EngineOptions, stats: EngineStats) -> Self {
        Self {
            incarnation: Incarnation(rand::random()),
            fence: Fence(0),
            memory: Memory::new(options.memory),
            batch: Batch::new(options.slots, options.timing),
            role: Role::default(),
            streams: Streams::default(),
            stats,
            cache: PrefixCache::new(options.timing.cache_tokens),
            results: VecDeque::new(),
            load_history: VecDeque::new(),
            next_sequence: 1,
        }
    }

    /// Returns the outcome of an order if it is still remembered.
    pub(super) fn order_outcome(&self, id: OrderId) -> Option<OrderOutcome> {
        self.results.iter().find(|result| result.id == id).map(|result| result.outcome)
    }

    /// Sets the outcome of an order, and forgets the oldest one if too many are remembered.
    pub(super) fn set_order_outcome(&mut self, id: OrderId, outcome: OrderOutcome) {
        if let Some(result) = self.results.iter_mut().find(|result| result.id == id) {
            result.outcome = outcome;
            return;
        }
        if self.results.len() == MAX_ORDER_RESULTS {
            self.results.pop_front();
        }
        self.results.push_back(OrderResult { id, outcome });
    }

    /// Frees the memory of an unloading copy unless a request uses it, and returns whether it was freed.
    pub(super) fn finish_unload(&mut self, model: &ModelId, version: &ModelVersion) -> bool {
        if self.batch.has_requests_for(model, version) {
            return false;
        }
        self.memory.remove(model, version, &CopyState::Unloading);
        true
    }
}

impl Streams {
    pub(super) fn add(&mut self, attempt: AttemptId, job: Arc<Job>) {
        self.jobs.insert(attempt, job);
    }

    pub(super) fn get(&self, attempt: AttemptId) -> Option<Arc<Job>> {
        self.jobs.get(&attempt).cloned()
    }

    /// Starts the time window in which an ended stream can be resumed, and removes the streams whose window
    /// is over.
    pub(super) fn mark_ended(&mut self, attempt: AttemptId) {
        let now = Instant::now();
        self.ended.push_back((now, attempt));
        while let Some((_, old)) = self.ended.pop_front_if(|(at, _)| now.duration_since(*at) > RESUME_WINDOW)
        {
            self.jobs.remove(&old);
        }
    }
}

/// Runs the steps of the batch until the engine is dropped.
pub(super) async fn run(core: Weak<Core>) {
    loop {
        let Some(core) = core.upgrade() else {
            return;
        };
        let wake_at = core.step().unwrap_or_else(|| Instant::now() + IDLE_POLL_INTERVAL);
        tokio::select! {
            () = core.wake.notified() => {}
            () = tokio::time::sleep_until(wake_at.into()) => {}
        }
    }
}

/// Removes an active request from the batch if no response is being sent for it.
pub(super) fn pause_if_abandoned(core: &Core, job: &Arc<Job>) {
    let mut state = core.lock();
    let abandoned = job.readers.load(std::sync::atomic::Ordering::SeqCst) == 0;
    if abandoned && job.progress.borrow().phase == Phase::Active {
        state.batch.remove(job);
        state.stats.cancelled += 1;
        job.progress.send_modify(|progress| progress.phase = Phase::Paused);
        core.wake.notify_one();
    }
}
