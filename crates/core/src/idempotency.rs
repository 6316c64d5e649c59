use carobwick_derive::data;
use carobwick_derive::key;

use crate::Error;
use crate::Fingerprint;
use crate::InstanceId;
use crate::Result;
use crate::WriteId;

/// Attempts at one write of the record, after which the key-value service counts as unavailable.
const MAX_TRIES: u32 = 3;

/// Largest body that is kept with a record; the key-value service takes values up to 1 MB.
const MAX_KEPT: usize = 900_000;

/// Idempotency record of one request with a key, as the entry that received the request sees it.
///
/// The record is created before the request is sent and completed after its answer arrived. A request runs only
/// after its own create took effect, so at most one of all arrivals with the same key runs.
#[derive(Debug, Clone)]
pub struct KeyedRequest {
    record: IdempotencyRecord,
    phase: Phase,
    tries: u32,
}

/// Idempotency record, kept in the key-value service.
#[data]
pub struct IdempotencyRecord {
    /// Identity of the write that created it.
    pub write: WriteId,
    /// Entry that runs the request.
    pub entry: InstanceId,
    /// Hash of the caller, the key and the request, so that a key can't be used for another request.
    pub fingerprint: Fingerprint,
    /// Wall-clock time in milliseconds after which a request that is not done is not in progress any more.
    pub until_ms: u64,
    /// State of the request.
    pub state: IdempotencyState,
}

/// State of a request with a key.
#[data]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyState {
    /// It was about to be sent.
    Started,
    /// Its answer arrived.
    Done(StoredResponse),
}

/// Answer that is kept for duplicates.
#[data]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: String,
    /// Body; kept apart from the rest of the record.
    #[serde(skip)]
    pub body: Vec<u8>,
    /// Whether the body was small enough to be kept.
    pub kept: bool,
}

/// What happened to a record.
#[derive(Debug, Clone, PartialEq)]
pub enum IdempotencyEvent {
    /// The request arrived.
    Arrived,
    /// The write took effect at this revision.
    Written(u64),
    /// The write did not take effect, since the record is as given, with its revision.
    Conflict(Option<(IdempotencyRecord, u64)>),
    /// The reply was lost; the write may have taken effect or may still take effect.
    ReplyLost,
    /// The write certainly had no effect.
    Unavailable,
    /// The record was read, with its revision.
    Read(Option<(IdempotencyRecord, u64)>),
    /// The request's answer arrived.
    Answered(StoredResponse),
    /// The request certainly did not run and is given up.
    NotRun,
    /// The request is given up and may have run.
    Abandoned,
}

/// What to do next with a record.
#[derive(Debug, Clone, PartialEq)]
pub enum IdempotencyStep {
    /// Nothing.
    Wait,
    /// Write the record if the key is absent.
    Create(IdempotencyRecord),
    /// Read the record, to settle a write whose reply was lost.
    ReadBack,
    /// Run the request.
    Run,
    /// Answer with what is stored.
    Replay(StoredResponse),
    /// Answer with a refusal; the request that arrived does not run.
    Refuse(IdempotencyRefusal),
    /// Write the record if its last write has this revision.
    Complete(IdempotencyRecord, u64),
    /// Delete the record if its last write has this revision.
    Delete(u64),
    /// The record is final.
    Close,
}

/// Why a request with a key does not run.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyRefusal {
    /// The first request with the key is still running.
    InProgress,
    /// The first request with the key may have run; its answer is not known.
    OutcomeUnknown,
    /// The first request with the key is done, but its answer was too large to keep.
    NotKept,
    /// The key was used for another request.
    KeyReused,
    /// The key-value service does not answer.
    Unavailable,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    New,
    Creating,
    Running { revision: u64 },
    Completing { revision: u64 },
    Deleting { revision: u64 },
    Closed,
}

impl KeyedRequest {
    /// Starts with the record that this arrival would create.
    pub fn new(write: WriteId, entry: InstanceId, fingerprint: Fingerprint, until_ms: u64) -> Self {
        let record =
            IdempotencyRecord { write, entry, fingerprint, until_ms, state: IdempotencyState::Started };
        Self { record, phase: Phase::New, tries: 0 }
    }

    /// Takes an event at a wall-clock time in milliseconds and returns what to do next.
    pub fn on(&mut self, event: IdempotencyEvent, wall_ms: u64) -> IdempotencyStep {
        match self.phase {
            Phase::New if event == IdempotencyEvent::Arrived => {
                self.phase = Phase::Creating;
                IdempotencyStep::Create(self.record.clone())
            }
            Phase::Creating => self.on_create(event, wall_ms),
            Phase::Running { revision } => self.on_run(event, revision),
            Phase::Completing { revision } => self.on_complete(&event, revision),
            Phase::Deleting { .. } => {
                // If the deletion is lost, duplicates are refused although the request did not run, which is safe.
                self.phase = Phase::Closed;
                IdempotencyStep::Close
            }
            Phase::New | Phase::Closed => IdempotencyStep::Wait,
        }
    }

