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
use super::kv::Call;
use super::kv::FakeKv;
use super::kv::Reply;
use super::operators::Operation;
use super::process::PROCESSES_PER_ZONE;
use super::process::Process;
use super::process::ZONES;
use super::process::zone_view;
use crate::Report;
use crate::Trace;

const STEP: Duration = Duration::from_millis(20);
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
const WATCH_CHECK_INTERVAL: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without faults and operators at the end of a run.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// The processes, the network, the key-value service and virtual time.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub processes: Vec<Process>,
    pub kv: FakeKv,
    pub network: Network,
    pub operations: Vec<Operation>,
    pub checks: Checks,
    pub trace: Trace,
    pub faults: u64,
    /// Term of the last leader that started.
    pub last_term: u64,
    /// Whether faults and operators have ended for good.
    pub healed: bool,
    /// Publishes that were reported as not accepted.
    pub rejected: Vec<WriteId>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    /// Calls that wait for their reply, by id.
    calls: BTreeMap<u64, PendingCall>,
}

/// An event at a time; events at the same time are handled in the order of scheduling.
#[derive(Debug)]
struct Scheduled {
    at: Time,
    sequence: u64,
    event: Event,
}

/// An event; events of a process name its index and incarnation.
#[derive(Debug)]
pub(crate) enum Event {
    /// The process starts its periodic exchange with peers.
    Exchange(usize, u64),
    /// The process reads all keys again in case its watch has missed a change.
    WatchCheck(usize, u64),
    /// A message between two processes, with the time at which its exchange started.
    Message(usize, usize, Box<PeerMessage>, Time),
    /// The watch of a process reports a change.
    Change(usize, u64),
    CallArrives(u64, Call),
    CallEnds(u64, Reply),
    Resume(usize),
    Operators,
    Fault,
    CheckInForce(usize),
    CheckDrain(usize),
}

/// Receiver of the reply to a call.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Owner {
    Operation(usize),
    /// A watcher that stores drains, by the index of its operation.
    Store(usize),
    Watch(usize),
}

