use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use carobwick_core::Delta;
use carobwick_core::DrainEvent;
use carobwick_core::DrainStep;
use carobwick_core::DrainStore;
use carobwick_core::PeerMessage;
use carobwick_core::Time;
use carobwick_core::WriteId;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::checks::Checks;
use super::faults::Network;
use super::operators::Operation;
use super::platform::Call;
use super::platform::Platform;
use super::platform::Reply;
use super::process::PER_ZONE;
use super::process::Process;
use super::process::ZONES;
use super::process::view;
use crate::Report;
use crate::Trace;

const STEP: Duration = Duration::from_millis(20);
const ROUND: Duration = Duration::from_millis(500);
const WATCH_CHECK: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time without faults and operators at the end of a run.
const HEALED: Duration = Duration::from_secs(15);

/// The processes, the platform between them, and virtual time.
#[derive(Debug)]
pub(crate) struct World {
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub processes: Vec<Process>,
    pub platform: Platform,
    pub network: Network,
    pub operations: Vec<Operation>,
    pub checks: Checks,
    pub trace: Trace,
    pub faults: u64,
    pub terms: u64,
    /// Whether faults and operators have ended.
    pub healing: bool,
    /// Publishes that were reported as not accepted.
    pub refused: Vec<WriteId>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    /// Calls without a reply so far, with who waits for it.
    calls: BTreeMap<u64, Waiting>,
}

/// Something that happens at a time; equal times go in the order of scheduling.
#[derive(Debug)]
struct Scheduled {
    at: Time,
    sequence: u64,
    event: Event,
}

#[derive(Debug)]
pub(crate) enum Event {
    Round(usize, u64),
    WatchCheck(usize, u64),
    /// A message, and when its exchange started.
    Message(usize, usize, Box<PeerMessage>, Time),
    /// A change that a watch reports.
    Changed(usize, u64),
    CallArrives(u64, Call),
    CallEnds(u64, Reply),
    Resume(usize),
    Operators,
    Fault,
    Check(usize),
    CheckDrain(usize),
}

