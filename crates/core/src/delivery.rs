use std::time::Duration;

use carobwick_derive::data;
use carobwick_derive::key;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::AttemptId;
use crate::RequestId;
use crate::RunStatus;
use crate::Time;

/// Maximum number of resumes of a stream without a new event; after that the stream is not resumed again.
const MAX_RESUMES: u32 = 2;

/// State machine of one request and its attempts.
///
/// It returns what to do after each event, and asserts three invariants for every request:
///
/// - I3: A response is forwarded only if it carries the id of the attempt it belongs to, and parts of
///   different responses are not mixed.
/// - I4: A refusal says `run: no` only if no attempt can have been executed.
/// - I5: A request that is not repeatable has at most one attempt that can have been executed.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use carobwick_core::Delivery;
/// use carobwick_core::DeliveryEvent;
/// use carobwick_core::DeliveryParams;
/// use carobwick_core::DeliveryStep;
/// use carobwick_core::RequestId;
/// use carobwick_core::ResponseFormat;
/// use carobwick_core::Time;
///
/// let params = DeliveryParams {
///     request: RequestId(7),
///     format: ResponseFormat::Chat,
///     repeatable: true,
///     deadline: Time::ZERO + Duration::from_secs(30),
///     max_attempts: 3,
/// };
/// let mut delivery = Delivery::new(params);
/// let DeliveryStep::Send { attempt } = delivery.on_event(DeliveryEvent::Accepted, Time::ZERO) else { panic!() };
/// delivery.on_event(DeliveryEvent::Sent { attempt, resumes: true }, Time::ZERO);
/// let headers = DeliveryEvent::Headers { attempt, claimed: Some(attempt), status: 200, declined: false };
/// assert_eq!(delivery.on_event(headers, Time::ZERO), DeliveryStep::Wait);
/// let end = DeliveryEvent::End { attempt, complete: true };
/// assert_eq!(delivery.on_event(end, Time::ZERO), DeliveryStep::Finish);
/// ```
#[derive(Debug, Clone)]
pub struct Delivery {
    params: DeliveryParams,
    phase: Phase,
    /// Number of attempt ids issued so far, including those of resumes; the next id is derived from it.
    issued_ids: u32,
    /// Number of attempts started so far, not counting resumes.
    attempts: u32,
    /// Number of attempts that an endpoint may have executed.
    possible_executions: u32,
    /// Number of complete events forwarded to the caller.
    forwarded: u64,
    /// Number of resumes since the last event that arrived.
    resumes: u32,
}

/// Parameters of the delivery of one request.
#[data]
#[derive(Copy)]
pub struct DeliveryParams {
    /// Id of the request, from which the ids of its attempts are derived.
    pub request: RequestId,
    /// Format of its response.
    pub format: ResponseFormat,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// Time after which no attempt is started.
    pub deadline: Time,
    /// Limit on attempts, not counting resumes.
    pub max_attempts: u32,
}

/// Format of a response, which decides when it is complete.
#[key]
#[derive(Copy)]
pub enum ResponseFormat {
    /// A chat response in one body; complete with a `finish_reason`.
    Chat,
    /// A chat stream; complete with `[DONE]`.
    Stream,
    /// A response of a plain service; complete when its HTTP framing says so.
    Plain,
}

/// Event of a request or of one of its attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DeliveryEvent {
    /// The request was received completely and admitted.
    Accepted,
    /// The attempt is about to be written to an endpoint; from here on it may be executed.
    Sent {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the receiver can resume an interrupted stream.
        resumes: bool,
    },
    /// No endpoint can take the attempt, or the retry budget is used up.
    Unplaced {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The head of a response arrived.
    Headers {
        /// The attempt to which the HTTP exchange belongs.
        attempt: AttemptId,
        /// The attempt id that the response carries.
        claimed: Option<AttemptId>,
        /// HTTP status.
        status: u16,
        /// Whether the endpoint reported that it did not execute the request.
        declined: bool,
    },
    /// Complete events of a stream arrived.
    Chunk {
        /// The attempt to which the HTTP exchange belongs.
        attempt: AttemptId,
        /// Number of events.
        events: u64,
    },
    /// The response ended without a framing error.
    End {
        /// The attempt to which the HTTP exchange belongs.
        attempt: AttemptId,
        /// Whether its content is complete, as its format requires.
        complete: bool,
    },
    /// The HTTP exchange failed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether any byte of the request may have been written.
        written: bool,
    },
    /// The endpoint was unresponsive: its connection made no progress, did not answer pings and was closed.
    Silent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The deadline of the request has passed.
    TimedOut,
    /// The caller closed its connection.
    Cancelled,
}

