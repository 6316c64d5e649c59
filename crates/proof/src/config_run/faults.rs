use std::time::Duration;

use carobwick_core::SharedState;
use carobwick_core::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::process::ZONES;
use super::simulation::Event;
use super::simulation::Simulation;

/// Links between the zones and to the key-value service, each with the time at which its last fault ends.
#[derive(Debug, Default)]
pub(crate) struct Network {
    /// Time until which messages from the first to the second zone are dropped.
    links: [[Time; ZONES]; ZONES],
    /// Time until which calls from the zone get no reply.
    uplinks: [Time; ZONES],
    /// Time until which some messages are late.
    slow_until: Time,
}

/// Kinds of faults; the names appear in traces.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The key-value service is unavailable.
    Down,
    /// Calls to the key-value service are delayed.
    Slow,
    /// The reply to a write is lost.
    LostReplies,
    /// Watches miss changes.
    WatchGap,
    /// Two zones can't exchange messages.
    Cut,
    /// Messages from one zone to another are dropped.
    CutOneWay,
    /// A zone can't reach the key-value service.
    CutOff,
    /// Some messages between processes are late.
    Late,
    /// A process restarts without state.
    ReplaceOne,
    /// All processes restart without state.
    ReplaceAll,
    /// A process restarts with an earlier state.
    OldCopy,
}

const FAULTS: [Fault; 11] = [
    Fault::Down,
    Fault::Slow,
    Fault::LostReplies,
    Fault::WatchGap,
    Fault::Cut,
    Fault::CutOneWay,
    Fault::CutOff,
    Fault::Late,
    Fault::ReplaceOne,
    Fault::ReplaceAll,
    Fault::OldCopy,
];

impl Network {
    pub fn is_link_cut(&self, from: usize, to: usize, now: Time) -> bool {
        now < self.links[from][to]
    }

    pub fn is_isolated(&self, zone: usize, now: Time) -> bool {
        now < self.uplinks[zone]
    }

    /// Returns whether two zones could exchange messages in both directions all the time since `start`.
    pub fn was_link_up(&self, one: usize, other: usize, start: Time) -> bool {
        self.links[one][other] <= start && self.links[other][one] <= start
    }

    /// Returns whether a zone could reach the key-value service all the time since `start`.
    pub fn was_kv_reachable(&self, zone: usize, start: Time) -> bool {
        self.uplinks[zone] <= start
    }

    pub fn delay(&self, rng: &mut ChaCha8Rng, now: Time) -> Duration {
        let late = now < self.slow_until && rng.random_bool(0.3);
        Duration::from_millis(if late { rng.random_range(5..3_000) } else { rng.random_range(1..5) })
    }

    fn heal(&mut self, now: Time) {
        let ends = self.links.iter_mut().flatten().chain(&mut self.uplinks);
        for end in ends.chain([&mut self.slow_until]) {
            *end = now.min(*end);
        }
    }
}

impl Simulation {
    /// Injects one fault, two at once, or one twice, and schedules the next faults.
    pub fn inject_faults(&mut self) {
        let first = FAULTS[self.rng.random_range(0..FAULTS.len())];
        self.apply(first);
        match self.rng.random_range(0..3) {
            0 => {}
            1 => {
                let second = FAULTS[self.rng.random_range(0..FAULTS.len())];
                self.apply(second);
            }
            _ => self.apply(first),
        }
        let pause = Duration::from_millis(self.rng.random_range(500..9_000));
        self.schedule(pause, Event::Fault);
    }

    /// Ends all faults; from now on, no operator acts and no fault is injected.
    pub fn heal(&mut self) {
        self.trace("all faults end");
        let now = self.now;
        self.network.heal(now);
        let kv = &mut self.kv;
        for until in [&mut kv.down_until, &mut kv.slow_until, &mut kv.gap_until] {
            *until = now.min(*until);
        }
        kv.lose_replies = 0;
        self.healed = true;
    }

    fn apply(&mut self, fault: Fault) {
        self.faults += 1;
        let until = self.now + Duration::from_millis(self.rng.random_range(300..8_000));
        let (one, other) = (self.rng.random_range(0..ZONES), self.rng.random_range(0..ZONES));
        let index = self.rng.random_range(0..self.processes.len());
        self.trace(format_args!(
            "fault {fault:?}: zones {one}, {other}, process {index}, until {}",
            until.millis()
        ));
        match fault {
            Fault::Down => extend(&mut self.kv.down_until, until),
            Fault::Slow => extend(&mut self.kv.slow_until, until),
            Fault::LostReplies => self.kv.lose_replies += 1,
            Fault::WatchGap => extend(&mut self.kv.gap_until, until),
            Fault::Cut if one != other => {
                extend(&mut self.network.links[one][other], until);
                extend(&mut self.network.links[other][one], until);
            }
            Fault::CutOneWay if one != other => extend(&mut self.network.links[one][other], until),
            Fault::Cut | Fault::CutOneWay => {}
            Fault::CutOff => extend(&mut self.network.uplinks[one], until),
            Fault::Late => extend(&mut self.network.slow_until, until),
            Fault::ReplaceOne => self.replace(index, SharedState::default()),
            Fault::ReplaceAll => {
                for index in 0..self.processes.len() {
                    self.replace(index, SharedState::default());
                }
            }
            Fault::OldCopy => {
                let snapshot = self.processes[index].snapshot.clone();
                self.replace(index, snapshot);
            }
        }
        let saved = self.rng.random_range(0..self.processes.len());
        self.processes[saved].snapshot = self.processes[saved].state.clone();
    }

    fn replace(&mut self, index: usize, state: SharedState) {
        self.processes[index].restart(state, self.now);
        self.start(index);
    }
}

fn extend(until: &mut Time, new: Time) {
    *until = new.max(*until);
}
