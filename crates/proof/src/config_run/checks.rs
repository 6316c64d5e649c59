use std::time::Duration;

use carobwick_core::PublishOutcome;
use carobwick_core::Time;
use carobwick_core::Version;
use carobwick_core::WriteId;

use super::operators::Operation;
use super::process::PROCESSES_PER_ZONE;
use super::process::ZONES;
use super::simulation::Event;
use super::simulation::Simulation;

/// Time within which an accepted manifest must be in force on all reachable instances.
const APPLY_BOUND: Duration = Duration::from_secs(6);
/// Maximum number of recorded violations; a fault in a rule can violate an invariant in every step.
const MAX_VIOLATIONS: usize = 20;

/// Accepted publishes and the violations found.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    accepted: Vec<Accepted>,
    violations: Vec<String>,
}

/// A publish that was reported as accepted.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    version: Version,
    write_id: WriteId,
    process: usize,
    incarnation: u64,
    at: Time,
}

impl Checks {
    pub fn into_violations(self) -> Vec<String> {
        self.violations
    }
}

impl Simulation {
    /// Checks that an accepted publish is stored under a version of its own, and schedules the check that it
    /// is in force.
    pub fn check_accepted(&mut self, process: usize, write_id: WriteId, version: Version) {
        let same = self.checks.accepted.iter().find(|other| other.version == version);
        if let Some(other) = same {
            let text = format!(
                "publishes {} and {write_id} were both accepted as version {version}",
                other.write_id
            );
            self.record_violation(&text);
        }
        let stored = self.kv.history.iter().find(|record| record.version == version);
        if stored.is_none_or(|record| record.write_id != write_id) {
            self.record_violation(&format!(
                "publish {write_id} was accepted as version {version}, which is not stored"
            ));
        }
        let incarnation = self.processes[process].incarnation;
        self.checks.accepted.push(Accepted { version, write_id, process, incarnation, at: self.now });
        self.schedule(APPLY_BOUND, Event::CheckInForce(self.checks.accepted.len() - 1));
    }

    /// Checks that a publish is not stored if its outcome says so, and records it for the final check.
    pub fn check_not_accepted(&mut self, write_id: WriteId, outcome: &PublishOutcome) {
        let stored = self.kv.history.iter().any(|record| record.write_id == write_id);
        if stored && *outcome != PublishOutcome::Unknown {
            self.record_violation(&format!("publish {write_id} is stored, but its outcome was {outcome:?}"));
        }
        if *outcome != PublishOutcome::Unknown {
            self.rejected.push(write_id);
        }
    }

    /// Checks that the version of a process did not decrease and that its content is the published one.
    pub fn check_version(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let version = process.version();
        if version < process.highest_version {
            let text =
                format!("process {index} went from version {:?} to {version:?}", process.highest_version);
            process.highest_version = version;
            self.record_violation(&text);
            return;
        }
        process.highest_version = version;
        process.highest_ever = version.max(process.highest_ever);
        let Some(record) = process.state.config.clone() else {
            return;
        };
        let stored = self.kv.history.iter().find(|stored| stored.version == record.version);
        if stored.is_none_or(|stored| **stored != *record) {
            self.record_violation(&format!(
                "process {index} has version {} with content that was not published",
                record.version
            ));
        }
    }

    /// Checks that no view of a process was replaced by an older one.
    pub fn check_views(&mut self, index: usize) {
        let view_ranks = self.processes[index].state.digest().views;
        let before = std::mem::replace(&mut self.processes[index].view_ranks, view_ranks.clone());
        for (zone, rank) in &before {
            if view_ranks.get(zone) < Some(rank) {
                self.record_violation(&format!(
                    "process {index} replaced view {rank:?} of {zone} by an older one"
                ));
            }
        }
    }

    /// Checks that a process assumes a version to be in force at another only if it was.
    pub fn check_applied_versions(&mut self, index: usize) {
        let wrong = self.processes.iter().find(|other| {
            let believed = self.processes[index].state.applied.get(&other.instance).copied();
            believed > other.highest_ever
        });
        if let Some(wrong) = wrong.map(|wrong| wrong.index) {
            self.record_violation(&format!(
                "process {index} assumes a version to be in force at process {wrong} that never was"
            ));
        }
    }

    /// Checks that an accepted manifest is in force on all processes that it could reach.
    pub fn check_in_force(&mut self, accepted: usize) {
        let accepted = self.checks.accepted[accepted];
        for index in self.reachable(accepted.process, accepted.incarnation, accepted.at, true) {
            let version = self.processes[index].version();
            if version < Some(accepted.version) {
                let text = format!(
                    "version {} accepted at {} ms is not in force at process {index}, which has {version:?}",
                    accepted.version,
                    accepted.at.millis()
                );
                self.record_violation(&text);
            }
        }
    }

    /// Checks that a drain that was accepted 5 s ago is known to all processes that it could reach.
    pub fn check_drain(&mut self, operation: usize) {
        let Operation::Drain(drain) = &self.operations[operation] else {
            return;
        };
        let (target, mark, at) = (drain.target.clone(), drain.mark, drain.at);
        for index in self.reachable(drain.process, drain.incarnation, at, false) {
            let known = self.known_mark(index, &target);
            if known < Some(mark) {
                let text = format!("{target}: mark of {} ms is unknown at process {index}", at.millis());
                self.record_violation(&text);
            }
        }
    }

