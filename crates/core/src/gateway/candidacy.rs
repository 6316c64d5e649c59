use carobwick_derive::data;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::InstanceId;

/// Average number of instances that claim the lease at the first poll; each claim costs the store two writes.
const EXPECTED_CLAIMS: u64 = 32;
/// Number of instances assumed until a leader announces the actual one.
const ASSUMED_INSTANCES: u32 = 64;
/// Processor share, in cores, that a leader needs to plan and to serve some hundred instances.
const MIN_LEADER_CORES: f64 = 0.25;
/// Link bandwidth, in Mbit/s, that a leader needs to send updates to some hundred instances within a few
/// milliseconds.
const MIN_LEADER_LINK_MBPS: f64 = 100.0;

/// Resources of an instance.
#[data]
#[derive(Copy)]
pub struct InstanceSize {
    /// Processor share, in cores.
    pub cores: f64,
    /// Bandwidth of its link, in Mbit/s.
    pub link: f64,
    /// Memory limit of its process, in MB.
    pub memory: f64,
}

/// Decides which of many instances claim the leader lease when nobody holds it.
///
/// An instance with 1/2^n of the resources that a leader needs skips the first n polls, at most 4. The
/// expected number of claims doubles with each further poll that finds no leader, so that a leader is elected
/// even when most instances are gone.
#[derive(Debug)]
pub struct Candidacy {
    instance: InstanceId,
    instances: u32,
    skipped_polls: u32,
    polls: u32,
}

impl Candidacy {
    /// Creates the candidacy of an instance that does not know the number of instances yet.
    pub fn new(instance: InstanceId, size: InstanceSize) -> Self {
        Self { instance, instances: ASSUMED_INSTANCES, skipped_polls: size.skipped_polls(), polls: 0 }
    }

    /// Sets how many instances there are.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Records that there is a leader, which resets the number of polls that found none.
    pub fn record_leader(&mut self) {
        self.polls = 0;
    }

    /// Counts a poll that found no leader and returns whether this instance should claim the lease now.
    pub fn should_claim(&mut self) -> bool {
        let poll = self.polls;
        self.polls += 1;
        let Some(round) = poll.checked_sub(self.skipped_polls) else { return false };
        let hash = xxh3_64_with_seed(self.instance.as_str().as_bytes(), u64::from(poll));
        hash % u64::from(self.instances) < EXPECTED_CLAIMS << round.min(u32::BITS)
    }
}

impl InstanceSize {
    /// Returns the number of polls that an instance of this size skips.
    fn skipped_polls(self) -> u32 {
        let shortfall = (MIN_LEADER_CORES / self.cores).max(MIN_LEADER_LINK_MBPS / self.link);
        shortfall.log2().round().clamp(0.0, 4.0) as u32
    }
}
