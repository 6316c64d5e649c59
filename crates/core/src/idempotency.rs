use carobwick_derive::data;
use carobwick_derive::key;

use crate::Error;
use crate::Fingerprint;
use crate::InstanceId;
use crate::Result;
use crate::WriteId;

/// Attempts at one write of the record before the key-value service counts as unavailable.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// Size of the largest body that is stored with a record; the key-value service limits values to 1 MB.
const MAX_STORED_BYTES: usize = 900_000;

/// State machine of one request with an idempotency key, at the entry that received it.
///
/// The idempotency record is created before the request is sent, and completed after its response has
/// arrived. A request is executed only after its own create took effect, so of all requests with the same key
/// at most one is.
#[derive(Debug, Clone)]
pub struct KeyedRequest {
    record: IdempotencyRecord,
    phase: Phase,
    attempts: u32,
}

/// Idempotency record, stored in the key-value service.
#[data]
pub struct IdempotencyRecord {
    /// Id of the write that created the record.
    pub write: WriteId,
    /// Entry that sends the request.
    pub entry: InstanceId,
    /// Hash of the caller, the key and the request, so that a key can't be used for another request.
    pub fingerprint: Fingerprint,
    /// Wall-clock time, in milliseconds since the Unix epoch, after which the outcome of a request that is
    /// not done is unknown.
    pub until_ms: u64,
    /// State of the request.
    pub state: IdempotencyState,
}

/// State of a request with an idempotency key.
#[data]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyState {
    /// The request is about to be sent, was sent, or failed.
    Started,
    /// The response arrived.
    Done(StoredResponse),
}

/// Response that is stored for duplicates of the request.
#[data]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: String,
    /// Body; encoded after the JSON of the record.
    #[serde(skip)]
    pub body: Vec<u8>,
    /// Whether the body was small enough to be stored.
    pub kept: bool,
}

/// Event of a request with an idempotency key, or of a call to the key-value service for its record.
#[derive(Debug, Clone, PartialEq)]
pub enum IdempotencyEvent {
    /// The request arrived.
    Arrived,
    /// The write took effect at this revision.
    Written(u64),
    /// The write did not take effect; holds the current record and its revision, or `None` if there is none.
    Conflict(Option<(IdempotencyRecord, u64)>),
    /// The reply was lost; the write may have taken effect or may still take effect.
    ReplyLost,
    /// The write certainly had no effect.
    Unavailable,
    /// The record was read; holds it and its revision, or `None` if there is none.
    Read(Option<(IdempotencyRecord, u64)>),
    /// The response to the request arrived.
    Answered(StoredResponse),
    /// The request failed and was certainly not executed.
    NotRun,
    /// The request failed and may have been executed.
    Abandoned,
}

/// Next step for a request with an idempotency key.
#[derive(Debug, Clone, PartialEq)]
pub enum IdempotencyStep {
    /// Do nothing.
    Wait,
    /// Write the record if the key is absent.
    Create(IdempotencyRecord),
    /// Read the record, to learn whether a write whose reply was lost took effect.
    ReadBack,
    /// Send the request.
    Run,
    /// Respond with the stored response.
    Replay(StoredResponse),
    /// Refuse the request without sending it.
    Refuse(IdempotencyRefusal),
    /// Write the record if it is still at this revision.
    Complete(IdempotencyRecord, u64),
    /// Delete the record if it is still at this revision.
    Delete(u64),
    /// Nothing is left to do for the record.
    Close,
}

/// Why a request with an idempotency key is refused.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyRefusal {
    /// The first request with the key is still in progress.
    InProgress,
    /// The first request with the key may have been executed; its response is not known.
    OutcomeUnknown,
    /// The first request with the key is done, but its response was too large to store.
    NotKept,
    /// The key was used for another request.
    KeyReused,
    /// The key-value service is unavailable.
    Unavailable,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    New,
    Creating,
    Executing { revision: u64 },
    Completing { revision: u64 },
    Deleting { revision: u64 },
    Closed,
}

impl KeyedRequest {
    /// Creates the state machine with the record that this request would create.
    pub fn new(write: WriteId, entry: InstanceId, fingerprint: Fingerprint, until_ms: u64) -> Self {
        let record =
            IdempotencyRecord { write, entry, fingerprint, until_ms, state: IdempotencyState::Started };
        Self { record, phase: Phase::New, attempts: 0 }
    }

