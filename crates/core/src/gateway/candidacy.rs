use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::InstanceId;

/// Instances that claim the lease at the first look, on average; each claim costs the store two writes.
const CLAIMANTS: u64 = 4;
/// Instances assumed before a leader has said how many there are.
const ASSUMED: u32 = 16;

/// Which of many instances claim the leader's lease when nobody holds it.
///
/// With each look that finds no leader twice as many claim it, so that a leader is found when most instances are gone.
#[derive(Debug)]
pub struct Candidacy {
    instance: InstanceId,
    instances: u32,
    looks: u32,
}

impl Candidacy {
    /// Starts without knowledge of the others.
    pub fn new(instance: InstanceId) -> Self {
        Self { instance, instances: ASSUMED, looks: 0 }
    }

    /// Sets how many instances there are.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Notes that there is a leader.
    pub fn settled(&mut self) {
        self.looks = 0;
    }

    /// Returns whether this instance claims the lease now, after a look that found no leader.
    pub fn claims(&mut self) -> bool {
        let claimants = CLAIMANTS << self.looks.min(u32::BITS);
        let draw = xxh3_64_with_seed(self.instance.as_str().as_bytes(), u64::from(self.looks));
        self.looks += 1;
        draw % u64::from(self.instances) < claimants
    }
}
