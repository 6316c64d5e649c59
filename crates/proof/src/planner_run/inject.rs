use std::sync::Arc;

use carobwick_core::Command;
use carobwick_core::DrainTarget;
use carobwick_core::PlanStep;
use carobwick_core::WriteId;
use rand::Rng;

use super::fault::Fault;
use super::fault::FaultInterval;
use super::setup;
use super::simulation::SECOND;
use super::simulation::STEP;
use super::simulation::Simulation;
use super::simulation::Trigger;

impl Simulation {
    /// Starts and ends the faults that are due in this step, and updates the instance list unless it lags.
    pub(super) fn apply_faults(&mut self) {
        let (now, end) = (self.now, self.now + STEP);
        let due = |at: u64| now <= at && at < end;
        let intervals = self.intervals.clone();
        for interval in intervals.iter().filter(|interval| due(interval.end)) {
            self.end_fault(*interval);
        }
        for interval in intervals.iter().filter(|interval| due(interval.start)) {
            self.report.faults += 1;
            self.trace(format!("fault {:?}", interval.fault));
            self.start_fault(*interval);
        }
        if !self.is_active(Fault::ListLag) {
            self.update_listing();
        }
    }

    /// Fires the armed fault, with a probability of a half, if the command writes a plan or sends an order.
    ///
    /// The command of a leader that is killed is still carried out.
    pub(super) fn fire_trigger(&mut self, index: usize, command: &Command) {
        let write = matches!(command, Command::Plan(_, PlanStep::Write { .. }));
        let send = matches!(command, Command::Send { .. });
        let Some(trigger) = self.trigger.filter(|_| (write || send) && self.rng.random_bool(0.5)) else {
            return;
        };
        match (trigger, command) {
            (Trigger::Kill(until), _) => self.planners[index].controller = Err(until),
            (Trigger::Freeze(until), _) => self.planners[index].frozen_until = until,
            (Trigger::Resign(until), _) => self.planners[index].resigned_until = until,
            (Trigger::Restart(down), Command::Send { endpoint, .. }) => {
                let Some(engine) = self.engines.iter().position(|engine| engine.id == *endpoint) else {
                    return;
                };
                let incarnation = self.rng.random();
                self.crash(engine, incarnation, down);
            }
            (Trigger::Restart(_), _) => return,
        }
        self.trace(format!("triggered at {}: {trigger:?}", self.planners[index].id));
        self.trigger = None;
    }

    fn start_fault(&mut self, interval: FaultInterval) {
        let (now, length) = (self.now, interval.end - interval.start);
        match interval.fault {
            Fault::KillPlanner => {
                self.trigger = Some(Trigger::Kill(now + length));
            }
            Fault::ReplaceAll => {
                for index in 0..self.planners.len() {
                    let pause = self.rng.random_range(0..5 * SECOND);
                    self.planners[index].controller = Err(now + pause);
                }
            }
            Fault::FreezeLeader => {
                self.trigger = Some(Trigger::Freeze(now + length));
            }
            Fault::Resign => self.trigger = Some(Trigger::Resign(now + length)),
            Fault::RestartEngine => {
                let index = self.rng.random_range(0..self.engines.len());
                let down = if self.rng.random_bool(0.5) { 0 } else { length };
                if self.rng.random_bool(0.5) {
                    self.trigger = Some(Trigger::Restart(down));
                    return;
                }
                let incarnation = self.rng.random();
                self.crash(index, incarnation, down);
            }
            Fault::CutZone => {
                let zones = &self.record.manifest.zones;
                self.cut_zone = Some(zones[self.rng.random_range(0..zones.len())].clone());
            }
            Fault::ChangeManifest => {
                self.record = Arc::new(setup::changed_manifest(&mut self.rng, &self.record));
                self.checks.last_change = now;
                self.broadcast_config();
            }
            Fault::Drain => {
                let index = self.rng.random_range(0..self.engines.len());
                self.drain(index, true);
            }
            Fault::LoseOrders
            | Fault::DelayOrders
            | Fault::RepeatOrders
            | Fault::KvDown
            | Fault::KvSlow
            | Fault::KvLoseReplies
            | Fault::ConfigLag
            | Fault::ListLag
            | Fault::LosePolls => {}
        }
    }

    fn end_fault(&mut self, interval: FaultInterval) {
        match interval.fault {
            Fault::CutZone => self.cut_zone = None,
            Fault::Drain => {
                let drained = self.engines.iter().position(|engine| engine.drained_since.is_some());
                if let Some(index) = drained {
                    self.drain(index, false);
                }
            }
            _ => {}
        }
    }

    fn drain(&mut self, index: usize, drained: bool) {
        let target = DrainTarget::Endpoint(self.engines[index].id.clone());
        let writer = WriteId(self.rng.random());
        self.drains.set(target, drained, writer);
        self.engines[index].drained_since = drained.then_some(self.now);
        self.checks.last_change = self.now;
        self.broadcast_drains();
    }
}
