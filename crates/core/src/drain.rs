use std::fmt;

use carobwick_derive::data;
use carobwick_derive::key;
use indexmap::IndexMap;

use crate::EndpointId;
use crate::InstanceId;
use crate::WriteId;
use crate::digest::stable_hash;

/// Drain states of targets, each a last-writer-wins register.
///
/// # Examples
///
/// ```
/// use carobwick_core::DrainSet;
/// use carobwick_core::DrainTarget;
/// use carobwick_core::WriteId;
///
/// let target = DrainTarget::Endpoint("gent-engine-0".parse().unwrap());
/// let mut local = DrainSet::default();
/// local.set(target.clone(), true, WriteId(1));
/// let mut remote = DrainSet::default();
/// remote.merge(&local);
/// assert!(remote.is_drained(&target));
/// ```
#[data]
#[derive(Default)]
#[serde(from = "Vec<(DrainTarget, DrainMark)>", into = "Vec<(DrainTarget, DrainMark)>")]
pub struct DrainSet {
    marks: IndexMap<DrainTarget, DrainMark>,
}

/// A target that an operator can drain.
#[key]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// An endpoint: it gets no new work.
    Endpoint(EndpointId),
    /// An instance: its entry is removed from the load balancer and its planner revokes its lease.
    Instance(InstanceId),
}

/// Drain state of one target; the later write is the greater one.
#[key]
#[derive(Copy)]
pub struct DrainMark {
    /// Number of writes of this target so far.
    pub counter: u64,
    /// Identity of the write, which breaks ties between concurrent writes.
    pub writer: WriteId,
    /// Whether the target is drained.
    pub drained: bool,
}

impl DrainSet {
    /// Sets the state of a target by a write that follows all writes in this set, and returns it.
    pub fn set(&mut self, target: DrainTarget, drained: bool, writer: WriteId) -> DrainMark {
        let counter = self.marks.get(&target).map_or(0, |mark| mark.counter) + 1;
        let mark = DrainMark { counter, writer, drained };
        self.marks.insert(target, mark);
        mark
    }

    /// Keeps the later mark of each target and returns whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (target, mark) in &other.marks {
            if self.is_newer(target, mark) {
                self.marks.insert(target.clone(), *mark);
                changed = true;
            }
        }
        changed
    }

    /// Returns whether this set contains every mark of `other` or a later one of the same target.
    pub fn covers(&self, other: &Self) -> bool {
        other.marks.iter().all(|(target, mark)| !self.is_newer(target, mark))
    }

    /// Returns whether a target is drained.
    pub fn is_drained(&self, target: &DrainTarget) -> bool {
        self.marks.get(target).is_some_and(|mark| mark.drained)
    }

    /// Returns the targets with their marks.
    pub fn marks(&self) -> impl Iterator<Item = (&DrainTarget, &DrainMark)> {
        self.marks.iter()
    }

    /// Returns a hash that does not depend on the order of the marks.
    pub fn state_hash(&self) -> u64 {
        self.marks.iter().map(|mark| stable_hash(&mark)).fold(0, u64::wrapping_add)
    }

    fn is_newer(&self, target: &DrainTarget, mark: &DrainMark) -> bool {
        self.marks.get(target).is_none_or(|own| mark > own)
    }
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(id) => write!(f, "endpoint {id}"),
            Self::Instance(id) => write!(f, "instance {id}"),
        }
    }
}

impl From<Vec<(DrainTarget, DrainMark)>> for DrainSet {
    fn from(marks: Vec<(DrainTarget, DrainMark)>) -> Self {
        Self { marks: marks.into_iter().collect() }
    }
}

impl From<DrainSet> for Vec<(DrainTarget, DrainMark)> {
    fn from(set: DrainSet) -> Self {
        set.marks.into_iter().collect()
    }
}
