use std::sync::Arc;

use carobwick_core::DrainTarget;
use carobwick_core::Standing;
use carobwick_core::Time;
use carobwick_core::WriteId;
use rand::Rng;

use super::fault::Episode;
use super::fault::Fault;
use super::setup;
use super::world::SECOND;
use super::world::STEP;
use super::world::World;

impl World {
    /// Starts and ends the faults that are due in this step.
    pub(super) fn apply_faults(&mut self) {
        let (now, end) = (self.now, self.now + STEP);
        let due = |at: u64| now <= at && at < end;
        let episodes = self.episodes.clone();
        for episode in episodes.iter().filter(|episode| due(episode.end)) {
            self.finish(*episode);
        }
        for episode in episodes.iter().filter(|episode| due(episode.start)) {
            self.report.faults += 1;
            self.note(format!("fault {:?}", episode.fault));
            self.begin(*episode);
        }
        if !self.holds(Fault::ListLag) {
            self.update_listing();
        }
    }

    fn begin(&mut self, episode: Episode) {
        let (now, length) = (self.now, episode.end - episode.start);
        match episode.fault {
            Fault::KillPlanner => {
                let index = self.rng.random_range(0..self.planners.len());
                self.planners[index].controller = Err(now + length);
            }
            Fault::ReplaceAll => {
                for index in 0..self.planners.len() {
                    let pause = self.rng.random_range(0..5 * SECOND);
                    self.planners[index].controller = Err(now + pause);
                }
            }
            Fault::FreezeLeader => {
                let leads = |planner: &super::planner::FakePlanner| {
                    let time = Time((now as f64 * planner.rate) as u64);
                    planner.controller.as_ref().is_ok_and(|c| c.standing(time) != Standing::Follower)
                };
                if let Some(planner) = self.planners.iter_mut().find(|planner| leads(planner)) {
                    planner.frozen_until = now + length;
                }
            }
            Fault::RestartEngine => {
                let index = self.rng.random_range(0..self.engines.len());
                let down = if self.rng.random_bool(0.5) { 0 } else { length };
                let incarnation = self.rng.random();
                self.crash(index, incarnation, down);
            }
            Fault::CutZone => {
                let zones = &self.record.manifest.zones;
                self.cut = Some(zones[self.rng.random_range(0..zones.len())].clone());
            }
            Fault::ChangeManifest => {
                self.record = Arc::new(setup::changed_manifest(&mut self.rng, &self.record));
                self.judge.disturbed = now;
                self.spread_config();
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
            | Fault::ListLag => {}
        }
    }

    fn finish(&mut self, episode: Episode) {
        match episode.fault {
            Fault::CutZone => self.cut = None,
            Fault::Drain => {
                let drained = self.engines.iter().position(|engine| engine.drained.is_some());
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
        self.engines[index].drained = drained.then_some(self.now);
        self.judge.disturbed = self.now;
        self.spread_drains();
    }
}
