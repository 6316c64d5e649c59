use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::CrashReport;
use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;
use crate::SuspectSet;
use crate::Time;

/// Time for which a request whose connection broke is a suspect without a crash report.
const LOST: Duration = Duration::from_secs(30);
/// Crashes with no other possible cause after which a request is blamed; after one, the endpoint may have failed by
/// itself.
const ALONE: usize = 2;
/// Crashes after which a request is blamed although others on those endpoints have not finished since.
const REPEATED: usize = 3;
/// Times to settle for which a request with two crashes is held, so that the others can finish.
const HOLD: u32 = 5;

type Crash = (EndpointId, Incarnation);

/// Judges from crash reports which requests crash endpoints.
///
/// A request is convicted when it was in two crashes whose other requests have all finished since, or in three
/// unexplained crashes of which no other request was in more than one. A verdict waits until the reports of other
/// entries have arrived, because a report that lacks the real cause would convict a harmless request.
#[derive(Debug)]
pub(crate) struct Quarantine {
    settle: Duration,
    set: SuspectSet,
    seen: IndexMap<Crash, Time>,
    lost: IndexMap<Fingerprint, Time>,
    suspects: IndexMap<Fingerprint, Suspicion>,
    convicted: IndexSet<Fingerprint>,
    changed: IndexSet<Crash>,
    stale: bool,
    review: Option<Time>,
}

/// What an entry may do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Run it anywhere.
    Clear,
    /// Run it on an endpoint without another suspect; the number counts its crashes.
    Suspect(usize),
    /// Keep it until the other requests of its crashes have finished or been blamed, at most until the given time.
    Held(Time),
    /// Refuse it.
    Convicted,
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    crashes: usize,
    last: Time,
}

impl Quarantine {
    pub fn new(settle: Duration) -> Self {
        Self {
            settle,
            set: SuspectSet::default(),
            seen: IndexMap::new(),
            lost: IndexMap::new(),
            suspects: IndexMap::new(),
            convicted: IndexSet::new(),
            changed: IndexSet::new(),
            stale: false,
            review: None,
        }
    }

    /// Takes over the reports of other entries; they count from the next call with a time on.
    pub fn learn(&mut self, set: &SuspectSet) {
        for report in set.reports() {
            self.stale |= self.set.add(report.clone());
        }
    }

    /// Adds a crash that this entry saw.
    pub fn add(&mut self, report: CrashReport, now: Time) {
        self.changed.insert((report.endpoint.clone(), report.incarnation));
        self.stale |= self.set.add(report);
        self.refresh(now);
    }

    /// Notes a request whose connection broke; the crash report may come later.
    pub fn lose(&mut self, fingerprint: Fingerprint, now: Time) {
        self.lost.insert(fingerprint, now);
    }

    /// Notes a request that finished, which proves that it does not crash endpoints.
    pub fn finish(&mut self, fingerprint: Fingerprint, now: Time) {
        self.lost.swap_remove(&fingerprint);
        if !self.suspects.contains_key(&fingerprint) {
            return;
        }
        let open = |report: &&CrashReport| report.candidates().any(|candidate| candidate == fingerprint);
        let reports: Vec<CrashReport> = self.set.reports().filter(open).cloned().collect();
        for mut report in reports {
            report.cleared = vec![fingerprint];
            self.add(report, now);
        }
    }

    /// Returns the reports that this entry changed since the last call.
    pub fn take_changed(&mut self) -> Vec<CrashReport> {
        let changed = std::mem::take(&mut self.changed);
        let is_changed =
            |report: &&CrashReport| changed.contains(&(report.endpoint.clone(), report.incarnation));
        self.set.reports().filter(is_changed).cloned().collect()
    }

    pub fn standing(&self, fingerprint: Fingerprint, now: Time) -> Standing {
        if self.convicted.contains(&fingerprint) {
            return Standing::Convicted;
        }
        let Some(suspicion) = self.suspects.get(&fingerprint) else {
            let lost = self.lost.get(&fingerprint).is_some_and(|at| now < *at + LOST);
            return if lost { Standing::Suspect(0) } else { Standing::Clear };
        };
        let until = suspicion.last + self.settle * HOLD;
        if suspicion.crashes > 1 && now < until {
            return Standing::Held(until);
        }
        Standing::Suspect(suspicion.crashes)
    }

    /// Judges again if a report has come or settled since the last time.
    pub fn refresh(&mut self, now: Time) {
        if !self.stale && self.review.is_none_or(|at| now < at) {
            return;
        }
        self.stale = false;
        self.lost.retain(|_, at| now < *at + LOST);
        for report in self.set.reports() {
            self.seen.entry((report.endpoint.clone(), report.incarnation)).or_insert(now);
        }
        let settle = self.settle;
        self.review = self.seen.values().map(|at| *at + settle).filter(|at| *at > now).min();
        self.judge(now);
    }

    fn judge(&mut self, now: Time) {
        self.convicted.clear();
        loop {
            let open = self.unexplained();
            let settled: Vec<&CrashReport> =
                open.iter().copied().filter(|report| now >= self.seen_at(report) + self.settle).collect();
            let Some(guilty) = only_candidate(&settled).or_else(|| repeated_candidate(&settled)) else {
                break;
            };
            self.convicted.insert(guilty);
        }
        let mut suspects: IndexMap<Fingerprint, Suspicion> = IndexMap::new();
        for report in self.unexplained() {
            let at = self.seen_at(report);
            for fingerprint in report.candidates() {
                let known = suspects.entry(fingerprint).or_insert(Suspicion { crashes: 0, last: at });
                known.crashes += 1;
                known.last = known.last.max(at);
            }
        }
        self.suspects = suspects;
    }

    fn unexplained(&self) -> Vec<&CrashReport> {
        let is_open = |report: &&CrashReport| {
            !report.fingerprints.iter().any(|fingerprint| self.convicted.contains(fingerprint))
        };
        self.set.reports().filter(is_open).collect()
    }

    fn seen_at(&self, report: &CrashReport) -> Time {
        self.seen.get(&(report.endpoint.clone(), report.incarnation)).copied().unwrap_or_default()
    }
}

/// Finds a request that is the only candidate of two of the reports.
fn only_candidate(reports: &[&CrashReport]) -> Option<Fingerprint> {
    let mut alone: IndexMap<Fingerprint, usize> = IndexMap::new();
    for report in reports {
        let mut candidates = report.candidates();
        if let (Some(only), None) = (candidates.next(), candidates.next()) {
            *alone.entry(only).or_default() += 1;
        }
    }
    alone.into_iter().find(|(_, crashes)| *crashes >= ALONE).map(|(fingerprint, _)| fingerprint)
}

/// Finds a request that is in three of the reports, such that each other candidate is in at most one of those.
fn repeated_candidate(reports: &[&CrashReport]) -> Option<Fingerprint> {
    let mut crashes: IndexMap<Fingerprint, Vec<usize>> = IndexMap::new();
    for (index, report) in reports.iter().enumerate() {
        for fingerprint in report.candidates() {
            crashes.entry(fingerprint).or_default().push(index);
        }
    }
    let is_alone = |fingerprint: &Fingerprint, own: &[usize]| {
        crashes
            .iter()
            .filter(|(other, _)| *other != fingerprint)
            .all(|(_, others)| others.iter().filter(|index| own.contains(index)).count() <= 1)
    };
    let found = crashes.iter().find(|(fingerprint, own)| own.len() >= REPEATED && is_alone(fingerprint, own));
    found.map(|(fingerprint, _)| *fingerprint)
}