    /// Handles an event at `wall_ms`, in milliseconds since the Unix epoch, and returns the next step.
    pub fn on_event(&mut self, event: IdempotencyEvent, wall_ms: u64) -> IdempotencyStep {
        match self.phase {
            Phase::New if event == IdempotencyEvent::Arrived => {
                self.phase = Phase::Creating;
                IdempotencyStep::Create(self.record.clone())
            }
            Phase::Creating => self.on_create(event, wall_ms),
            Phase::Executing { revision } => self.on_executed(event, revision),
            Phase::Completing { revision } => self.on_complete(&event, revision),
            Phase::Deleting { .. } => {
                // If the deletion fails, duplicates are refused although the request was not executed, which
                // is safe.
                self.phase = Phase::Closed;
                IdempotencyStep::Close
            }
            Phase::New | Phase::Closed => IdempotencyStep::Wait,
        }
    }

    fn on_create(&mut self, event: IdempotencyEvent, wall_ms: u64) -> IdempotencyStep {
        match event {
            IdempotencyEvent::Written(revision) => self.start_execution(revision),
            IdempotencyEvent::Conflict(Some((found, revision)))
            | IdempotencyEvent::Read(Some((found, revision))) => {
                if found.write == self.record.write {
                    return self.start_execution(revision);
                }
                self.phase = Phase::Closed;
                self.respond_to_duplicate(found, wall_ms)
            }
            // The record was deleted or its lease expired before the read, or the create has not arrived yet.
            // The retry has the same write id, so it takes effect at most once.
            IdempotencyEvent::Conflict(None) | IdempotencyEvent::Read(None) => {
                self.retry(IdempotencyStep::Create(self.record.clone()))
            }
            IdempotencyEvent::ReplyLost => self.retry(IdempotencyStep::ReadBack),
            IdempotencyEvent::Unavailable => self.refuse(IdempotencyRefusal::Unavailable),
            _ => IdempotencyStep::Wait,
        }
    }

    fn on_executed(&mut self, event: IdempotencyEvent, revision: u64) -> IdempotencyStep {
        match event {
            IdempotencyEvent::Answered(mut response) => {
                response.kept = response.body.len() <= MAX_STORED_BYTES;
                if !response.kept {
                    response.body.clear();
                }
                self.record.state = IdempotencyState::Done(response);
                self.complete(revision)
            }
            IdempotencyEvent::NotRun => {
                self.phase = Phase::Deleting { revision };
                IdempotencyStep::Delete(revision)
            }
            IdempotencyEvent::Abandoned => {
                // Duplicates that arrive from now on learn at once that the outcome is unknown.
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
            // This write or an earlier one whose reply was lost took effect, or the lease of the record
            // expired.
            IdempotencyEvent::Written(_) | IdempotencyEvent::Conflict(_) | IdempotencyEvent::Read(_) => {
                self.close()
            }
            _ => IdempotencyStep::Wait,
        }
    }

    fn complete(&mut self, revision: u64) -> IdempotencyStep {
        self.phase = Phase::Completing { revision };
        self.attempts = 0;
        IdempotencyStep::Complete(self.record.clone(), revision)
    }

    /// Allows the request to be sent; the only place that does.
    fn start_execution(&mut self, revision: u64) -> IdempotencyStep {
        assert!(self.phase == Phase::Creating, "I5: a request with a key is sent without its own create");
        self.phase = Phase::Executing { revision };
        IdempotencyStep::Run
    }

    fn respond_to_duplicate(&self, found: IdempotencyRecord, wall_ms: u64) -> IdempotencyStep {
        if found.fingerprint != self.record.fingerprint {
            return IdempotencyStep::Refuse(IdempotencyRefusal::KeyReused);
        }
        match found.state {
            IdempotencyState::Done(response) if response.kept => IdempotencyStep::Replay(response),
            IdempotencyState::Done(_) => IdempotencyStep::Refuse(IdempotencyRefusal::NotKept),
            IdempotencyState::Started if wall_ms < found.until_ms => {
                IdempotencyStep::Refuse(IdempotencyRefusal::InProgress)
            }
            IdempotencyState::Started => IdempotencyStep::Refuse(IdempotencyRefusal::OutcomeUnknown),
        }
    }

    fn retry(&mut self, step: IdempotencyStep) -> IdempotencyStep {
        self.attempts += 1;
        if self.attempts < MAX_WRITE_ATTEMPTS {
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
    /// Encodes the record as one line of JSON, followed by the body of a stored response.
    ///
    /// # Errors
    ///
    /// Returns an error if the record can't be written as JSON.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = serde_json::to_vec(self)?;
        bytes.push(b'\n');
        if let IdempotencyState::Done(response) = &self.state {
            bytes.extend_from_slice(&response.body);
        }
        Ok(bytes)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the first line is missing or is not the JSON of a record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let end = end.ok_or_else(|| Error::data("idempotency record has no line end after its JSON"))?;
        let mut record: Self = serde_json::from_slice(&bytes[..end])?;
        if let IdempotencyState::Done(response) = &mut record.state {
            response.body = bytes[end + 1..].to_vec();
        }
        Ok(record)
    }
}
