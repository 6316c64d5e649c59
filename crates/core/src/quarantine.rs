use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::CrashReport;
use crate::CrashReportSet;
use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;
use crate::Time;

/// Time after its hold for which a request whose connection broke is a suspect without a crash report.
const LOST: Duration = Duration::from_secs(30);
/// Times to settle for which a request with two crashes is held, so that the others can finish; it doubles with each
/// further crash.
const HOLD: u32 = 4;
const MAX_DOUBLINGS: u32 = 6;
/// Unexplained crashes that are compared, the latest ones.
const COMPARED: usize = 64;

type Crash = (EndpointId, Incarnation);

/// Judges from crash reports which requests crash endpoints.
///
/// A request is convicted when two others can't be the causes of its crashes, even if one of the crashes had a cause
/// outside of the requests. Others that have finished since are no causes. A verdict waits until the reports of other
/// entries have arrived, because a report that lacks the real cause would convict a harmless request.
#[derive(Debug)]
pub(crate) struct Quarantine {
    settle: Duration,
    set: CrashReportSet,
    seen: IndexMap<Crash, Time>,
    /// Broken connections of this entry's requests.
    lost: IndexMap<Fingerprint, Suspicion>,
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
    /// Run it on an endpoint without another suspect.
    Suspect,
    /// Keep it until the other requests of its crashes have finished or been blamed, at most until the given time.
    Held(Time),
    /// Refuse it.
    Convicted,
}

#[derive(Debug, Clone, Copy, Default)]
struct Suspicion {
    crashes: u32,
    last: Time,
}

impl Quarantine {
    pub fn new(settle: Duration) -> Self {
        Self {
            settle,
            set: CrashReportSet::default(),
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
    pub fn learn(&mut self, set: &CrashReportSet) {
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
        let settle = self.settle;
        self.lost.retain(|_, lost| now < lost.last + hold(settle, lost.crashes) + LOST);
        let lost = self.lost.entry(fingerprint).or_default();
        lost.crashes += 1;
        lost.last = now;
    }

    /// Notes a request that finished, which proves that it does not crash endpoints.
    pub fn finish(&mut self, fingerprint: Fingerprint, now: Time) {
        self.lost.swap_remove(&fingerprint);
        if !self.suspects.contains_key(&fingerprint) {
            return;
        }
        let open = |report: &&CrashReport| report.possible_causes().any(|candidate| candidate == fingerprint);
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
        // A loss and the report of its crash count once.
        let reported = self.suspects.get(&fingerprint).copied().unwrap_or_default();
        let lost = self.lost.get(&fingerprint).copied().unwrap_or_default();
        let crashes = reported.crashes.max(lost.crashes);
        let until = reported.last.max(lost.last) + hold(self.settle, crashes);
        match crashes {
            0 => Standing::Clear,
            2.. if now < until => Standing::Held(until),
            _ => Standing::Suspect,
        }
    }

    /// Judges again if a report has come or settled since the last time.
    pub fn refresh(&mut self, now: Time) {
        if !self.stale && self.review.is_none_or(|at| now < at) {
            return;
        }
        self.stale = false;
        let settle = self.settle;
        for report in self.set.reports() {
            self.seen.entry((report.endpoint.clone(), report.incarnation)).or_insert(now);
        }
        let known: IndexSet<Crash> =
            self.set.reports().map(|report| (report.endpoint.clone(), report.incarnation)).collect();
        self.seen.retain(|crash, _| known.contains(crash));
        self.review = self.seen.values().map(|at| *at + settle).filter(|at| *at > now).min();
        self.judge(now);
    }

    fn judge(&mut self, now: Time) {
        self.convicted.clear();
        loop {
            let open = self.unexplained();
            let settled: Vec<&CrashReport> =
                open.iter().copied().filter(|report| now >= self.seen_at(report) + self.settle).collect();
            let Some(guilty) = find_guilty(&settled) else { break };
            self.convicted.insert(guilty);
        }
        let mut suspects: IndexMap<Fingerprint, Suspicion> = IndexMap::new();
        for report in self.unexplained() {
            let at = self.seen_at(report);
            for fingerprint in report.possible_causes() {
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

/// Returns the time for which a request is kept after its latest crash.
fn hold(settle: Duration, crashes: u32) -> Duration {
    settle * (HOLD << crashes.saturating_sub(2).min(MAX_DOUBLINGS))
}

/// Finds a request whose crashes can't be explained by two others and one cause outside of the requests.
fn find_guilty(reports: &[&CrashReport]) -> Option<Fingerprint> {
    let mut crashes: IndexMap<Fingerprint, u64> = IndexMap::new();
    for (index, report) in reports.iter().rev().take(COMPARED).enumerate() {
        for fingerprint in report.possible_causes() {
            *crashes.entry(fingerprint).or_default() |= 1 << index;
        }
    }
    let is_guilty = |fingerprint: Fingerprint, own: u64| {
        let others: Vec<u64> =
            crashes.iter().filter(|(other, _)| **other != fingerprint).map(|(_, set)| set & own).collect();
        own.count_ones() > 1 && bits(own).all(|outside| !is_covered(own & !outside, &others, 2))
    };
    crashes
        .iter()
        .find(|(fingerprint, own)| is_guilty(**fingerprint, **own))
        .map(|(fingerprint, _)| *fingerprint)
}

/// Returns whether `count` of the sets contain all crashes of `rest` between them.
fn is_covered(rest: u64, sets: &[u64], count: u32) -> bool {
    let Some(first) = bits(rest).next() else { return true };
    count > 0
        && sets.iter().filter(|set| **set & first != 0).any(|set| is_covered(rest & !set, sets, count - 1))
}

fn bits(set: u64) -> impl Iterator<Item = u64> {
    (0..u64::BITS).map(|bit| 1 << bit).filter(move |bit| set & bit != 0)
}
