use std::collections::VecDeque;
use std::time::Duration;

use carobwick_derive::data;

use crate::Time;

/// Number of buckets that make up a window.
const WINDOW_BUCKETS: u64 = 10;
/// Slack in retries of an instance that does not know how many instances share the budget.
const DEFAULT_SLACK: f64 = 1.0;

/// Time within which the instances find a new leader and connect to it.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// Limit on retries to one service, summed over all instances.
#[data]
#[derive(Copy)]
pub struct RetryTerms {
    /// Retries per request.
    pub ratio: f64,
    /// Sliding window over which requests and retries are counted.
    pub window: Duration,
    /// Retries that are allowed in a window beyond the ratio.
    pub slack: f64,
}

/// Returns how many instances share the slack, from the number of followers of a leader.
///
/// Returns `None` while the leader is so new that it knows only some of its followers: the shares of a slack
/// divided by their number would add up to several times the slack.
pub fn retry_budget_instances(followers: usize, leading: Duration) -> Option<u32> {
    (leading >= JOIN_TIME).then(|| followers as u32 + 1)
}

/// Share of one instance in the retry budget of one service.
///
/// Each instance applies the ratio to its own requests and gets an equal part of the slack, so the shares of
/// all instances stay within the limit without communication. The slack is one retry while the number of
/// instances is unknown.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryTerms,
    buckets: VecDeque<Bucket>,
    /// Numbers of instances that were set within the last window; the largest one applies.
    instance_counts: VecDeque<(Time, u32)>,
}

#[derive(Debug)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget without requests, for an unknown number of instances.
    pub fn new(terms: RetryTerms) -> Self {
        Self { terms, buckets: VecDeque::new(), instance_counts: VecDeque::new() }
    }

    /// Creates a budget without requests that has the whole slack, for a single instance.
    pub fn unshared(terms: RetryTerms) -> Self {
        Self { instance_counts: VecDeque::from([(Time::ZERO, 1)]), ..Self::new(terms) }
    }

    /// Replaces the limit; requests and retries so far still count.
    pub fn set_terms(&mut self, terms: RetryTerms) {
        self.terms = terms;
    }

    /// Sets the number of instances that share the slack.
    ///
    /// A smaller number takes effect after a window only: a new leader knows only some of its followers at
    /// first, and the retries of the others still count.
    pub fn set_instances(&mut self, instances: u32, now: Time) {
        let window = self.terms.window;
        self.instance_counts.retain(|(at, earlier)| now < *at + window && *earlier > instances);
        self.instance_counts.push_back((now, instances.max(1)));
    }

    /// Counts a request of a caller.
    pub fn add_request(&mut self, now: Time) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry from the budget, and returns whether one was left.
    pub fn try_take(&mut self, now: Time) -> bool {
        let newest = self.bucket(now).index;
        // Requests count for less than a window and retries for more, so that no window of any position
        // exceeds the limit, not even next to a peak of requests.
        let recent = self.buckets.iter().filter(|bucket| bucket.index + WINDOW_BUCKETS > newest + 1);
        let requests: u32 = recent.map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = self
            .instance_counts
            .front()
            .map_or(DEFAULT_SLACK, |(_, most)| (self.terms.slack / f64::from(*most)).floor());
        let allowed = f64::from(retries) + 1.0 <= f64::from(requests) * self.terms.ratio + slack;
        if allowed {
            self.bucket(now).retries += 1;
        }
        allowed
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let length = (self.terms.window.as_micros() as u64 / WINDOW_BUCKETS).max(1);
        let index = now.0 / length;
        // One bucket more than a window, since the oldest one lies in the window only in part.
        self.buckets.retain(|bucket| bucket.index + WINDOW_BUCKETS >= index);
        if self.buckets.back().is_none_or(|last| last.index < index) {
            self.buckets.push_back(Bucket { index, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
