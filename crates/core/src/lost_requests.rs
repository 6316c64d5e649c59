use std::time::Duration;

use crate::Fingerprint;
use crate::Incarnation;
use crate::Time;

/// Time for which a broken connection counts as part of a crash that is noticed later.
const RETENTION: Duration = Duration::from_secs(10);

/// Requests whose connection to one endpoint broke, until the crash behind it is noticed.
///
/// A view can name a crashed run for seconds after the endpoint is back. What is sent to it meanwhile is on a later run,
/// and belongs to the report of the next crash that is noticed.
#[derive(Debug, Default)]
pub(crate) struct LostRequests {
    requests: Vec<LostRequest>,
    /// The run that is known to be over.
    ended: Option<EndedIncarnation>,
}

#[derive(Debug)]
struct LostRequest {
    at: Time,
    /// `None` for a run that this entry did not know when it sent the request.
    incarnation: Option<Incarnation>,
    fingerprint: Fingerprint,
}

#[derive(Debug)]
struct EndedIncarnation {
    incarnation: Incarnation,
    since: Time,
}

impl LostRequests {
    /// Adds a request that was sent at `start` to the run `assumed` by the view.
    pub fn add(&mut self, assumed: Incarnation, start: Time, fingerprint: Fingerprint, now: Time) {
        self.requests.retain(|request| now < request.at + RETENTION);
        let incarnation = self.actual_incarnation(assumed, start);
        self.requests.push(LostRequest { at: now, incarnation, fingerprint });
        if incarnation.is_some() {
            self.mark_ended(assumed, now);
        }
    }

    /// Notes the crash of a run and returns the requests that may have been lost in it.
    ///
    /// LostRequests of another run are kept for the report of its own crash, which can be noticed later.
    pub fn take(&mut self, incarnation: Incarnation, now: Time) -> Vec<Fingerprint> {
        self.requests.retain(|request| now < request.at + RETENTION);
        self.mark_ended(incarnation, now);
        let in_crash = |request: &mut LostRequest| request.incarnation.is_none_or(|lost| lost == incarnation);
        self.requests.extract_if(.., in_crash).map(|request| request.fingerprint).collect()
    }

    /// Returns whether a request that was sent at `start` to the run `assumed` can be on `incarnation`.
    pub fn may_be_on(&self, incarnation: Incarnation, assumed: Incarnation, start: Time) -> bool {
        self.actual_incarnation(assumed, start).is_none_or(|actual| actual == incarnation)
    }

    fn mark_ended(&mut self, incarnation: Incarnation, now: Time) {
        if self.ended.as_ref().is_none_or(|ended| ended.incarnation != incarnation) {
            self.ended = Some(EndedIncarnation { incarnation, since: now });
        }
    }

    fn actual_incarnation(&self, assumed: Incarnation, start: Time) -> Option<Incarnation> {
        let is_over =
            self.ended.as_ref().is_some_and(|ended| ended.incarnation == assumed && ended.since <= start);
        (!is_over).then_some(assumed)
    }
}