/// Next step of a delivery.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DeliveryStep {
    /// Do nothing; also returned for events of attempts and requests that have ended.
    Wait,
    /// Choose an endpoint and send the first attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Forward the events to the caller.
    Forward,
    /// Forward the complete response, or end the stream.
    Finish,
    /// Choose an endpoint and send the request again.
    Retry {
        /// The new attempt.
        attempt: AttemptId,
    },
    /// Request the rest of the stream from the same endpoint.
    Resume {
        /// The new attempt.
        attempt: AttemptId,
        /// The attempt that started the stream, under whose id the endpoint keeps it.
        of: AttemptId,
        /// Number of events that were received.
        received: u64,
    },
    /// Refuse the request; nothing was forwarded.
    Refuse {
        /// Reason of the refusal.
        reason: FailureReason,
        /// Whether the request may have been executed.
        run: RunStatus,
    },
    /// End the stream with an error event; a part of it was forwarded.
    Fail {
        /// Reason of the failure.
        reason: FailureReason,
    },
}

/// Why a request failed.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// No endpoint can take it, or the retry budget is used up.
    Unplaced,
    /// All attempts failed.
    Exhausted,
    /// Its response was lost, and it must not be executed again.
    AnswerLost,
    /// Its deadline has passed.
    Deadline,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    New,
    InProgress(Attempt),
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Attempt {
    id: AttemptId,
    /// The attempt that started the stream, under whose id the endpoint keeps it; differs from `id` for a
    /// resume.
    origin: AttemptId,
    /// Whether the endpoint can resume the stream.
    resumable: bool,
    /// Whether the attempt is counted in `possible_executions`.
    is_counted: bool,
    /// Format of the response, set when a head with the attempt's id has arrived.
    response: Option<ResponseFormat>,
}

impl Delivery {
    /// Creates the state machine of a request that has not been admitted yet.
    pub fn new(params: DeliveryParams) -> Self {
        Self {
            params,
            phase: Phase::New,
            issued_ids: 0,
            attempts: 0,
            possible_executions: 0,
            forwarded: 0,
            resumes: 0,
        }
    }

    /// Returns the parameters.
    pub fn params(&self) -> &DeliveryParams {
        &self.params
    }

    /// Returns whether a part of the response was forwarded to the caller.
    pub fn has_forwarded(&self) -> bool {
        self.forwarded > 0
    }

    /// Returns whether the request may have been executed so far.
    pub fn run_status(&self) -> RunStatus {
        if self.possible_executions == 0 { RunStatus::No } else { RunStatus::Unknown }
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self, now: Time) -> Duration {
        self.params.deadline - now
    }

    /// Handles an event and returns the next step.
    pub fn on_event(&mut self, event: DeliveryEvent, now: Time) -> DeliveryStep {
        match event {
            DeliveryEvent::Accepted if self.phase == Phase::New => self.start_attempt(now),
            DeliveryEvent::TimedOut if self.phase != Phase::Ended => {
                self.give_up(FailureReason::Deadline, self.run_status())
            }
            DeliveryEvent::Cancelled => {
                self.phase = Phase::Ended;
                DeliveryStep::Wait
            }
            DeliveryEvent::Accepted | DeliveryEvent::TimedOut => DeliveryStep::Wait,
            DeliveryEvent::Sent { attempt, resumes } => self.on_sent(attempt, resumes),
            DeliveryEvent::Unplaced { attempt } => match self.current(attempt) {
                Some(_) => self.give_up(FailureReason::Unplaced, self.run_status()),
                None => DeliveryStep::Wait,
            },
            DeliveryEvent::Headers { attempt, claimed, status, declined } => match self.current(attempt) {
                Some(current) => self.on_headers(current, claimed, status, declined, now),
                None => DeliveryStep::Wait,
            },
            DeliveryEvent::Chunk { attempt, events } => match self.current(attempt) {
                Some(current) => self.on_chunk(current, events),
                None => DeliveryStep::Wait,
            },
            DeliveryEvent::End { attempt, complete } => match self.current(attempt) {
                Some(current) if complete => self.finish(current),
                Some(current) => self.on_lost_response(current, now),
                None => DeliveryStep::Wait,
            },
            DeliveryEvent::Failed { attempt, written } => match self.current(attempt) {
                Some(current) if written => self.on_lost_response(current, now),
                Some(current) => self.on_not_executed(current, now),
                None => DeliveryStep::Wait,
            },
            DeliveryEvent::Silent { attempt } => match self.current(attempt) {
                Some(current) => self.on_lost_response(current, now),
                None => DeliveryStep::Wait,
            },
        }
    }

    /// Returns the attempt in progress if its id is `id`.
    fn current(&self, id: AttemptId) -> Option<Attempt> {
        match self.phase {
            Phase::InProgress(attempt) if attempt.id == id => Some(attempt),
            _ => None,
        }
    }

    fn on_sent(&mut self, id: AttemptId, resumes: bool) -> DeliveryStep {
        if let Some(mut attempt) = self.current(id) {
            attempt.resumable = resumes;
            // A resume continues an attempt that is already counted.
            if !attempt.is_resume() && !attempt.is_counted {
                attempt.is_counted = true;
                self.possible_executions += 1;
                assert!(
                    self.params.repeatable || self.possible_executions == 1,
                    "I5: second execution of a request that is not repeatable"
                );
            }
            self.phase = Phase::InProgress(attempt);
        }
        DeliveryStep::Wait
    }