    fn on_create(&mut self, event: IdempotencyEvent, wall_ms: u64) -> IdempotencyStep {
        match event {
            IdempotencyEvent::Written(revision) => self.run(revision),
            IdempotencyEvent::Conflict(Some((found, revision)))
            | IdempotencyEvent::Read(Some((found, revision))) => {
                if found.write == self.record.write {
                    return self.run(revision);
                }
                self.phase = Phase::Closed;
                self.answer_duplicate(found, wall_ms)
            }
            // The record ended between the write and the read of its conflict, or the create has not arrived yet.
            // The same write is repeated, so it takes effect at most once.
            IdempotencyEvent::Conflict(None) | IdempotencyEvent::Read(None) => {
                self.retry(IdempotencyStep::Create(self.record.clone()))
            }
            IdempotencyEvent::ReplyLost => self.retry(IdempotencyStep::ReadBack),
            IdempotencyEvent::Unavailable => self.refuse(IdempotencyRefusal::Unavailable),
            _ => IdempotencyStep::Wait,
        }
    }

    fn on_run(&mut self, event: IdempotencyEvent, revision: u64) -> IdempotencyStep {
        match event {
            IdempotencyEvent::Answered(mut answer) => {
                answer.kept = answer.body.len() <= MAX_KEPT;
                if !answer.kept {
                    answer.body.clear();
                }
                self.record.state = IdempotencyState::Done(answer);
                self.complete(revision)
            }
            IdempotencyEvent::NotRun => {
                self.phase = Phase::Deleting { revision };
                IdempotencyStep::Delete(revision)
            }
            IdempotencyEvent::Abandoned => {
                // Duplicates need not wait to learn that the outcome is unknown.
                self.record.until_ms = 0;
                self.complete(revision)
            }
            _ => IdempotencyStep::Wait,
        }
    }

    fn on_complete(&mut self, event: &IdempotencyEvent, revision: u64) -> IdempotencyStep {
        match event {
            IdempotencyEvent::ReplyLost => self.retry(IdempotencyStep::ReadBack),
            IdempotencyEvent::Unavailable => {
                self.retry(IdempotencyStep::Complete(self.record.clone(), revision))
            }
            IdempotencyEvent::Read(Some((_, at))) if *at == revision => {
                self.retry(IdempotencyStep::Complete(self.record.clone(), revision))
            }
            // Done: by this write, or by an earlier one whose reply was lost; or the record's lease ended.
            IdempotencyEvent::Written(_) | IdempotencyEvent::Conflict(_) | IdempotencyEvent::Read(_) => {
                self.close()
            }
            _ => IdempotencyStep::Wait,
        }
    }

    fn complete(&mut self, revision: u64) -> IdempotencyStep {
        self.phase = Phase::Completing { revision };
        self.tries = 0;
        IdempotencyStep::Complete(self.record.clone(), revision)
    }

    /// The only place that lets a request with a key run.
    fn run(&mut self, revision: u64) -> IdempotencyStep {
        assert!(self.phase == Phase::Creating, "I5: a request with a key runs without its own create");
        self.phase = Phase::Running { revision };
        IdempotencyStep::Run
    }

    fn answer_duplicate(&self, found: IdempotencyRecord, wall_ms: u64) -> IdempotencyStep {
        if found.fingerprint != self.record.fingerprint {
            return IdempotencyStep::Refuse(IdempotencyRefusal::KeyReused);
        }
        match found.state {
            IdempotencyState::Done(answer) if answer.kept => IdempotencyStep::Replay(answer),
            IdempotencyState::Done(_) => IdempotencyStep::Refuse(IdempotencyRefusal::NotKept),
            IdempotencyState::Started if wall_ms < found.until_ms => {
                IdempotencyStep::Refuse(IdempotencyRefusal::InProgress)
            }
            IdempotencyState::Started => IdempotencyStep::Refuse(IdempotencyRefusal::OutcomeUnknown),
        }
    }

    fn retry(&mut self, step: IdempotencyStep) -> IdempotencyStep {
        self.tries += 1;
        if self.tries < MAX_TRIES {
            return step;
        }
        if self.phase == Phase::Creating {
            self.refuse(IdempotencyRefusal::Unavailable)
        } else {
            self.close()
        }
    }

    fn refuse(&mut self, refusal: IdempotencyRefusal) -> IdempotencyStep {
        self.phase = Phase::Closed;
        IdempotencyStep::Refuse(refusal)
    }

    fn close(&mut self) -> IdempotencyStep {
        self.phase = Phase::Closed;
        IdempotencyStep::Close
    }
}

impl IdempotencyRecord {
    /// Writes the record as one line of JSON, followed by the body of a stored answer.
    ///
    /// # Errors
    ///
    /// Fails if the record can't be written as JSON.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = serde_json::to_vec(self)?;
        bytes.push(b'\n');
        if let IdempotencyState::Done(answer) = &self.state {
            bytes.extend_from_slice(&answer.body);
        }
        Ok(bytes)
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let end = end.ok_or_else(|| Error::data("idempotency record without its first line"))?;
        let mut record: Self = serde_json::from_slice(&bytes[..end])?;
        if let IdempotencyState::Done(answer) = &mut record.state {
            answer.body = bytes[end + 1..].to_vec();
        }
        Ok(record)
    }
}
