use std::collections::VecDeque;

use carobwick_core::Incarnation;
use carobwick_core::LoadReport;
use carobwick_core::ModelId;
use carobwick_core::Time;

use crate::PrefixCache;

/// Speed and capacity of one endpoint; times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Hardware {
    /// Maximum number of requests in prefill and decode at the same time.
    pub slots: usize,
    /// Fixed time of each prefill, in addition to the time of its tokens.
    pub prefill_overhead: f64,
    /// Prefill time per prompt token that is not in the prefix cache.
    pub prefill_time: f64,
    /// Base time per generated token, without the part that grows with the batch.
    pub token_gap: f64,
    /// Time per generated token that each request in the batch adds.
    pub batch_slowdown: f64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Time to load an adapter on its first use.
    pub adapter_load: f64,
}

/// Queueing model of an endpoint: request slots, one prefill at a time, a decode batch and a prefix cache.
#[derive(Debug)]
pub struct Engine {
    hardware: Hardware,
    incarnation: Incarnation,
    up: bool,
    adapters: Vec<ModelId>,
    /// Requests that wait for a slot.
    queue: VecDeque<Job>,
    /// Requests that have a slot; the first one is in prefill.
    prefill_queue: VecDeque<Job>,
    /// End of the current prefill, in seconds of virtual time.
    prefill_end: Option<f64>,
    /// Requests in decode, each with the value of `generated` at which it ends.
    batch: Vec<(Job, f64)>,
    /// Number of tokens that a request would have generated if it had always been in the batch.
    generated: f64,
    now: f64,
    cache: PrefixCache,
}

/// Request as an engine sees it; lengths are in tokens.
#[derive(Debug, Clone)]
pub struct Job {
    /// Index of the request in the simulation.
    pub request: usize,
    /// Id and length of the prompt prefix that it shares with other requests.
    pub prefix: Option<(u64, u64)>,
    /// Length of the prompt after the shared prefix.
    pub suffix_tokens: u64,
    /// Number of tokens to generate.
    pub output_tokens: u64,
    /// Adapter that the request needs.
    pub adapter: Option<ModelId>,
}

/// Progress of a request, which the engine reports to its entry; holds the index of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutput {
    /// The request has its first token.
    FirstToken(usize),
    /// The request is complete.
    Done(usize),
}

impl Engine {
    /// Creates a running endpoint with the given adapters loaded.
    pub fn new(hardware: Hardware, adapters: Vec<ModelId>) -> Self {
        Self {
            hardware,
            incarnation: Incarnation(1),
            up: true,
            adapters,
            queue: VecDeque::new(),
            prefill_queue: VecDeque::new(),
            prefill_end: None,
            batch: Vec::new(),
            generated: 0.0,
            now: 0.0,
            cache: PrefixCache::new(hardware.cache_tokens),
        }
    }

    /// Returns the current incarnation of the endpoint's process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the endpoint's process is running.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Returns the load report of the endpoint at its current time.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: (self.prefill_queue.len() + self.batch.len()) as u32,
            queued: self.queue.len() as u32,
            cached_tokens: self.cache.tokens(),
            free_tokens: self.hardware.cache_tokens - self.cache.tokens(),
        }
    }

    /// Adds a request to the queue, and starts it if a slot is free.
    pub fn enqueue(&mut self, job: Job) {
        self.queue.push_back(job);
        self.start_queued();
    }

    /// Returns the time of the next end of a prefill or of a request, or `None` if the engine is idle.
    pub fn next_event(&self) -> Option<Time> {
        let at = self.next_event_seconds()?;
        // Without the extra microsecond, rounding could give a time just before the event.
        Some(Time((at * 1e6).ceil() as u64 + 1))
    }

    /// Advances the engine to `now` and returns its outputs since the last call, in order of time.
    pub fn advance(&mut self, now: Time) -> Vec<EngineOutput> {
        let end = now.0 as f64 / 1e6;
        let mut outputs = Vec::new();
        while let Some(at) = self.next_event_seconds().filter(|at| *at <= end) {
            self.decode_until(at);
            if self.prefill_end.is_some_and(|prefill_end| prefill_end <= at) {
                self.end_prefill(&mut outputs);
            }
            // The tolerance absorbs rounding errors of the floating-point sums.
            let generated = self.generated + 1e-9;
            let finished = self.batch.extract_if(.., |(_, target)| *target <= generated);
            outputs.extend(finished.map(|(job, _)| EngineOutput::Done(job.request)));
            self.start_queued();
        }
        self.decode_until(end);
        outputs
    }

    /// Ends the endpoint's process and returns the indices of the requests that it held.
    pub fn crash(&mut self) -> Vec<usize> {
        self.up = false;
        self.prefill_end = None;
        self.cache = PrefixCache::new(self.hardware.cache_tokens);
        let mut lost: Vec<usize> =
            self.queue.drain(..).chain(self.prefill_queue.drain(..)).map(|job| job.request).collect();
        lost.extend(self.batch.drain(..).map(|(job, _)| job.request));
        lost
    }

    /// Starts a new incarnation of the endpoint's process, with an empty prefix cache.
    pub fn restart(&mut self) {
        self.up = true;
        self.incarnation.0 += 1;
    }

    /// Returns the time of the next event in seconds.
    fn next_event_seconds(&self) -> Option<f64> {
        let lowest_target = self.batch.iter().map(|(_, target)| *target).min_by(f64::total_cmp);
        let decode_end =
            lowest_target.map(|target| self.now + (target - self.generated).max(0.0) * self.time_per_token());
        [self.prefill_end, decode_end].into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Returns the seconds that each request in the batch needs per token.
    fn time_per_token(&self) -> f64 {
        self.hardware.token_gap + self.hardware.batch_slowdown * self.batch.len() as f64
    }

    /// Decodes with the present batch until `at`, in seconds.
    fn decode_until(&mut self, at: f64) {
        if !self.batch.is_empty() {
            self.generated += (at - self.now).max(0.0) / self.time_per_token();
        }
        self.now = self.now.max(at);
    }

    /// Moves the request whose prefill has ended to the batch.
    fn end_prefill(&mut self, outputs: &mut Vec<EngineOutput>) {
        self.prefill_end = None;
        let Some(job) = self.prefill_queue.pop_front() else { return };
        if let Some((prefix, tokens)) = job.prefix {
            self.cache.insert(prefix, tokens);
        }
        outputs.push(EngineOutput::FirstToken(job.request));
        let target = self.generated + job.output_tokens as f64;
        self.batch.push((job, target));
    }

    /// Fills free slots from the queue, and starts the next prefill if none is under way.
    fn start_queued(&mut self) {
        while self.prefill_queue.len() + self.batch.len() < self.hardware.slots {
            let Some(job) = self.queue.pop_front() else { break };
            self.prefill_queue.push_back(job);
        }
        if self.prefill_end.is_none()
            && let Some(job) = self.prefill_queue.front()
        {
            let uncached =
                job.prefix.map_or(0, |(prefix, tokens)| if self.cache.touch(prefix) { 0 } else { tokens });
            let mut duration = self.hardware.prefill_overhead
                + self.hardware.prefill_time * (uncached + job.suffix_tokens) as f64;
            if let Some(adapter) = &job.adapter
                && !self.adapters.contains(adapter)
            {
                duration += self.hardware.adapter_load;
                self.adapters.push(adapter.clone());
            }
            self.prefill_end = Some(self.now + duration);
        }
    }
}