/// Who waits for the reply to a call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Owner {
    Operation(usize),
    /// A watcher that stores drains, by its index in `stores`.
    Store(usize),
    Watch(usize),
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    owner: Owner,
    process: usize,
    life: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            processes: (0..ZONES * PER_ZONE).map(Process::new).collect(),
            platform: Platform::default(),
            network: Network::default(),
            operations: Vec::new(),
            checks: Checks::default(),
            trace: Trace::default(),
            faults: 0,
            terms: 0,
            healing: false,
            refused: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            calls: BTreeMap::new(),
        };
        for index in 0..world.processes.len() {
            world.start(index);
        }
        world.schedule(Duration::from_millis(100), Event::Operators);
        world.schedule(Duration::from_secs(2), Event::Fault);
        world
    }

    /// Runs the steps, then the healed time, and checks the end state.
    pub fn run(&mut self, steps: u64) {
        self.run_until(Time::ZERO + STEP * u32::try_from(steps).unwrap_or(u32::MAX));
        self.heal();
        self.run_until(self.now + HEALED);
        self.check_end();
    }

    pub fn into_report(self, steps: u64) -> Report {
        Report { steps, faults: self.faults, violations: self.checks.into_violations(), trace: self.trace }
    }

    pub fn note(&mut self, text: impl std::fmt::Display) {
        self.trace.add(format!("{:>7} ms {text}", self.now.millis()));
    }

    pub fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled { at: self.now + after, sequence: self.sequence, event }));
    }

    /// Starts the tasks of a process that is new or was replaced.
    pub fn start(&mut self, index: usize) {
        let life = self.processes[index].life;
        let delay = Duration::from_millis(self.rng.random_range(0..500));
        self.schedule(delay, Event::Round(index, life));
        self.schedule(delay, Event::WatchCheck(index, life));
        if index.is_multiple_of(PER_ZONE) {
            self.terms += 1;
            let view = view(index / PER_ZONE, self.terms);
            self.processes[index].state.merge_view(view);
        }
    }

    /// Sends a call to the platform for a process.
    pub fn call(&mut self, process: usize, owner: Owner, call: Call) {
        let life = self.processes[process].life;
        self.sequence += 1;
        let id = self.sequence;
        self.calls.insert(id, Waiting { owner, process, life });
        self.schedule(TIMEOUT, Event::CallEnds(id, Reply::Lost));
        let zone = self.processes[process].zone();
        if self.network.is_cut_off(zone, self.now) {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..5));
        if self.platform.is_down(self.now) {
            // Half of the calls are refused; the others get no reply.
            if self.rng.random_bool(0.5) {
                self.schedule(delay, Event::CallEnds(id, Reply::Failed));
            }
            return;
        }
        let slow = self.now < self.platform.slow_until;
        let late = if slow { Duration::from_millis(self.rng.random_range(0..2_500)) } else { Duration::ZERO };
        self.schedule(delay + late, Event::CallArrives(id, call));
    }

    fn run_until(&mut self, end: Time) {
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.handle(next.event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Round(index, life) if self.is_current(index, life) => self.round(index),
            Event::WatchCheck(index, life) if self.is_current(index, life) => self.watch_check(index),
            Event::Changed(index, life) if self.is_current(index, life) => self.changed(index),
            Event::Round(..) | Event::WatchCheck(..) | Event::Changed(..) => {}
            Event::Message(from, to, message, began) => self.receive(from, to, *message, began),
            Event::CallArrives(id, call) => self.carry_out(id, call),
            Event::CallEnds(id, reply) => self.end_call(id, reply),
            Event::Resume(operation) => self.resume(operation),
            Event::Operators => self.operators(),
            Event::Fault if self.healing => {}
            Event::Fault => self.inject(),
            Event::Check(accepted) => self.check_in_force(accepted),
            Event::CheckDrain(drain) => self.check_drain(drain),
        }
    }

    fn is_current(&self, index: usize, life: u64) -> bool {
        self.processes[index].life == life
    }

    fn round(&mut self, index: usize) {
        self.check_confirmations(index);
        let process = &mut self.processes[index];
        let life = process.life;
        if let Some(version) = process.version() {
            let instance = process.instance.clone();
            process.state.record_applied(&instance, version);
        }
        let chosen = process.choose(&mut self.rng);
        let (from, digest) = (process.instance.clone(), process.state.digest());
        for to in chosen.into_iter().filter(|to| *to != index) {
            let sync = PeerMessage::Sync { from: from.clone(), digest: digest.clone() };
            self.send(index, to, sync, self.now);
        }
        let jitter = self.rng.random_range(0.75..1.25);
        self.schedule(ROUND.mul_f64(jitter), Event::Round(index, life));
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage, began: Time) {
        let delay = self.network.delay(&mut self.rng, self.now);
        self.schedule(delay, Event::Message(from, to, Box::new(message), began));
    }

    fn receive(&mut self, from: usize, to: usize, message: PeerMessage, began: Time) {
        let zones = (self.processes[from].zone(), self.processes[to].zone());
        if self.network.is_cut(zones.0, zones.1, self.now) {
            return;
        }
        match message {
            PeerMessage::Sync { digest, .. } => {
                let state = &mut self.processes[to].state;
                state.merge_applied(&digest);
                let (own, delta) = (state.digest(), state.delta_for(&digest));
                self.send(to, from, PeerMessage::SyncReply { digest: own, delta }, began);
            }
            // The asker has given up on a reply that comes after its limit.
            PeerMessage::SyncReply { .. } if self.now - began > TIMEOUT => {}
            PeerMessage::SyncReply { digest, delta } => {
                self.merge(to, delta);
                let state = &mut self.processes[to].state;
                state.merge_applied(&digest);
                let delta = state.delta_for(&digest);
                if delta != Delta::default() {
                    self.send(to, from, PeerMessage::Push { delta }, self.now);
                }
            }
            PeerMessage::Push { delta } => self.merge(to, delta),
            _ => {}
        }
    }

    /// Merges into a process and checks that its version does not go down.
    pub fn merge(&mut self, index: usize, delta: Delta) {
        self.processes[index].state.merge(delta);
        self.check_version(index);
        self.check_views(index);
    }

    fn watch_check(&mut self, index: usize) {
        let life = self.processes[index].life;
        if self.processes[index].watches() {
            self.call(index, Owner::Watch(index), Call::ReadAll);
        }
        self.schedule(WATCH_CHECK, Event::WatchCheck(index, life));
    }

    /// Delivers a change through the watch, unless something is in the way.
    fn changed(&mut self, index: usize) {
        let zone = self.processes[index].zone();
        let gap = self.now < self.platform.gap_until || self.platform.is_down(self.now);
        if !gap && !self.network.is_cut_off(zone, self.now) && self.processes[index].watches() {
            let config = self.platform.config().cloned();
            let delta = Delta { config, drains: self.platform.drains(), ..Delta::default() };
            self.merge(index, delta);
        }
    }

    fn carry_out(&mut self, id: u64, call: Call) {
        let (reply, wrote) = self.platform.carry_out(call);
        if wrote {
            for index in 0..self.processes.len() {
                let life = self.processes[index].life;
                let delay = Duration::from_millis(self.rng.random_range(1..20));
                self.schedule(delay, Event::Changed(index, life));
            }
        }
        if wrote && self.platform.lose_replies > 0 {
            self.platform.lose_replies -= 1;
            self.note("a reply is lost after its write");
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..5));
        self.schedule(delay, Event::CallEnds(id, reply));
    }

    fn end_call(&mut self, id: u64, reply: Reply) {
        let Some(waiting) = self.calls.remove(&id) else {
            return;
        };
        if !self.is_current(waiting.process, waiting.life) {
            return;
        }
        match waiting.owner {
            Owner::Operation(operation) => self.continue_operation(operation, reply),
            Owner::Watch(index) => {
                if let Reply::All(config, drains) = reply {
                    let config = config.map(|stored| (*stored.record).clone());
                    let drains = drains.map(|(_, drains)| drains).unwrap_or_default();
                    let lacks = !drains.covers(&self.processes[index].state.drains);
                    self.merge(index, Delta { config, drains, ..Delta::default() });
                    if lacks {
                        self.store_drains(index);
                    }
                }
            }
            Owner::Store(index) => self.continue_store(index, reply),
        }
    }

    fn store_drains(&mut self, index: usize) {
        self.operations.push(Operation::Store { process: index, store: DrainStore::default() });
        self.call(index, Owner::Store(self.operations.len() - 1), Call::ReadDrains);
    }

    fn continue_store(&mut self, operation: usize, reply: Reply) {
        let Operation::Store { process, store } = &mut self.operations[operation] else {
            return;
        };
        let index = *process;
        let event = drain_event(reply);
        if let DrainEvent::Read(Some((_, drains))) = &event {
            self.processes[index].state.drains.merge(drains);
        }
        match store.next(event, &self.processes[index].state.drains) {
            DrainStep::Read => self.call(index, Owner::Store(operation), Call::ReadDrains),
            DrainStep::Write { expect, drains } => {
                self.call(index, Owner::Store(operation), Call::WriteDrains(expect, drains));
            }
            DrainStep::Done(_) => {}
        }
    }
}

/// Translates the reply to a call for a [`DrainStore`].
pub(crate) fn drain_event(reply: Reply) -> DrainEvent {
    match reply {
        Reply::Drains(stored) => DrainEvent::Read(stored),
        Reply::Written => DrainEvent::Written,
        Reply::Refused => DrainEvent::Refused,
        _ => DrainEvent::Failed,
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
