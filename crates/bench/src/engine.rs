use std::collections::VecDeque;

use carobwick_core::Incarnation;
use carobwick_core::LoadReport;
use carobwick_core::ModelId;
use carobwick_core::Time;

use crate::PrefixCache;

/// Speed and size of one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Hardware {
    /// Requests that run at once.
    pub slots: usize,
    /// Seconds that each prefill takes beside its tokens.
    pub prefill_overhead: f64,
    /// Seconds of prefill per token that the prefix cache lacks.
    pub prefill_time: f64,
    /// Seconds per generated token with an empty batch.
    pub token_gap: f64,
    /// Seconds per generated token that each request in the batch adds.
    pub batch_slowdown: f64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Seconds to load an adapter on its first use.
    pub adapter_load: f64,
}

/// Queueing model of an endpoint: slots, one prefill at a time, a shared batch, a limited prefix cache.
#[derive(Debug)]
pub struct Engine {
    hardware: Hardware,
    incarnation: Incarnation,
    up: bool,
    adapters: Vec<ModelId>,
    queue: VecDeque<Job>,
    prefill_queue: VecDeque<Job>,
    prefill_end: Option<f64>,
    batch: Vec<(Job, f64)>,
    /// Tokens that a request which has been in the batch from the start would have generated.
    generated: f64,
    now: f64,
    cache: PrefixCache,
}

/// Work of one request.
#[derive(Debug, Clone)]
pub struct Job {
    /// Number of the request in the run.
    pub request: usize,
    /// Identity and length of the shared part of the prompt.
    pub prefix: Option<(u64, u64)>,
    /// Length of the rest of the prompt.
    pub suffix_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u64,
    /// Adapter, if it needs one.
    pub adapter: Option<ModelId>,
}

/// Something that a request's entry sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutput {
    /// The first token of a request.
    FirstToken(usize),
    /// The end of a request.
    Done(usize),
}

impl Engine {
    /// Starts an endpoint that holds the given adapters.
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

    /// Returns the identity of its current run.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether it takes requests.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Returns its load.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: (self.prefill_queue.len() + self.batch.len()) as u32,
            queued: self.queue.len() as u32,
            cached_tokens: self.cache.tokens(),
            free_tokens: self.hardware.cache_tokens - self.cache.tokens(),
        }
    }

    /// Takes a request.
    pub fn enqueue(&mut self, job: Job) {
        self.queue.push_back(job);
        self.start_queued();
    }

    /// Returns when the next output or change is due.
    pub fn next_event(&self) -> Option<Time> {
        let at = self.next_event_seconds()?;
        // One more microsecond, since rounding could otherwise give a time just before the event.
        Some(Time((at * 1e6).ceil() as u64 + 1))
    }

    /// Runs until `now` and returns what happened.
    pub fn advance(&mut self, now: Time) -> Vec<EngineOutput> {
        let end = now.0 as f64 / 1e6;
        let mut outputs = Vec::new();
        while let Some(at) = self.next_event_seconds().filter(|at| *at <= end) {
            self.decode_until(at);
            if self.prefill_end.is_some_and(|prefill_end| prefill_end <= at) {
                self.end_prefill(&mut outputs);
            }
            let generated = self.generated + 1e-9;
            let finished = self.batch.extract_if(.., |(_, target)| *target <= generated);
            outputs.extend(finished.map(|(job, _)| EngineOutput::Done(job.request)));
            self.start_queued();
        }
        self.decode_until(end);
        outputs
    }

    /// Ends its process and returns the requests that it had.
    pub fn crash(&mut self) -> Vec<usize> {
        self.up = false;
        self.prefill_end = None;
        self.cache = PrefixCache::new(self.hardware.cache_tokens);
        let mut lost: Vec<usize> =
            self.queue.drain(..).chain(self.prefill_queue.drain(..)).map(|job| job.request).collect();
        lost.extend(self.batch.drain(..).map(|(job, _)| job.request));
        lost
    }

    /// Starts a new process with an empty cache.
    pub fn restart(&mut self) {
        self.up = true;
        self.incarnation.0 += 1;
    }

    fn next_event_seconds(&self) -> Option<f64> {
        let lowest_target = self.batch.iter().map(|(_, target)| *target).min_by(f64::total_cmp);
        let decode_end =
            lowest_target.map(|target| self.now + (target - self.generated).max(0.0) * self.time_per_token());
        [self.prefill_end, decode_end].into_iter().flatten().min_by(f64::total_cmp)
    }

    fn time_per_token(&self) -> f64 {
        self.hardware.token_gap + self.hardware.batch_slowdown * self.batch.len() as f64
    }

    fn decode_until(&mut self, at: f64) {
        if !self.batch.is_empty() {
            self.generated += (at - self.now).max(0.0) / self.time_per_token();
        }
        self.now = self.now.max(at);
    }

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
