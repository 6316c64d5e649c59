use crate::DrainSet;

/// Number of times that a refused write of the drains is retried.
const MAX_RETRIES: u32 = 4;

/// Writes the drains to the key-value service by compare-and-swap, merged with those stored there.
#[derive(Debug, Clone, Default)]
pub struct DrainStore {
    retries: u32,
}

/// Outcome of a [`DrainStep`].
#[derive(Debug, Clone, PartialEq)]
pub enum DrainEvent {
    /// The stored drains were read, with the revision of their write; `None` if there are none.
    Read(Option<(u64, DrainSet)>),
    /// The write took effect.
    Written,
    /// The stored drains had another revision, so the write had no effect.
    Refused,
    /// The call failed or its reply was lost.
    Failed,
}

/// Next action of the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum DrainStep {
    /// Read the stored drains.
    Read,
    /// Write the drains if the key still has the expected revision, or if it is absent and none is expected.
    Write {
        /// Revision of the stored drains; `None` if the key is absent.
        expect: Option<u64>,
        /// The drains.
        drains: DrainSet,
    },
    /// Finish: `true` if all drains passed in at the last read are durable, `false` if that is unknown.
    Done(bool),
}

impl DrainStore {
    /// Returns the next action after an event; `own` are the drains of the process.
    ///
    /// The caller merges the stored drains that it reads into its own.
    pub fn next(&mut self, event: DrainEvent, own: &DrainSet) -> DrainStep {
        match event {
            DrainEvent::Read(stored) => {
                let (expect, mut drains) =
                    stored.map_or((None, DrainSet::default()), |(revision, drains)| (Some(revision), drains));
                if drains.merge(own) { DrainStep::Write { expect, drains } } else { DrainStep::Done(true) }
            }
            DrainEvent::Written => DrainStep::Done(true),
            DrainEvent::Refused if self.retries < MAX_RETRIES => {
                self.retries += 1;
                DrainStep::Read
            }
            DrainEvent::Refused | DrainEvent::Failed => DrainStep::Done(false),
        }
    }
}
