use carobwick_derive::data;
use carobwick_derive::key;
use indexmap::IndexMap;

use crate::EndpointId;
use crate::InstanceId;
use crate::WriteId;

/// Drained targets, each a register whose last writer wins.
#[data]
#[derive(Default)]
pub struct DrainSet {
    marks: IndexMap<DrainTarget, DrainMark>,
}

/// What an operator drains.
#[key]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// An endpoint: it gets no new work.
    Endpoint(EndpointId),
    /// An instance: its entry leaves the balancer and its planner gives up its lease.
    Instance(InstanceId),
}

/// State of one target.
#[key]
#[derive(Copy)]
pub struct DrainMark {
    /// Counts the writes of this target.
    pub counter: u64,
    /// Breaks ties between concurrent writes.
    pub writer: WriteId,
    /// Whether the target is drained.
    pub drained: bool,
}

impl DrainSet {
    /// Sets the state of a target, as a write that follows all writes in this set.
    pub fn set(&mut self, target: DrainTarget, drained: bool, writer: WriteId) -> DrainMark {
        let counter = self.marks.get(&target).map_or(0, |mark| mark.counter) + 1;
        let mark = DrainMark { counter, writer, drained };
        self.marks.insert(target, mark);
        mark
    }

    /// Takes over the later mark of each target and returns whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (target, mark) in &other.marks {
            let newer = self.marks.get(target).is_none_or(|own| mark > own);
            if newer {
                self.marks.insert(target.clone(), *mark);
                changed = true;
            }
        }
        changed
    }

    /// Returns whether a target is drained.
    pub fn is_drained(&self, target: &DrainTarget) -> bool {
        self.marks.get(target).is_some_and(|mark| mark.drained)
    }

    /// Returns the marks.
    pub fn marks(&self) -> impl Iterator<Item = (&DrainTarget, &DrainMark)> {
        self.marks.iter()
    }
}
