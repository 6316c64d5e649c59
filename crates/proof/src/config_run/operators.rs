use std::time::Duration;

use carobwick_core::Bytes;
use carobwick_core::ConfigRecord;
use carobwick_core::Delta;
use carobwick_core::DrainEvent;
use carobwick_core::DrainMark;
use carobwick_core::DrainStep;
use carobwick_core::DrainStore;
use carobwick_core::DrainTarget;
use carobwick_core::Manifest;
use carobwick_core::ModelId;
use carobwick_core::Publish;
use carobwick_core::PublishEvent;
use carobwick_core::PublishOutcome;
use carobwick_core::PublishStep;
use carobwick_core::Time;
use carobwick_core::WriteId;
use rand::Rng;
use rand::seq::IteratorRandom;
use serde_json::json;

use super::kv::Call;
use super::kv::Reply;
use super::process::ENDPOINTS_PER_ZONE;
use super::process::ZONES;
use super::process::endpoint;
use super::process::instance;
use super::process::parse;
use super::process::zone;
use super::simulation::Event;
use super::simulation::Owner;
use super::simulation::Simulation;
use super::simulation::drain_event;

/// Something that a planner carries out with calls to the key-value service.
#[derive(Debug)]
pub(crate) enum Operation {
    /// An operator's publish or rollback.
    Publish { process: usize, incarnation: u64, publish: Box<Publish> },
    /// An operator's drain, which is already accepted.
    Drain(DrainOperation),
    /// A watcher of the configuration stores drains that the key-value service lacks.
    Store { process: usize, store: DrainStore },
}

/// A drain that a planner accepted.
#[derive(Debug)]
pub(crate) struct DrainOperation {
    pub process: usize,
    pub incarnation: u64,
    pub target: DrainTarget,
    pub mark: DrainMark,
    pub at: Time,
    pub store: DrainStore,
    pub durable: bool,
}

impl Simulation {
    /// Lets one or several operators act at the same time, and schedules the next ones.
    pub fn run_operators(&mut self) {
        if self.healed {
            return;
        }
        let operator_count = if self.rng.random_bool(0.3) { self.rng.random_range(2..4) } else { 1 };
        let drains = self.rng.random_bool(0.4);
        let target = self.random_target();
        for _ in 0..operator_count {
            let process = self.rng.random_range(0..self.processes.len());
            if drains {
                let drained = self.rng.random_bool(0.6);
                self.drain(process, target.clone(), drained);
            } else {
                self.publish(process);
            }
        }
        let pause = Duration::from_millis(self.rng.random_range(100..2_000));
        self.schedule(pause, Event::Operators);
    }

    /// Continues a publish after a pause.
    pub fn resume_publish(&mut self, operation: usize) {
        if let Operation::Publish { process, incarnation, .. } = &self.operations[operation]
            && self.processes[*process].incarnation == *incarnation
        {
            self.advance_publish(operation, PublishEvent::Resumed);
        }
    }

    /// Passes the reply to a call to the operation that waits for it.
    pub fn continue_operation(&mut self, operation: usize, reply: Reply) {
        match &self.operations[operation] {
            Operation::Publish { .. } => {
                let event = match reply {
                    Reply::Config(stored) => PublishEvent::Read(stored),
                    Reply::Written => PublishEvent::Written,
                    Reply::Refused => PublishEvent::Refused,
                    Reply::Lost => PublishEvent::Lost,
                    _ => PublishEvent::Failed,
                };
                self.advance_publish(operation, event);
            }
            Operation::Drain(_) => self.continue_drain(operation, reply),
            Operation::Store { .. } => {}
        }
    }

    fn publish(&mut self, process: usize) {
        let own = self.processes[process].state.config.clone();
        let write_id = WriteId(self.rng.random());
        let publish = match own {
            None => Publish::manifest(first_manifest(), write_id, None),
            Some(record) if self.rng.random_bool(0.1) => self.rollback(&record, write_id),
            Some(record) => {
                let expect = self.rng.random_bool(0.3).then_some(record.version);
                Publish::manifest(self.random_change(&record.manifest), write_id, expect)
            }
        };
        let incarnation = self.processes[process].incarnation;
        self.trace(format_args!("process {process} publishes {write_id}"));
        self.operations.push(Operation::Publish { process, incarnation, publish: Box::new(publish) });
        self.perform(self.operations.len() - 1, PublishStep::Read);
    }

    fn rollback(&mut self, own: &ConfigRecord, write_id: WriteId) -> Publish {
        let older = self.kv.history.iter().choose(&mut self.rng);
        Publish::rollback(
            older.map_or_else(|| own.manifest.clone(), |older| older.manifest.clone()),
            write_id,
        )
    }

