use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;
use crate::Time;

/// Number of endpoint incarnations that are lost during a request after which the request is convicted.
///
/// Two can be a coincidence while several endpoints fail. If three are lost during requests with the same
/// path and body, the request is the cause.
const CONVICTION_THRESHOLD: usize = 3;
/// Time since the last loss after which the losses no longer count.
const LOSS_LIFETIME: Duration = Duration::from_mins(2);

/// Requests during which connections to endpoints broke, by fingerprint.
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
    /// Records that the connection to an incarnation of an endpoint broke during a request; returns whether
    /// this was not recorded before.
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

    /// Clears a request that completed successfully.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if !self.losses.is_empty() {
            self.losses.swap_remove(&fingerprint);
        }
    }

    /// Returns whether a request is convicted of crashing endpoints and must be refused.
    pub fn is_convicted(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let losses = self.losses.get(&fingerprint);
        losses.is_some_and(|losses| {
            losses.incarnations.len() >= CONVICTION_THRESHOLD && now < losses.last + LOSS_LIFETIME
        })
    }
}
