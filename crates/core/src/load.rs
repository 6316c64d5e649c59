use std::time::Duration;

use crate::LoadReport;
use crate::Time;

/// Half-life of what is known of other entries' requests once no new report comes.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(5);

/// Time for which an instance's own reports are newer than what others pass on.
const OWN_REPORT_FRESHNESS: Duration = Duration::from_millis(500);

/// Requests on one endpoint: those of this entry, and an estimate of those of the other entries.
///
/// A report shows the load at some time in the past. The requests of this entry at that time are subtracted from
/// it; what remains belongs to others. Own requests sent and finished since then are known exactly.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EndpointLoad {
    own: u32,
    others: f64,
    reported_at: Time,
}

/// Number of own requests at the time at which a report was made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadSnapshot {
    own: u32,
    at: Time,
}

impl EndpointLoad {
    pub fn own(&self) -> u32 {
        self.own
    }

    pub fn started(&mut self) {
        self.own += 1;
    }

    pub fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    pub fn snapshot(&self, at: Time) -> LoadSnapshot {
        LoadSnapshot { own: self.own, at }
    }

    /// Takes over a report unless a later one is known.
    pub fn update(&mut self, report: LoadReport, snapshot: LoadSnapshot) {
        if snapshot.at >= self.reported_at {
            self.others = f64::from((report.running + report.queued).saturating_sub(snapshot.own));
            self.reported_at = snapshot.at;
        }
    }

    /// Takes over a report that another entry got some hundred milliseconds ago.
    pub fn update_relayed(&mut self, report: LoadReport, now: Time) {
        if now >= self.reported_at + OWN_REPORT_FRESHNESS {
            self.others = f64::from((report.running + report.queued).saturating_sub(self.own));
            self.reported_at = now;
        }
    }

    /// Forgets other entries' requests, since the endpoint's process is a new one.
    pub fn forget_others(&mut self) {
        self.others = 0.0;
    }

    pub fn total(&self, now: Time) -> f64 {
        let age = (now - self.reported_at).as_secs_f64();
        f64::from(self.own) + self.others * 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
    }
}
