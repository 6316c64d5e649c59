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
const CONVICTION_THRESHOLD: usize = 3;
/// Time after which a loss no longer counts.
const LOSS_LIFETIME: Duration = Duration::from_mins(2);

/// Requests under which endpoints broke off, by fingerprint.
#[derive(Debug, Default)]
pub struct SuspectTable {
    losses: IndexMap<Fingerprint, Losses>,
}

#[derive(Debug, Default)]
struct Losses {
    incarnations: IndexSet<(EndpointId, Incarnation)>,
    last: Time,
}

impl SuspectTable {
    /// Notes that a run of an endpoint broke off under a request; returns whether that was news.
    pub fn record_loss(
        &mut self,
        fingerprint: Fingerprint,
        id: &EndpointId,
        incarnation: Incarnation,
        now: Time,
    ) -> bool {
        self.losses.retain(|_, losses| now < losses.last + LOSS_LIFETIME);
        let losses = self.losses.entry(fingerprint).or_default();
        losses.last = now;
        losses.incarnations.insert((id.clone(), incarnation))
    }

    /// Notes that a request ended well, which clears it.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if !self.losses.is_empty() {
            self.losses.swap_remove(&fingerprint);
        }
    }

    /// Returns whether a request is refused since it crashes endpoints.
    pub fn is_convicted(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let losses = self.losses.get(&fingerprint);
        losses.is_some_and(|losses| {
            losses.incarnations.len() >= CONVICTION_THRESHOLD && now < losses.last + LOSS_LIFETIME
        })
    }
}
