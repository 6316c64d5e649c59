use std::collections::VecDeque;
use std::time::Duration;

use carobwick_derive::data;

use crate::Time;

/// Buckets into which a window is cut.
const BUCKETS: u64 = 10;
/// Part of the slack, in repeats, of an instance that does not know how many share it.
const OWN_SLACK: f64 = 1.0;

/// Time in which the instances find a new leader and connect to it.
const JOINING: Duration = Duration::from_secs(3);

/// Bound on repeated sends to one service, over all instances.
#[data]
#[derive(Copy)]
pub struct RetryTerms {
    /// Repeated sends per request.
    pub ratio: f64,
    /// Span over which both are counted.
    pub window: Duration,
    /// Repeated sends that are allowed beyond the ratio.
    pub slack: f64,
}

/// Returns how many instances share the slack, by the followers of a leader.
///
/// A leader of a moment ago knows few of its followers, and shares by their number would add up to several times the slack.
pub fn retry_budget_instances(followers: usize, leading: Duration) -> Option<u32> {
    (leading >= JOINING).then(|| followers as u32 + 1)
}

/// Part of the retry budget of one service that an instance may use without asking the others.
///
/// Each instance counts its own requests against the ratio and takes an equal part of the slack. The parts of all
/// instances add up to the bound whatever the others do. Without a number of instances it is one
/// repeat.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryTerms,
    buckets: VecDeque<Bucket>,
    /// Numbers of instances that were told within the last window; the largest one counts.
    told: VecDeque<(Time, u32)>,
}

#[derive(Debug)]
struct Bucket {
    index: u64,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// Starts with no requests and without a number of instances.
    pub fn new(terms: RetryTerms) -> Self {
        Self { terms, buckets: VecDeque::new(), told: VecDeque::new() }
    }

    /// Starts with no requests and the whole slack, as the only instance.
    pub fn unshared(terms: RetryTerms) -> Self {
        Self { told: VecDeque::from([(Time::ZERO, 1)]), ..Self::new(terms) }
    }

    /// Sets another bound.
    pub fn set_terms(&mut self, terms: RetryTerms) {
        self.terms = terms;
    }

    /// Sets the number of instances that share the slack.
    ///
    /// A smaller number counts after a window only: a new leader knows a few of its followers at first, and the repeats
    /// of the others still count.
    pub fn set_instances(&mut self, instances: u32, now: Time) {
        let window = self.terms.window;
        self.told.retain(|(at, earlier)| now < *at + window && *earlier > instances);
        self.told.push_back((now, instances.max(1)));
    }

    /// Counts a request of a caller.
    pub fn add_request(&mut self, now: Time) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeated send, and returns whether there was one left.
    pub fn try_take(&mut self, now: Time) -> bool {
        let newest = self.bucket(now).index;
        // Requests count for less than a window and repeats for more, so that no span of a window holds too many repeats,
        // also next to a peak of the requests.
        let recent = self.buckets.iter().filter(|bucket| bucket.index + BUCKETS > newest + 1);
        let requests: u32 = recent.map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let slack =
            self.told.front().map_or(OWN_SLACK, |(_, most)| (self.terms.slack / f64::from(*most)).floor());
        let allowed = f64::from(repeats) + 1.0 <= f64::from(requests) * self.terms.ratio + slack;
        if allowed {
            self.bucket(now).repeats += 1;
        }
        allowed
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let length = (self.terms.window.as_micros() as u64 / BUCKETS).max(1);
        let index = now.0 / length;
        // One bucket more than the window holds, since the oldest one counts only in part.
        self.buckets.retain(|bucket| bucket.index + BUCKETS >= index);
        if self.buckets.back().is_none_or(|last| last.index < index) {
            self.buckets.push_back(Bucket { index, requests: 0, repeats: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