#[derive(Debug, Clone, Copy)]
struct PendingCall {
    owner: Owner,
    process: usize,
    incarnation: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            processes: (0..ZONES * PROCESSES_PER_ZONE).map(Process::new).collect(),
            kv: FakeKv::default(),
            network: Network::default(),
            operations: Vec::new(),
            checks: Checks::default(),
            trace: Trace::default(),
            faults: 0,
            last_term: 0,
            healed: false,
            rejected: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            calls: BTreeMap::new(),
        };
        for index in 0..simulation.processes.len() {
            simulation.start(index);
        }
        simulation.schedule(Duration::from_millis(100), Event::Operators);
        simulation.schedule(Duration::from_secs(2), Event::Fault);
        simulation
    }

    /// Runs the steps, then the recovery time without faults, and checks the final state.
    pub fn run(&mut self, steps: u64) {
        self.run_until(Time::ZERO + STEP * u32::try_from(steps).unwrap_or(u32::MAX));
        self.heal();
        self.run_until(self.now + RECOVERY_TIME);
        self.check_end();
    }

    pub fn into_report(self, steps: u64) -> Report {
        Report { steps, faults: self.faults, violations: self.checks.into_violations(), trace: self.trace }
    }

    pub fn trace(&mut self, text: impl std::fmt::Display) {
        self.trace.add(format!("{:>7} ms {text}", self.now.millis()));
    }

    pub fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled { at: self.now + after, sequence: self.sequence, event }));
    }

    /// Starts the tasks of a process that is new or was replaced.
    pub fn start(&mut self, index: usize) {
        let incarnation = self.processes[index].incarnation;
        let delay = Duration::from_millis(self.rng.random_range(0..500));
        self.schedule(delay, Event::Exchange(index, incarnation));
        self.schedule(delay, Event::WatchCheck(index, incarnation));
        if index.is_multiple_of(PROCESSES_PER_ZONE) {
            self.last_term += 1;
            let view = zone_view(index / PROCESSES_PER_ZONE, self.last_term);
            self.processes[index].state.merge_view(view);
        }
    }

    /// Sends a call of a process to the key-value service.
    pub fn call(&mut self, process: usize, owner: Owner, call: Call) {
        let incarnation = self.processes[process].incarnation;
        self.sequence += 1;
        let id = self.sequence;
        self.calls.insert(id, PendingCall { owner, process, incarnation });
        self.schedule(CALL_TIMEOUT, Event::CallEnds(id, Reply::Lost));
        let zone = self.processes[process].zone();
        if self.network.is_isolated(zone, self.now) {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..5));
        if self.kv.is_down(self.now) {
            // Half of the calls are refused; the others get no reply.
            if self.rng.random_bool(0.5) {
                self.schedule(delay, Event::CallEnds(id, Reply::Failed));
            }
            return;
        }
        let slow = self.now < self.kv.slow_until;
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
            Event::Exchange(index, incarnation) if self.is_current(index, incarnation) => {
                self.exchange(index);
            }
            Event::WatchCheck(index, incarnation) if self.is_current(index, incarnation) => {
                self.watch_check(index);
            }
            Event::Change(index, incarnation) if self.is_current(index, incarnation) => {
                self.deliver_change(index);
            }
            Event::Exchange(..) | Event::WatchCheck(..) | Event::Change(..) => {}
            Event::Message(from, to, message, started_at) => self.receive(from, to, *message, started_at),
            Event::CallArrives(id, call) => self.call_arrived(id, call),
            Event::CallEnds(id, reply) => self.end_call(id, reply),
            Event::Resume(operation) => self.resume_publish(operation),
            Event::Operators => self.run_operators(),
            Event::Fault if self.healed => {}
            Event::Fault => self.inject_faults(),
            Event::CheckInForce(accepted) => self.check_in_force(accepted),
            Event::CheckDrain(drain) => self.check_drain(drain),
        }
    }

    fn is_current(&self, index: usize, incarnation: u64) -> bool {
        self.processes[index].incarnation == incarnation
    }

    fn exchange(&mut self, index: usize) {
        self.check_applied_versions(index);
        let process = &mut self.processes[index];
        let incarnation = process.incarnation;
        if let Some(version) = process.version() {
            let instance = process.instance.clone();
            process.state.record_applied(&instance, version);
        }
        let chosen = process.choose_peers(&mut self.rng);
        let (from, digest) = (process.instance.clone(), process.state.digest());
        for to in chosen.into_iter().filter(|to| *to != index) {
            let sync = PeerMessage::Sync { from: from.clone(), digest: digest.clone() };
            self.send(index, to, sync, self.now);
        }
        let jitter = self.rng.random_range(0.75..1.25);
        self.schedule(EXCHANGE_INTERVAL.mul_f64(jitter), Event::Exchange(index, incarnation));
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage, started_at: Time) {
        let delay = self.network.delay(&mut self.rng, self.now);
        self.schedule(delay, Event::Message(from, to, Box::new(message), started_at));
    }

    fn receive(&mut self, from: usize, to: usize, message: PeerMessage, started_at: Time) {
        let zones = (self.processes[from].zone(), self.processes[to].zone());
        if self.network.is_link_cut(zones.0, zones.1, self.now) {
            return;
        }
        match message {
            PeerMessage::Sync { digest, .. } => {
                let state = &mut self.processes[to].state;
                state.merge_applied(&digest);
                let (own, delta) = (state.digest(), state.delta_for(&digest));
                self.send(to, from, PeerMessage::SyncReply { digest: own, delta }, started_at);
            }
            // The process that started the exchange ignores a reply after its timeout.
            PeerMessage::SyncReply { .. } if self.now - started_at > CALL_TIMEOUT => {}
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

    /// Merges a delta into the state of a process, and checks its version and views.
    pub fn merge(&mut self, index: usize, delta: Delta) {
        self.processes[index].state.merge(delta);
        self.check_version(index);
        self.check_views(index);
    }

    fn watch_check(&mut self, index: usize) {
        let incarnation = self.processes[index].incarnation;
        if self.processes[index].is_watcher() {
            self.call(index, Owner::Watch(index), Call::ReadAll);
        }
        self.schedule(WATCH_CHECK_INTERVAL, Event::WatchCheck(index, incarnation));
    }

    /// Delivers the stored state through the watch, unless a fault prevents it.
    fn deliver_change(&mut self, index: usize) {
        let zone = self.processes[index].zone();
        let gap = self.now < self.kv.gap_until || self.kv.is_down(self.now);
        if !gap && !self.network.is_isolated(zone, self.now) && self.processes[index].is_watcher() {
            let config = self.kv.config().cloned();
            let delta = Delta { config, drains: self.kv.drains(), ..Delta::default() };
            self.merge(index, delta);
        }
    }

    fn call_arrived(&mut self, id: u64, call: Call) {
        let (reply, wrote) = self.kv.call(call);
        if wrote {
            for index in 0..self.processes.len() {
                let incarnation = self.processes[index].incarnation;
                let delay = Duration::from_millis(self.rng.random_range(1..20));
                self.schedule(delay, Event::Change(index, incarnation));
            }
        }
        if wrote && self.kv.lose_replies > 0 {
            self.kv.lose_replies -= 1;
            self.trace("a reply is lost after its write");
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..5));
        self.schedule(delay, Event::CallEnds(id, reply));
    }

    fn end_call(&mut self, id: u64, reply: Reply) {
        let Some(pending) = self.calls.remove(&id) else {
            return;
        };
        if !self.is_current(pending.process, pending.incarnation) {
            return;
        }
        match pending.owner {
            Owner::Operation(operation) => self.continue_operation(operation, reply),
            Owner::Watch(index) => {
                if let Reply::All(config, drains) = reply {
                    let config = config.map(|stored| (*stored.record).clone());
                    let drains = drains.map(|(_, drains)| drains).unwrap_or_default();
                    let incomplete = !drains.covers(&self.processes[index].state.drains);
                    self.merge(index, Delta { config, drains, ..Delta::default() });
                    if incomplete {
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

/// Converts the reply to a call to an event for a [`DrainStore`].
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
