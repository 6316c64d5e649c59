use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use carobwick_core::Event;
use carobwick_core::EventKind;
use carobwick_core::InstanceId;

use crate::wall_us;

/// Largest number of events that a process keeps; then it drops the oldest.
const MAX_EVENTS: usize = 4_096;

/// Most recent events of a process, at most 4096.
#[derive(Debug, Clone)]
pub struct Timeline {
    instance: InstanceId,
    process: &'static str,
    buffer: Arc<Mutex<EventBuffer>>,
}

#[derive(Debug, Default)]
struct EventBuffer {
    next_sequence: u64,
    events: VecDeque<Event>,
}

impl Timeline {
    /// Opens an empty timeline of a process, such as `carobwick-planner`.
    pub fn open(instance: InstanceId, process: &'static str) -> Self {
        Self { instance, process, buffer: Arc::default() }
    }

    /// Adds an event at the current time.
    pub fn add(&self, kind: EventKind, detail: impl Into<String>) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let event = Event {
            at: wall_us(),
            sequence: buffer.next_sequence,
            instance: self.instance.clone(),
            process: self.process.to_owned(),
            kind,
            detail: detail.into(),
        };
        buffer.next_sequence += 1;
        if buffer.events.len() == MAX_EVENTS {
            buffer.events.pop_front();
        }
        buffer.events.push_back(event);
    }

    /// Returns the kept events, oldest first.
    pub fn events(&self) -> Vec<Event> {
        let buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.events.iter().cloned().collect()
    }
}
