use carobwick_derive::data;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::InstanceId;

/// Instances that claim the lease at the first look, on average; each claim costs the store two writes.
const EXPECTED_CLAIMS: u64 = 32;
/// Instances assumed before a leader has said how many there are.
const ASSUMED_INSTANCES: u32 = 64;
/// Processor share that a leader needs, in cores, to plan and to talk to some hundred instances.
const MIN_LEADER_CORES: f64 = 0.25;
/// Link that a leader needs, in Mbit/s, to pass news on to some hundred instances within a few milliseconds.
const MIN_LEADER_LINK_MBPS: f64 = 100.0;

/// What an instance has to work with.
#[data]
#[derive(Copy)]
pub struct InstanceSize {
    /// Processor share, in cores.
    pub cores: f64,
    /// Bandwidth of its link, in Mbit/s.
    pub link: f64,
}

/// Which of many instances claim the leader's lease when nobody holds it.
///
/// Instances that have less than a leader needs let one look pass for each halving. With each further look that finds no
/// leader twice as many claim the lease, so that there is a leader when most instances are gone.
#[derive(Debug)]
pub struct Candidacy {
    instance: InstanceId,
    instances: u32,
    skipped_polls: u32,
    polls: u32,
}

impl Candidacy {
    /// Starts without knowledge of the others.
    pub fn new(instance: InstanceId, size: InstanceSize) -> Self {
        Self { instance, instances: ASSUMED_INSTANCES, skipped_polls: size.skipped_polls(), polls: 0 }
    }

    /// Sets how many instances there are.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Notes that there is a leader.
    pub fn leader_found(&mut self) {
        self.polls = 0;
    }

    /// Returns whether this instance claims the lease now, after a look that found no leader.
    pub fn should_claim(&mut self) -> bool {
        let poll = self.polls;
        self.polls += 1;
        let Some(round) = poll.checked_sub(self.skipped_polls) else { return false };
        let hash = xxh3_64_with_seed(self.instance.as_str().as_bytes(), u64::from(poll));
        hash % u64::from(self.instances) < EXPECTED_CLAIMS << round.min(u32::BITS)
    }
}

impl InstanceSize {
    /// Returns the looks that an instance of this size lets pass.
    fn skipped_polls(self) -> u32 {
        let shortfall = (MIN_LEADER_CORES / self.cores).max(MIN_LEADER_LINK_MBPS / self.link);
        shortfall.log2().round().clamp(0.0, 4.0) as u32
    }
}
