use std::collections::VecDeque;

use crate::Time;

/// Seconds over which retries are compared with requests.
const WINDOW: u64 = 10;
/// Retries per window that are allowed without any request, so that a quiet entry can retry.
const FLOOR: f64 = 10.0;

/// Bounds retries to a fraction of the requests of the last 10 s.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    ratio: f64,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    second: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    pub fn new(ratio: f64) -> Self {
        Self { ratio, buckets: VecDeque::new() }
    }

    pub fn request(&mut self, now: Time) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry from the budget and returns whether there was one left.
    pub fn retry(&mut self, now: Time) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = f64::from(retries) + 1.0 <= f64::from(requests) * self.ratio + FLOOR;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let second = now.millis() / 1_000;
        self.buckets.retain(|bucket| bucket.second + WINDOW > second);
        if self.buckets.back().is_none_or(|last| last.second < second) {
            self.buckets.push_back(Bucket { second, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