    fn on_headers(
        &mut self,
        mut attempt: Attempt,
        claimed: Option<AttemptId>,
        status: u16,
        declined: bool,
        now: Time,
    ) -> DeliveryStep {
        if claimed != Some(attempt.id) {
            return self.on_lost_response(attempt, now);
        }
        let success = (200..300).contains(&status);
        if attempt.is_resume() && !success {
            attempt.resumable = false;
            return self.on_lost_response(attempt, now);
        }
        if declined && is_retryable(status) {
            return self.on_not_executed(attempt, now);
        }
        // A plain service may respond with 500; a 500 of an engine means that the engine failed.
        let failed =
            matches!(status, 429 | 502..=504) || status == 500 && self.params.format != ResponseFormat::Plain;
        if self.params.repeatable && failed {
            return self.on_lost_response(attempt, now);
        }
        attempt.response = Some(if success { self.params.format } else { ResponseFormat::Plain });
        self.phase = Phase::InProgress(attempt);
        DeliveryStep::Wait
    }

    fn on_chunk(&mut self, attempt: Attempt, events: u64) -> DeliveryStep {
        if attempt.response != Some(ResponseFormat::Stream) || events == 0 {
            return DeliveryStep::Wait;
        }
        self.forwarded += events;
        self.resumes = 0;
        checked_step(attempt, DeliveryStep::Forward)
    }

    fn finish(&mut self, attempt: Attempt) -> DeliveryStep {
        self.phase = Phase::Ended;
        checked_step(attempt, DeliveryStep::Finish)
    }

    /// Handles an attempt that was certainly not executed.
    fn on_not_executed(&mut self, attempt: Attempt, now: Time) -> DeliveryStep {
        if attempt.is_resume() {
            return self.on_lost_response(Attempt { resumable: false, ..attempt }, now);
        }
        if attempt.is_counted {
            self.possible_executions -= 1;
        }
        if self.attempts < self.params.max_attempts {
            return self.start_attempt(now);
        }
        self.give_up(FailureReason::Exhausted, self.run_status())
    }

    /// Handles an attempt that may have been executed and whose response will not be completed.
    fn on_lost_response(&mut self, attempt: Attempt, now: Time) -> DeliveryStep {
        let is_stream = attempt.response == Some(ResponseFormat::Stream) || attempt.is_resume();
        let may_continue = self.has_forwarded() || now < self.params.deadline;
        if is_stream && attempt.resumable && self.resumes < MAX_RESUMES && may_continue {
            return self.start_resume(attempt);
        }
        if self.has_forwarded() || !self.params.repeatable {
            return self.give_up(FailureReason::AnswerLost, RunStatus::Unknown);
        }
        if self.attempts < self.params.max_attempts {
            return self.start_attempt(now);
        }
        self.give_up(FailureReason::Exhausted, self.run_status())
    }

    fn start_attempt(&mut self, now: Time) -> DeliveryStep {
        if now >= self.params.deadline {
            return self.give_up(FailureReason::Deadline, self.run_status());
        }
        assert!(
            self.params.repeatable || self.possible_executions == 0,
            "I5: retry of a request that may have run"
        );
        assert!(!self.has_forwarded(), "I3: retry after a part of another response was forwarded");
        let attempt = self.next_attempt(None);
        self.attempts += 1;
        if self.attempts == 1 { DeliveryStep::Send { attempt } } else { DeliveryStep::Retry { attempt } }
    }

    fn start_resume(&mut self, interrupted: Attempt) -> DeliveryStep {
        self.resumes += 1;
        let attempt = self.next_attempt(Some(interrupted.origin));
        DeliveryStep::Resume { attempt, of: interrupted.origin, received: self.forwarded }
    }

    fn next_attempt(&mut self, resumed: Option<AttemptId>) -> AttemptId {
        self.issued_ids += 1;
        let id = AttemptId(xxh3_64_with_seed(&self.issued_ids.to_le_bytes(), self.params.request.0));
        let origin = resumed.unwrap_or(id);
        let resumable = resumed.is_some();
        self.phase = Phase::InProgress(Attempt { id, origin, resumable, is_counted: false, response: None });
        id
    }

    fn give_up(&mut self, reason: FailureReason, run: RunStatus) -> DeliveryStep {
        self.phase = Phase::Ended;
        if self.has_forwarded() {
            return DeliveryStep::Fail { reason };
        }
        assert!(
            run == RunStatus::Unknown || self.possible_executions == 0,
            "I4: a refused request may have run"
        );
        DeliveryStep::Refuse { reason, run }
    }
}

impl Attempt {
    fn is_resume(&self) -> bool {
        self.id != self.origin
    }
}

/// Returns `step` after checking that the response belongs to the attempt.
///
/// Every step that forwards a part of a response is returned through this function.
fn checked_step(attempt: Attempt, step: DeliveryStep) -> DeliveryStep {
    assert!(attempt.response.is_some(), "I3: a response without the attempt's own id is forwarded");
    step
}

/// Returns whether a request declined with this status may be accepted by another endpoint, or later.
fn is_retryable(status: u16) -> bool {
    matches!(status, 404 | 408 | 409 | 421 | 425 | 429 | 500..=599)
}
