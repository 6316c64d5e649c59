use crate::DrainSet;

/// Compare-and-swap attempts of one write of the drains.
const MAX_ATTEMPTS: u32 = 4;

/// One write of the drains to the key-value service, merged with what is stored there.
#[derive(Debug, Clone, Default)]
pub struct DrainStore {
    attempts: u32,
}

/// What became of a [`DrainStep`].
#[derive(Debug, Clone, PartialEq)]
pub enum DrainEvent {
    /// The stored drains were read, with the revision of their write.
    Read(Option<(u64, DrainSet)>),
    /// The write took effect.
    Written,
    /// The stored drains had another revision, so the write had no effect.
    Refused,
    /// The call failed or its reply was lost.
    Failed,
}

/// What the caller does next.
#[derive(Debug, Clone, PartialEq)]
pub enum DrainStep {
    /// Read the stored drains.
    Read,
    /// Write the drains if the key still has this revision, or if it is absent.
    Write {
        /// Revision of the stored drains; `None` if the key is absent.
        expect: Option<u64>,
        /// The drains.
        drains: DrainSet,
    },
    /// All drains given at the last read are durable, or it is not known that they are.
    Done(bool),
}

impl DrainStore {
    /// Returns what to do next, given the drains of the process.
    ///
    /// The caller takes over the stored drains that it reads.
    pub fn next(&mut self, event: DrainEvent, own: &DrainSet) -> DrainStep {
        match event {
            DrainEvent::Read(stored) => {
                let (expect, mut drains) =
                    stored.map_or((None, DrainSet::default()), |(revision, drains)| (Some(revision), drains));
                if drains.merge(own) { DrainStep::Write { expect, drains } } else { DrainStep::Done(true) }
            }
            DrainEvent::Written => DrainStep::Done(true),
            DrainEvent::Refused if self.attempts < MAX_ATTEMPTS => {
                self.attempts += 1;
                DrainStep::Read
            }
            DrainEvent::Refused | DrainEvent::Failed => DrainStep::Done(false),
        }
    }
}
