use carobwick_derive::data;
use indexmap::IndexMap;

use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;
use crate::digest::hash;

/// Reports that are kept; with about 9 failures a day at the target scale they reach back several weeks.
const MAX_REPORTS: usize = 256;

/// Crash reports, by endpoint and incarnation.
///
/// Sets are merged by union, and the latest reports of the union are kept, so that all processes come to the same set
/// in any order of arrival.
#[data]
#[derive(Default)]
pub struct CrashReportSet {
    reports: IndexMap<(EndpointId, Incarnation), CrashReport>,
}

/// What was in flight on an endpoint when it crashed.
#[data]
pub struct CrashReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of its process that crashed.
    pub incarnation: Incarnation,
    /// Requests in flight, as far as known.
    pub fingerprints: Vec<Fingerprint>,
    /// Those of them that have finished elsewhere since, so that they can't be the cause.
    #[serde(default)]
    pub cleared: Vec<Fingerprint>,
    /// Wall-clock time of the report, in milliseconds since the Unix epoch; 0 until the process layer sets it.
    #[serde(default)]
    pub at_ms: u64,
}

impl CrashReportSet {
    /// Adds a report, or what it adds to a known one, and returns whether anything changed.
    pub fn add(&mut self, report: CrashReport) -> bool {
        let key = (report.endpoint.clone(), report.incarnation);
        match self.reports.get_mut(&key) {
            None => {
                self.reports.insert(key.clone(), report);
                self.drop_oldest();
                self.reports.contains_key(&key)
            }
            Some(known) => {
                let requests = extend(&mut known.fingerprints, report.fingerprints);
                let cleared = extend(&mut known.cleared, report.cleared);
                let later = report.at_ms > known.at_ms;
                known.at_ms = known.at_ms.max(report.at_ms);
                requests || cleared || later
            }
        }
    }

    /// Gives the reports that have none the time `wall_ms`, in milliseconds since the Unix epoch.
    pub fn set_missing_times(&mut self, wall_ms: u64) {
        for report in self.reports.values_mut().filter(|report| report.at_ms == 0) {
            report.at_ms = wall_ms;
        }
    }

    /// Returns a hash that does not depend on the order in which the reports were learned.
    pub fn summary(&self) -> u64 {
        let report = |report: &CrashReport| {
            let sorted = |fingerprints: &[Fingerprint]| {
                let mut sorted = fingerprints.to_vec();
                sorted.sort_unstable();
                sorted
            };
            let key = (&report.endpoint, report.incarnation, report.at_ms);
            hash(&(key, sorted(&report.fingerprints), sorted(&report.cleared)))
        };
        self.reports.values().map(report).fold(0, u64::wrapping_add)
    }

    /// Returns the reports.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.reports.values()
    }

    fn drop_oldest(&mut self) {
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
    /// Returns the requests that can be the cause.
    pub fn possible_causes(&self) -> impl Iterator<Item = Fingerprint> {
        self.fingerprints.iter().copied().filter(|fingerprint| !self.cleared.contains(fingerprint))
    }
}

fn extend(known: &mut Vec<Fingerprint>, more: Vec<Fingerprint>) -> bool {
    let before = known.len();
    for fingerprint in more {
        if !known.contains(&fingerprint) {
            known.push(fingerprint);
        }
    }
    known.len() > before
}
