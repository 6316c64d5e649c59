use carobwick_derive::data;
use indexmap::IndexMap;

use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;
use crate::digest::stable_hash;

/// Most reports that are kept; with about 9 failures a day at the target scale they go back several weeks.
const MAX_REPORTS: usize = 256;

/// Crash reports by endpoint and incarnation.
///
/// Sets are merged by union, of which the latest reports are kept, so all processes converge to the same set
/// in whatever order the reports arrive.
#[data]
#[derive(Default)]
pub struct CrashReportSet {
    reports: IndexMap<(EndpointId, Incarnation), CrashReport>,
}

/// Report of a crash of an endpoint, with the requests that were in flight on it.
#[data]
pub struct CrashReport {
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
    /// Requests in flight, as far as known.
    pub fingerprints: Vec<Fingerprint>,
    /// Requests of `fingerprints` that have finished elsewhere since, so that they can't be the cause.
    #[serde(default)]
    pub cleared: Vec<Fingerprint>,
    /// Wall-clock time of the report, in milliseconds since the Unix epoch; 0 until the runtime sets it.
    #[serde(default)]
    pub at_ms: u64,
}

impl CrashReportSet {
    /// Adds a report, or merges it into the one of the same crash, and returns whether the set changed.
    pub fn add(&mut self, report: CrashReport) -> bool {
        let key = (report.endpoint.clone(), report.incarnation);
        match self.reports.get_mut(&key) {
            None => {
                self.reports.insert(key.clone(), report);
                self.remove_oldest();
                self.reports.contains_key(&key)
            }
            Some(known) => {
                let requests = add_missing(&mut known.fingerprints, report.fingerprints);
                let cleared = add_missing(&mut known.cleared, report.cleared);
                let later = report.at_ms > known.at_ms;
                known.at_ms = known.at_ms.max(report.at_ms);
                requests || cleared || later
            }
        }
    }

    /// Sets the time of the reports that have none to `wall_ms`, in milliseconds since the Unix epoch.
    pub fn set_missing_times(&mut self, wall_ms: u64) {
        for report in self.reports.values_mut().filter(|report| report.at_ms == 0) {
            report.at_ms = wall_ms;
        }
    }

    /// Returns a hash of the set that does not depend on the order in which the reports arrived.
    pub fn state_hash(&self) -> u64 {
        let report = |report: &CrashReport| {
            let sorted = |fingerprints: &[Fingerprint]| {
                let mut sorted = fingerprints.to_vec();
                sorted.sort_unstable();
                sorted
            };
            let key = (&report.endpoint, report.incarnation, report.at_ms);
            stable_hash(&(key, sorted(&report.fingerprints), sorted(&report.cleared)))
        };
        self.reports.values().map(report).fold(0, u64::wrapping_add)
    }

    /// Returns the reports.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.reports.values()
    }

    fn remove_oldest(&mut self) {
        if self.reports.len() <= MAX_REPORTS {
            return;
        }
        // A report without a time is the newest.
        let age = |report: &CrashReport| if report.at_ms == 0 { u64::MAX } else { report.at_ms };
        let oldest = self.reports.iter().min_by_key(|(key, report)| (age(report), *key));
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.reports.swap_remove(&key);
        }
    }
}

impl CrashReport {
    /// Returns the requests that can have caused the crash.
    pub fn possible_causes(&self) -> impl Iterator<Item = Fingerprint> {
        self.fingerprints.iter().copied().filter(|fingerprint| !self.cleared.contains(fingerprint))
    }
}

fn add_missing(known: &mut Vec<Fingerprint>, more: Vec<Fingerprint>) -> bool {
    let before = known.len();
    for fingerprint in more {
        if !known.contains(&fingerprint) {
            known.push(fingerprint);
        }
    }
    known.len() > before
}
