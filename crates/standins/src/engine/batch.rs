use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;
use std::time::Instant;

use carobwick_core::ModelId;
use carobwick_core::ModelVersion;
use carobwick_core::Priority;
use carobwick_core::Tokens;
use tokio::sync::watch;

use super::EngineTiming;
use super::cache::PrefixCache;

/// A chat request in the engine, waiting or running.
#[derive(Debug)]
pub(super) struct Job {
    pub hash: u64,
    pub model: ModelId,
    pub version: ModelVersion,
    pub blocks: Vec<u64>,
    pub prompt_tokens: Tokens,
    pub max_tokens: u32,
    pub priority: Priority,
    /// Whether the request crashes the engine when it runs.
    pub crashes: bool,
    /// Number of responses that are being sent for the request; it can be above one after a resume.
    pub readers: AtomicU32,
    pub progress: watch::Sender<Progress>,
}

/// Number of tokens generated for a request, and its phase.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Progress {
    pub tokens: u32,
    pub phase: Phase,
}

/// Phase of a request in the engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Phase {
    /// The request waits or runs.
    Active,
    /// All tokens of the request are generated.
    Done,
    /// The caller disconnected and the request was taken out of the batch; a resume continues it.
    Paused,
    /// The engine crashed while the request waited or ran.
    Lost,
}

/// Continuous batching with a fixed number of slots and a queue ordered by priority, then by arrival.
#[derive(Debug)]
pub(super) struct Batch {
    slots: usize,
    timing: EngineTiming,
    running: Vec<Slot>,
    queue: BTreeMap<(Reverse<Priority>, u64), Arc<Job>>,
    arrivals: u64,
    prefill_free_at: Option<Instant>,
}

/// Result of one step of the batch.
#[derive(Debug, Default)]
pub(super) struct StepResult {
    /// Time at which the next step is due, if any request runs.
    pub next_due: Option<Instant>,
    /// Highest number of requests that ran at once during the step.
    pub peak_running: usize,
    /// Whether a request crashed the engine.
    pub crashed: bool,
    /// Blocks that each started request stored in and evicted from the prefix cache.
    pub cache_changes: Vec<(Vec<u64>, Vec<u64>)>,
}

#[derive(Debug)]
struct Slot {
    job: Arc<Job>,
    due: Instant,
}

impl Job {
    /// Returns the number of events in the request's stream: one per token, the finish reason and `[DONE]`.
    pub(super) fn event_count(&self) -> u32 {
        self.max_tokens + 2
    }
}

impl Batch {
    pub(super) fn new(slots: usize, timing: EngineTiming) -> Self {
        Self {
            slots,
            timing,
            running: Vec::new(),
            queue: BTreeMap::new(),
            arrivals: 0,
            prefill_free_at: None,
        }
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of prompt and output tokens that memory is reserved for by the running requests.
    pub(super) fn reserved_tokens(&self) -> u64 {
        self.running.iter().map(|slot| slot.job.prompt_tokens.0 + u64::from(slot.job.max_tokens)).sum()
    }

    pub(super) fn push(&mut self, job: Arc<Job>) {
        self.arrivals += 1;
        self.queue.insert((Reverse(job.priority), self.arrivals), job);
    }

    /// Removes a request from its slot or from the queue.
    pub(super) fn remove(&mut self, job: &Arc<Job>) {
        self.running.retain(|slot| !Arc::ptr_eq(&slot.job, job));
        self.queue.retain(|_, queued| !Arc::ptr_eq(queued, job));
    }

    /// Returns whether a request for this version of the model waits or runs.
    pub(super) fn has_requests_for(&self, model: &ModelId, version: &ModelVersion) -> bool {
        let mut jobs = self.running.iter().map(|slot| &slot.job).chain(self.queue.values());
        jobs.any(|job| job.model == *model && job.version == *version)
    }

    /// Removes all requests and marks them as lost, when the engine crashes.
    pub(super) fn abort_all(&mut self) {
        for job in
            self.running.drain(..).map(|slot| slot.job).chain(std::mem::take(&mut self.queue).into_values())
        {
            job.progress.send_modify(|progress| progress.phase = Phase::Lost);
        }
    }

    /// Moves queued requests into free slots and generates the tokens that are due.
    pub(super) fn step(&mut self, now: Instant, cache: &mut PrefixCache) -> StepResult {
        let mut step = StepResult::default();
        loop {
            self.fill_slots(now, cache, &mut step);
            let before = self.running.len();
            step.peak_running = step.peak_running.max(before);
            self.decode(now, &mut step);
            // A finished request frees its slot, so the next request from the queue can start in the same
            // step.
            if self.running.len() == before || self.queue.is_empty() || step.crashed {
                break;
            }
        }
        step.next_due = self.running.iter().map(|slot| slot.due).min();
        step
    }

    fn fill_slots(&mut self, now: Instant, cache: &mut PrefixCache, step: &mut StepResult) {
        while self.running.len() < self.slots {
            let Some((_, job)) = self.queue.pop_first() else {
                return;
            };
            let (cached, stored, removed) = cache.insert_prompt(&job.blocks);
            if !stored.is_empty() || !removed.is_empty() {
                step.cache_changes.push((stored, removed));
            }
            let uncached = job.prompt_tokens.0.saturating_sub(cached.0).max(1);
            let cost = Duration::from_nanos((self.timing.prefill_us * uncached as f64 * 1_000.0) as u64);
            // Prompts are prefilled one after another, while the running requests go on decoding.
            let due = self.prefill_free_at.map_or(now, |free| free.max(now)) + cost;
            self.prefill_free_at = Some(due);
            self.running.push(Slot { job, due });
        }
    }

    fn decode(&mut self, now: Instant, step: &mut StepResult) {
        let token_time = self.token_time();
        self.running.retain_mut(|slot| {
            if slot.due > now {
                return true;
            }
            if slot.job.crashes {
                step.crashed = true;
                return true;
            }
            let mut new_tokens = 0;
            let generated = slot.job.progress.borrow().tokens;
            while slot.due <= now && generated + new_tokens < slot.job.max_tokens {
                new_tokens += 1;
                slot.due += token_time;
            }
            let tokens = generated + new_tokens;
            let done = tokens >= slot.job.max_tokens;
            let phase = if done { Phase::Done } else { Phase::Active };
            slot.job.progress.send_replace(Progress { tokens, phase });
            !done
        });
    }

    fn token_time(&self) -> Duration {
        let others = self.running.len().saturating_sub(1) as f64;
        Duration::from_nanos(
            (self.timing.token_us as f64 * 1_000.0 * (1.0 + self.timing.batch_slowdown * others)) as u64,
        )
    }
}
