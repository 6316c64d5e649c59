use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::CrashReport;
use crate::CrashReportSet;
use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;
use crate::Time;

/// Time after its hold for which a request whose connection broke remains a suspect without a crash report.
const LOST_RETENTION: Duration = Duration::from_secs(30);
/// Hold time of a request with two crashes, in report delays: time for the other requests of its crashes to
/// finish. It doubles with each further crash.
const HOLD_FACTOR: u32 = 4;
/// Largest number of doublings of the hold time.
const MAX_DOUBLINGS: u32 = 6;
/// Number of unexplained crashes that are compared, counted from the latest one.
const MAX_COMPARED: usize = 64;

type Crash = (EndpointId, Incarnation);

/// Detects from crash reports which requests crash endpoints.
///
/// A request is convicted when no two other requests can explain its crashes, even if one of the crashes had
/// a cause other than a request. Requests that have finished since a crash can't have caused it. A report is
/// only used for a conviction once the reports of other entries have had time to arrive, because a report
/// that lacks the actual cause would convict a harmless request.
#[derive(Debug)]
pub(crate) struct Quarantine {
    report_delay: Duration,
    reports: CrashReportSet,
    /// Time at which each crash was first reported to this entry.
    first_seen: IndexMap<Crash, Time>,
    /// Requests of this entry whose connection broke.
    lost: IndexMap<Fingerprint, CrashCount>,
    suspects: IndexMap<Fingerprint, CrashCount>,
    convicted: IndexSet<Fingerprint>,
    /// Reports changed by this entry that were not taken yet.
    changed: IndexSet<Crash>,
    /// Whether a report was added since the last evaluation.
    stale: bool,
    /// Time at which the next report has waited for the report delay.
    next_evaluation: Option<Time>,
}

/// State of a request in quarantine, which decides where it may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SuspectState {
    /// It may be sent to any endpoint.
    Clear,
    /// It may be sent to an endpoint without another suspect.
    Suspect,
    /// It waits until the other requests of its crashes have finished or been convicted, at most until the
    /// given time.
    Held(Time),
    /// It is refused.
    Convicted,
}

#[derive(Debug, Clone, Copy, Default)]
struct CrashCount {
    crashes: u32,
    last: Time,
}

impl Quarantine {
    pub fn new(report_delay: Duration) -> Self {
        Self {
            report_delay,
            reports: CrashReportSet::default(),
            first_seen: IndexMap::new(),
            lost: IndexMap::new(),
            suspects: IndexMap::new(),
            convicted: IndexSet::new(),
            changed: IndexSet::new(),
            stale: false,
            next_evaluation: None,
        }
    }

    /// Merges the reports of other entries; they take effect at the next call of [`Self::refresh`].
    pub fn merge(&mut self, reports: &CrashReportSet) {
        for report in reports.reports() {
            self.stale |= self.reports.add(report.clone());
        }
    }

    /// Adds the report of a crash that this entry detected.
    pub fn add(&mut self, report: CrashReport, now: Time) {
        self.changed.insert((report.endpoint.clone(), report.incarnation));
        self.stale |= self.reports.add(report);
        self.refresh(now);
    }

    /// Records that the connection of a request broke; the report of the crash may follow.
    pub fn record_lost(&mut self, fingerprint: Fingerprint, now: Time) {
        let report_delay = self.report_delay;
        self.lost.retain(|_, lost| now < lost.last + hold_time(report_delay, lost.crashes) + LOST_RETENTION);
        let lost = self.lost.entry(fingerprint).or_default();
        lost.crashes += 1;
        lost.last = now;
    }

    /// Records that a request finished, and clears it in all reports, since it does not crash endpoints.
    pub fn record_finished(&mut self, fingerprint: Fingerprint, now: Time) {
        self.lost.swap_remove(&fingerprint);
        if !self.suspects.contains_key(&fingerprint) {
            return;
        }
        let open = |report: &&CrashReport| report.possible_causes().any(|candidate| candidate == fingerprint);
        let reports: Vec<CrashReport> = self.reports.reports().filter(open).cloned().collect();
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
        self.reports.reports().filter(is_changed).cloned().collect()
    }