    /// Checks that all processes have converged to the same state and that nothing accepted is lost.
    pub fn check_end(&mut self) {
        let stored = self.kv.config().map(|record| (record.version, record.digest));
        for index in 0..self.processes.len() {
            let digest = self.processes[index].state.digest();
            if digest.config != stored {
                let text = format!(
                    "process {index} ends with {:?}, the key-value service has {stored:?}",
                    digest.config
                );
                self.record_violation(&text);
            }
            if digest.state_hash() != self.processes[0].state.digest().state_hash() {
                self.record_violation(&format!("processes 0 and {index} end with different states"));
            }
            if !self.kv.drains().covers(&self.processes[index].state.drains) {
                self.record_violation(&format!(
                    "process {index} has drains that the key-value service lacks"
                ));
            }
        }
        for accepted in self.checks.accepted.clone() {
            let latest = stored.map(|(version, _)| version);
            if latest < Some(accepted.version) {
                self.record_violation(&format!("accepted version {} is lost", accepted.version));
            }
        }
        for write_id in std::mem::take(&mut self.rejected) {
            if self.kv.history.iter().any(|record| record.write_id == write_id) {
                self.record_violation(&format!(
                    "publish {write_id} was reported as not accepted and took effect later"
                ));
            }
        }
        self.check_history();
        self.check_drains_kept();
    }

    /// Returns the processes that must have received something that a process accepted at `at`.
    ///
    /// It spreads from that incarnation of the process, unless it has ended, over zones that could exchange
    /// messages all the time since; if it is `stored`, it also spreads from the key-value service.
    fn reachable(&self, process: usize, incarnation: u64, at: Time, stored: bool) -> Vec<usize> {
        let kv_ok = stored && self.kv.down_until <= at && self.kv.slow_until <= at;
        let mut zones = [false; ZONES];
        zones[process / PROCESSES_PER_ZONE] = self.processes[process].incarnation == incarnation;
        for (zone, reached) in zones.iter_mut().enumerate() {
            let members = &self.processes[zone * PROCESSES_PER_ZONE..(zone + 1) * PROCESSES_PER_ZONE];
            let stable = members.iter().all(|member| member.up_since <= at);
            *reached |= kv_ok && stable && self.network.was_kv_reachable(zone, at);
        }
        for _ in 0..ZONES {
            for (one, other) in (0..ZONES).flat_map(|one| (0..ZONES).map(move |other| (one, other))) {
                let stable = self.is_zone_stable(one, at) && self.is_zone_stable(other, at);
                if zones[one] && stable && self.network.was_link_up(one, other, at) {
                    zones[other] = true;
                }
            }
        }
        let up = self.processes.iter().filter(|member| member.up_since <= at && zones[member.zone()]);
        up.map(|member| member.index).collect()
    }

    /// Returns whether all processes of a zone have been up since `at`.
    ///
    /// If one was replaced, it may have been the only one that had received something from another zone.
    fn is_zone_stable(&self, zone: usize, at: Time) -> bool {
        self.processes[zone * PROCESSES_PER_ZONE..(zone + 1) * PROCESSES_PER_ZONE]
            .iter()
            .all(|member| member.up_since <= at)
    }

    fn known_mark(
        &self,
        index: usize,
        target: &carobwick_core::DrainTarget,
    ) -> Option<carobwick_core::DrainMark> {
        let drains = &self.processes[index].state.drains;
        drains.marks().find(|(known, _)| *known == target).map(|(_, mark)| *mark)
    }

    /// Checks that versions are consecutive, each write took effect once, and only `retiring` models were
    /// removed.
    fn check_history(&mut self) {
        let history = self.kv.history.clone();
        for (index, record) in history.iter().enumerate() {
            if history[..index].iter().any(|other| other.write_id == record.write_id) {
                self.record_violation(&format!("write {} took effect twice", record.write_id));
            }
        }
        for pair in history.windows(2) {
            if pair[1].version != pair[0].version.next() {
                self.record_violation(&format!("version {} follows {}", pair[1].version, pair[0].version));
            }
            for (id, spec) in &pair[0].manifest.models {
                if !spec.retiring && !pair[1].manifest.models.contains_key(id) {
                    self.record_violation(&format!(
                        "version {} removed {id}, which was in use",
                        pair[1].version
                    ));
                }
            }
        }
    }

    fn check_drains_kept(&mut self) {
        for operation in 0..self.operations.len() {
            let Operation::Drain(drain) = &self.operations[operation] else {
                continue;
            };
            // The drain was lost with the process that accepted it; its reply had reported it as not durable.
            if !drain.durable && self.processes[drain.process].incarnation != drain.incarnation {
                continue;
            }
            let (target, mark) = (drain.target.clone(), drain.mark);
            for index in 0..self.processes.len() {
                if self.known_mark(index, &target) < Some(mark) {
                    self.record_violation(&format!("{target}: accepted mark is lost at process {index}"));
                }
            }
        }
    }

    fn record_violation(&mut self, text: &str) {
        if self.checks.violations.len() < MAX_VIOLATIONS {
            self.trace(format_args!("violation: {text}"));
            self.checks.violations.push(format!("{} ms: {text}", self.now.millis()));
        }
    }
}
