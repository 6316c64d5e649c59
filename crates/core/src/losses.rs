use std::time::Duration;

use crate::Fingerprint;
use crate::Incarnation;
use crate::Time;

/// Time for which a broken connection is attributed to a crash that is detected later.
const RETENTION: Duration = Duration::from_secs(10);

/// Requests whose connection to one endpoint broke, until the crash that broke it is detected.
///
/// A view can contain a crashed incarnation for seconds after the endpoint has restarted. Requests sent in
/// that time are on a later incarnation and belong to the report of the next crash that is detected.
#[derive(Debug, Default)]
pub(crate) struct LostRequests {
    requests: Vec<LostRequest>,
    /// The incarnation that is known to have ended.
    ended: Option<EndedIncarnation>,
}

#[derive(Debug)]
struct LostRequest {
    at: Time,
    /// `None` for an incarnation that this entry did not know when it sent the request.
    incarnation: Option<Incarnation>,
    fingerprint: Fingerprint,
}

#[derive(Debug)]
struct EndedIncarnation {
    incarnation: Incarnation,
    since: Time,
}

impl LostRequests {
    /// Adds a request that was sent at `start`, when the view contained the incarnation `assumed`.
    pub fn add(&mut self, assumed: Incarnation, start: Time, fingerprint: Fingerprint, now: Time) {
        self.requests.retain(|request| now < request.at + RETENTION);
        let incarnation = self.actual_incarnation(assumed, start);
        self.requests.push(LostRequest { at: now, incarnation, fingerprint });
        if incarnation.is_some() {
            self.mark_ended(assumed, now);
        }
    }

    /// Removes and returns the requests that may have been lost in the crash of an incarnation.
    ///
    /// Requests lost in another incarnation are kept for the report of its own crash, which can be detected
    /// later.
    pub fn take(&mut self, incarnation: Incarnation, now: Time) -> Vec<Fingerprint> {
        self.requests.retain(|request| now < request.at + RETENTION);
        self.mark_ended(incarnation, now);
        let in_crash = |request: &mut LostRequest| request.incarnation.is_none_or(|lost| lost == incarnation);
        self.requests.extract_if(.., in_crash).map(|request| request.fingerprint).collect()
    }

    /// Returns whether a request that was sent at `start`, when the view contained `assumed`, can be on
    /// `incarnation`.
    pub fn may_be_on(&self, incarnation: Incarnation, assumed: Incarnation, start: Time) -> bool {
        self.actual_incarnation(assumed, start).is_none_or(|actual| actual == incarnation)
    }

    fn mark_ended(&mut self, incarnation: Incarnation, now: Time) {
        if self.ended.as_ref().is_none_or(|ended| ended.incarnation != incarnation) {
            self.ended = Some(EndedIncarnation { incarnation, since: now });
        }
    }

    /// Returns the incarnation that received a request, or `None` if it is one that started after `assumed`
    /// ended.
    fn actual_incarnation(&self, assumed: Incarnation, start: Time) -> Option<Incarnation> {
        let is_over =
            self.ended.as_ref().is_some_and(|ended| ended.incarnation == assumed && ended.since <= start);
        (!is_over).then_some(assumed)
    }
}