    pub fn state(&self, fingerprint: Fingerprint, now: Time) -> SuspectState {
        if self.convicted.contains(&fingerprint) {
            return SuspectState::Convicted;
        }
        // A broken connection and the report of the crash that broke it count once.
        let reported = self.suspects.get(&fingerprint).copied().unwrap_or_default();
        let lost = self.lost.get(&fingerprint).copied().unwrap_or_default();
        let crashes = reported.crashes.max(lost.crashes);
        let until = reported.last.max(lost.last) + hold_time(self.report_delay, crashes);
        match crashes {
            0 => SuspectState::Clear,
            2.. if now < until => SuspectState::Held(until),
            _ => SuspectState::Suspect,
        }
    }

    /// Evaluates the reports again if one was added, or has waited for the report delay, since the last
    /// evaluation.
    pub fn refresh(&mut self, now: Time) {
        if !self.stale && self.next_evaluation.is_none_or(|at| now < at) {
            return;
        }
        self.stale = false;
        let report_delay = self.report_delay;
        for report in self.reports.reports() {
            self.first_seen.entry((report.endpoint.clone(), report.incarnation)).or_insert(now);
        }
        let known: IndexSet<Crash> =
            self.reports.reports().map(|report| (report.endpoint.clone(), report.incarnation)).collect();
        self.first_seen.retain(|crash, _| known.contains(crash));
        self.next_evaluation =
            self.first_seen.values().map(|at| *at + report_delay).filter(|at| *at > now).min();
        self.evaluate(now);
    }

    fn evaluate(&mut self, now: Time) {
        self.convicted.clear();
        loop {
            let open = self.unexplained();
            let settled: Vec<&CrashReport> = open
                .iter()
                .copied()
                .filter(|report| now >= self.seen_at(report) + self.report_delay)
                .collect();
            let Some(convicted) = find_convicted(&settled) else { break };
            self.convicted.insert(convicted);
        }
        let mut suspects: IndexMap<Fingerprint, CrashCount> = IndexMap::new();
        for report in self.unexplained() {
            let at = self.seen_at(report);
            for fingerprint in report.possible_causes() {
                let known = suspects.entry(fingerprint).or_insert(CrashCount { crashes: 0, last: at });
                known.crashes += 1;
                known.last = known.last.max(at);
            }
        }
        self.suspects = suspects;
    }

    /// Returns the reports without a convicted request.
    fn unexplained(&self) -> Vec<&CrashReport> {
        let is_open = |report: &&CrashReport| {
            !report.fingerprints.iter().any(|fingerprint| self.convicted.contains(fingerprint))
        };
        self.reports.reports().filter(is_open).collect()
    }

    fn seen_at(&self, report: &CrashReport) -> Time {
        self.first_seen.get(&(report.endpoint.clone(), report.incarnation)).copied().unwrap_or_default()
    }
}

/// Returns the time for which a request is held after its latest crash.
fn hold_time(report_delay: Duration, crashes: u32) -> Duration {
    report_delay * (HOLD_FACTOR << crashes.saturating_sub(2).min(MAX_DOUBLINGS))
}

/// Returns a request whose crashes can't be explained by two other requests and one cause other than a
/// request.
fn find_convicted(reports: &[&CrashReport]) -> Option<Fingerprint> {
    let mut crashes: IndexMap<Fingerprint, u64> = IndexMap::new();
    for (index, report) in reports.iter().rev().take(MAX_COMPARED).enumerate() {
        for fingerprint in report.possible_causes() {
            *crashes.entry(fingerprint).or_default() |= 1 << index;
        }
    }
    let is_convicted = |fingerprint: Fingerprint, own: u64| {
        let others: Vec<u64> =
            crashes.iter().filter(|(other, _)| **other != fingerprint).map(|(_, set)| set & own).collect();
        own.count_ones() > 1 && bits(own).all(|outside| !is_covered(own & !outside, &others, 2))
    };
    crashes
        .iter()
        .find(|(fingerprint, own)| is_convicted(**fingerprint, **own))
        .map(|(fingerprint, _)| *fingerprint)
}

/// Returns whether the union of some `count` of the sets contains all crashes of `rest`.
fn is_covered(rest: u64, sets: &[u64], count: u32) -> bool {
    let Some(first) = bits(rest).next() else { return true };
    count > 0
        && sets.iter().filter(|set| **set & first != 0).any(|set| is_covered(rest & !set, sets, count - 1))
}

/// Returns each crash of a set, as a set of its own.
fn bits(set: u64) -> impl Iterator<Item = u64> {
    (0..u64::BITS).map(|bit| 1 << bit).filter(move |bit| set & bit != 0)
}
