use carobwick_derive::data;
use indexmap::IndexMap;

use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;

/// Crash reports seen so far, by endpoint and incarnation.
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
}

impl SuspectSet {
    /// Adds a report, or its requests to a known one, and returns whether anything changed.
    pub fn add(&mut self, report: CrashReport) -> bool {
        let key = (report.endpoint.clone(), report.incarnation);
        match self.reports.get_mut(&key) {
            None => {
                self.reports.insert(key, report);
                true
            }
            Some(known) => {
                let before = known.fingerprints.len();
                let new = report.fingerprints.into_iter().filter(|f| !known.fingerprints.contains(f));
                let new: Vec<_> = new.collect();
                known.fingerprints.extend(new);
                known.fingerprints.len() > before
            }
        }
    }

    /// Returns the reports.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.reports.values()
    }
}
