use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use carobwick_core::Event;
use carobwick_core::EventKind;
use carobwick_core::InstanceId;

use crate::wall_us;

/// Events that a process keeps; older ones are dropped.
const CAPACITY: usize = 4_096;

/// The last events of a process.
#[derive(Debug, Clone)]
pub struct Timeline {
    instance: InstanceId,
    process: &'static str,
    ring: Arc<Mutex<Ring>>,
}

#[derive(Debug, Default)]
struct Ring {
    next: u64,
    events: VecDeque<Event>,
}

impl Timeline {
    /// Opens the timeline of a process.
    pub fn open(instance: InstanceId, process: &'static str) -> Self {
        Self { instance, process, ring: Arc::default() }
    }

    /// Adds an event at the current time.
    pub fn add(&self, kind: EventKind, detail: impl Into<String>) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let event = Event {
            at: wall_us(),
            sequence: ring.next,
            instance: self.instance.clone(),
            process: self.process.to_owned(),
            kind,
            detail: detail.into(),
        };
        ring.next += 1;
        if ring.events.len() == CAPACITY {
            ring.events.pop_front();
        }
        ring.events.push_back(event);
    }

    /// Returns the events that are kept, oldest first.
    pub fn events(&self) -> Vec<Event> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.events.iter().cloned().collect()
    }
}
