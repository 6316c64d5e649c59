use std::time::Duration;

use crate::Fingerprint;
use crate::Incarnation;
use crate::Time;

/// Time for which a broken connection counts as part of a crash that is noticed later.
const KEPT: Duration = Duration::from_secs(10);

/// Requests whose connection to one endpoint broke, until the crash behind it is noticed.
///
/// A view can name a crashed run for seconds after the endpoint is back. What is sent to it meanwhile is on a later run,
/// and belongs to the report of the next crash that is noticed.
#[derive(Debug, Default)]
pub(crate) struct LostRequests {
    losses: Vec<Loss>,
    /// The run that is known to be over.
    over: Option<Over>,
}

#[derive(Debug)]
struct Loss {
    at: Time,
    /// `None` for a run that this entry did not know when it sent the request.
    run: Option<Incarnation>,
    fingerprint: Fingerprint,
}

#[derive(Debug)]
struct Over {
    run: Incarnation,
    since: Time,
}

impl LostRequests {
    /// Adds a request that was sent at `start` to the run `named` by the view.
    pub fn add(&mut self, named: Incarnation, start: Time, fingerprint: Fingerprint, now: Time) {
        self.losses.retain(|loss| now < loss.at + KEPT);
        let run = self.actual_run(named, start);
        self.losses.push(Loss { at: now, run, fingerprint });
        if run.is_some() {
            self.end(named, now);
        }
    }

    /// Notes the crash of a run and returns the requests that may have been lost in it.
    ///
    /// LostRequests of another run are kept for the report of its own crash, which can be noticed later.
    pub fn take(&mut self, run: Incarnation, now: Time) -> Vec<Fingerprint> {
        self.losses.retain(|loss| now < loss.at + KEPT);
        self.end(run, now);
        let in_crash = |loss: &mut Loss| loss.run.is_none_or(|lost| lost == run);
        self.losses.extract_if(.., in_crash).map(|loss| loss.fingerprint).collect()
    }

    /// Returns whether a request that was sent at `start` to the run `named` can be on `run`.
    pub fn may_be_on(&self, run: Incarnation, named: Incarnation, start: Time) -> bool {
        self.actual_run(named, start).is_none_or(|actual| actual == run)
    }

    fn end(&mut self, run: Incarnation, now: Time) {
        if self.over.as_ref().is_none_or(|over| over.run != run) {
            self.over = Some(Over { run, since: now });
        }
    }

    fn actual_run(&self, named: Incarnation, start: Time) -> Option<Incarnation> {
        let is_over = self.over.as_ref().is_some_and(|over| over.run == named && over.since <= start);
        (!is_over).then_some(named)
    }
}
