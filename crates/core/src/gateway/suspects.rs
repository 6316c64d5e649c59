use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;
use crate::Time;

/// Endpoint runs lost under a request after which it is refused.
///
/// Two can be coincidence while several endpoints fail; a request with the same path and body under three is its
/// cause.
const LIMIT: usize = 3;
/// Time after which a loss no longer counts.
const MEMORY: Duration = Duration::from_mins(2);

/// Requests under which endpoints broke off, by fingerprint.
#[derive(Debug, Default)]
pub struct SuspectTable {
    losses: IndexMap<Fingerprint, Losses>,
}

#[derive(Debug, Default)]
struct Losses {
    runs: IndexSet<(EndpointId, Incarnation)>,
    last: Time,
}

impl SuspectTable {
    /// Notes that a run of an endpoint broke off under a request; returns whether that was news.
    pub fn record_loss(&mut self, print: Fingerprint, id: &EndpointId, run: Incarnation, now: Time) -> bool {
        self.losses.retain(|_, losses| now < losses.last + MEMORY);
        let losses = self.losses.entry(print).or_default();
        losses.last = now;
        losses.runs.insert((id.clone(), run))
    }

    /// Notes that a request ended well, which clears it.
    pub fn clear(&mut self, print: Fingerprint) {
        if !self.losses.is_empty() {
            self.losses.swap_remove(&print);
        }
    }

    /// Returns whether a request is refused since it crashes endpoints.
    pub fn is_convicted(&self, print: Fingerprint, now: Time) -> bool {
        let losses = self.losses.get(&print);
        losses.is_some_and(|losses| losses.runs.len() >= LIMIT && now < losses.last + MEMORY)
    }
}
