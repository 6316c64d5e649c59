use carobwick_derive::data;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::InstanceId;

/// Instances that claim the lease at the first look, on average; each claim costs the store two writes.
const CLAIMANTS: u64 = 32;
/// Instances assumed before a leader has said how many there are.
const ASSUMED: u32 = 64;
/// Processor share that a leader needs, in cores, to plan and to talk to some hundred instances.
const LEADER_CORES: f64 = 0.25;
/// Link that a leader needs, in Mbit/s, to pass news on to some hundred instances within a few milliseconds.
const LEADER_LINK: f64 = 100.0;

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
    patience: u32,
    looks: u32,
}

impl Candidacy {
    /// Starts without knowledge of the others.
    pub fn new(instance: InstanceId, size: InstanceSize) -> Self {
        Self { instance, instances: ASSUMED, patience: size.patience(), looks: 0 }
    }

    /// Sets how many instances there are.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Notes that there is a leader.
    pub fn leader_found(&mut self) {
        self.looks = 0;
    }

    /// Returns whether this instance claims the lease now, after a look that found no leader.
    pub fn should_claim(&mut self) -> bool {
        let look = self.looks;
        self.looks += 1;
        let Some(turn) = look.checked_sub(self.patience) else { return false };
        let draw = xxh3_64_with_seed(self.instance.as_str().as_bytes(), u64::from(look));
        draw % u64::from(self.instances) < CLAIMANTS << turn.min(u32::BITS)
    }
}

impl InstanceSize {
    /// Returns the looks that an instance of this size lets pass.
    fn patience(self) -> u32 {
        let lack = (LEADER_CORES / self.cores).max(LEADER_LINK / self.link);
        lack.log2().round().clamp(0.0, 4.0) as u32
    }
}
