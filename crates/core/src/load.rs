use std::time::Duration;

use crate::LoadReport;
use crate::Time;

/// Half-life of the estimate of other entries' requests while no new report arrives.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(5);

/// Half-life of the same estimate where costs are compared by time. An endpoint that gets no requests reports nothing either; with 5 s,
/// engines that had been busy stayed idle for up to 7% of a run while others queued, and with 1 s for up to 1.2%.
const TIMED_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time for which a report received from the endpoint takes precedence over relayed ones.
const OWN_REPORT_PRECEDENCE: Duration = Duration::from_millis(500);

/// Requests in flight on one endpoint: those of this entry, and an estimate of those of the other entries.
///
/// A load report describes a time in the past. The requests that this entry had in flight at that time are
/// subtracted from it; the rest belongs to other entries. Own requests sent or finished since then are
/// counted exactly.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EndpointLoad {
    own: u32,
    others: f64,
    reported_at: Time,
}

/// Number of own requests in flight when a load report was made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadSnapshot {
    own: u32,
    at: Time,
}

impl EndpointLoad {
    pub fn own(&self) -> u32 {
        self.own
    }

    pub fn record_start(&mut self) {
        self.own += 1;
    }

    pub fn record_end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    pub fn snapshot(&self, at: Time) -> LoadSnapshot {
        LoadSnapshot { own: self.own, at }
    }

    /// Updates the estimate from a report of the endpoint, unless a later one is known.
    pub fn update(&mut self, report: LoadReport, snapshot: LoadSnapshot) {
        if snapshot.at >= self.reported_at {
            self.others =
                f64::from(report.running.saturating_add(report.queued).saturating_sub(snapshot.own));
            self.reported_at = snapshot.at;
        }
    }

    /// Updates the estimate from a report that another entry relayed, which is some hundred milliseconds old.
    pub fn update_relayed(&mut self, report: LoadReport, now: Time) {
        if now >= self.reported_at + OWN_REPORT_PRECEDENCE {
            self.others = f64::from(report.running.saturating_add(report.queued).saturating_sub(self.own));
            self.reported_at = now;
        }
    }

    /// Clears the estimate of other entries' requests, for a new incarnation of the endpoint.
    pub fn forget_others(&mut self) {
        self.others = 0.0;
    }

    /// Returns the estimated number of requests in flight, of all entries.
    pub fn total(&self, now: Time) -> f64 {
        self.decayed(REPORT_HALF_LIFE, now)
    }

    /// Returns the estimate of [`EndpointLoad::total`] for costs that are compared by time.
    pub fn timed_total(&self, now: Time) -> f64 {
        self.decayed(TIMED_HALF_LIFE, now)
    }

    fn decayed(&self, half_life: Duration, now: Time) -> f64 {
        let age = (now - self.reported_at).as_secs_f64();
        f64::from(self.own) + self.others * 0.5_f64.powf(age / half_life.as_secs_f64())
    }
}