    /// Returns the manifest with one change; some changes must be refused.
    fn random_change(&mut self, manifest: &Manifest) -> Manifest {
        let mut manifest = manifest.clone();
        let chosen: Option<ModelId> = manifest.models.keys().choose(&mut self.rng).cloned();
        let name: ModelId = parse(&format!("m{}", self.rng.random_range(0..60)));
        let size = Bytes(self.rng.random_range(5..25));
        let kind = self.rng.random_range(0..6);
        match (kind, chosen) {
            (0, Some(chosen)) => manifest.models[&chosen].retiring = true,
            (1, Some(chosen)) => {
                // Refused unless the model is retiring.
                manifest.models.shift_remove(&chosen);
            }
            (2, _) => manifest.models.retain(|_, spec| !spec.retiring),
            (3, Some(chosen)) => manifest.models[&chosen].size = size,
            (4, Some(chosen)) => manifest.models[&chosen].size = Bytes(100),
            (_, chosen) => {
                let spec = chosen.map_or_else(
                    || first_manifest().models[0].clone(),
                    |chosen| manifest.models[&chosen].clone(),
                );
                manifest.models.insert(name, carobwick_core::ModelSpec { size, retiring: false, ..spec });
            }
        }
        manifest
    }

    fn advance_publish(&mut self, operation: usize, event: PublishEvent) {
        let Operation::Publish { process, publish, .. } = &mut self.operations[operation] else {
            return;
        };
        let state = &self.processes[*process].state;
        let step = publish.next(event, state.config.as_ref(), &state.views);
        self.perform(operation, step);
    }

    fn perform(&mut self, operation: usize, step: PublishStep) {
        let Operation::Publish { process, publish, .. } = &self.operations[operation] else {
            return;
        };
        let (process, write_id) = (*process, publish.write_id());
        let owner = Owner::Operation(operation);
        match step {
            PublishStep::Read => self.call(process, owner, Call::ReadConfig),
            PublishStep::Write { expect, record, .. } => {
                self.call(process, owner, Call::WriteConfig(expect, record));
            }
            PublishStep::Pause(pause) => self.schedule(pause, Event::Resume(operation)),
            PublishStep::Done(outcome) => self.finish_publish(process, write_id, &outcome),
        }
    }

    fn finish_publish(&mut self, process: usize, write_id: WriteId, outcome: &PublishOutcome) {
        match outcome {
            PublishOutcome::Accepted(version, record) => {
                self.trace(format_args!("publish {write_id} is accepted as version {version}"));
                let delta = Delta { config: Some((**record).clone()), ..Delta::default() };
                self.merge(process, delta);
                self.check_accepted(process, write_id, *version);
            }
            outcome => {
                self.trace(format_args!("publish {write_id} is not accepted: {outcome:?}"));
                self.check_not_accepted(write_id, outcome);
            }
        }
    }

    fn random_target(&mut self) -> DrainTarget {
        if self.rng.random_bool(0.8) {
            DrainTarget::Endpoint(endpoint(self.rng.random_range(0..ENDPOINTS_PER_ZONE * ZONES)))
        } else {
            DrainTarget::Instance(instance(self.rng.random_range(0..self.processes.len())))
        }
    }

    fn drain(&mut self, process: usize, target: DrainTarget, drained: bool) {
        let writer = WriteId(self.rng.random());
        let mark = self.processes[process].state.drains.set(target.clone(), drained, writer);
        self.trace(format_args!(
            "process {process} accepts {target}: drained {drained}, counter {}",
            mark.counter
        ));
        let (incarnation, at, store) = (self.processes[process].incarnation, self.now, DrainStore::default());
        let drain = DrainOperation { process, incarnation, target, mark, at, store, durable: false };
        self.operations.push(Operation::Drain(drain));
        let operation = self.operations.len() - 1;
        self.call(process, Owner::Operation(operation), Call::ReadDrains);
        self.schedule(Duration::from_secs(5), Event::CheckDrain(operation));
    }

    fn continue_drain(&mut self, operation: usize, reply: Reply) {
        let Operation::Drain(drain) = &mut self.operations[operation] else {
            return;
        };
        let process = drain.process;
        let event = drain_event(reply);
        if let DrainEvent::Read(Some((_, drains))) = &event {
            self.processes[process].state.drains.merge(drains);
        }
        match drain.store.next(event, &self.processes[process].state.drains) {
            DrainStep::Read => self.call(process, Owner::Operation(operation), Call::ReadDrains),
            DrainStep::Write { expect, drains } => {
                self.call(process, Owner::Operation(operation), Call::WriteDrains(expect, drains));
            }
            DrainStep::Done(durable) => {
                drain.durable = durable;
                let target = drain.target.clone();
                self.trace(format_args!("{target}: durable {durable}"));
            }
        }
    }
}

fn first_manifest() -> Manifest {
    let zones: Vec<_> = (0..ZONES).map(zone).collect();
    let manifest = json!({
        "deployment": "random",
        "objective": {"attainment": 1.0, "moves": 1.0},
        "store": {"rate": 1.0, "concurrent": 1},
        "adapter_loads": 1,
        "zones": zones,
        "services": {"llm": {"kind": "engine", "memory": 100, "slots": 1}},
        "models": {"m0": {"service": "llm", "version": "1", "size": 20}},
    });
    Manifest::from_json(&manifest.to_string()).unwrap_or_else(|err| unreachable!("{err}"))
}
