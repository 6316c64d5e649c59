use carobwick_derive::data;
use indexmap::IndexMap;

use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;

/// Crash reports seen so far, by endpoint and incarnation.
///
/// Sets only grow and are merged by union, so that all entries come to the same set in any order of arrival.
#[data]
#[derive(Default)]
pub struct SuspectSet {
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
}

impl SuspectSet {
    /// Adds a report, or what it adds to a known one, and returns whether anything changed.
    pub fn add(&mut self, report: CrashReport) -> bool {
        let key = (report.endpoint.clone(), report.incarnation);
        match self.reports.get_mut(&key) {
            None => {
                self.reports.insert(key, report);
                true
            }
            Some(known) => {
                let requests = extend(&mut known.fingerprints, report.fingerprints);
                extend(&mut known.cleared, report.cleared) || requests
            }
        }
    }

    /// Returns the reports.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.reports.values()
    }
}

impl CrashReport {
    /// Returns the requests that can be the cause.
    pub fn candidates(&self) -> impl Iterator<Item = Fingerprint> {
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
