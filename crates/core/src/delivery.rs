use std::time::Duration;

use carobwick_derive::data;
use carobwick_derive::key;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::AttemptId;
use crate::RequestId;
use crate::RunStatus;
use crate::Time;

/// Resumes of one stream without an event in between, after which the stream counts as lost.
const MAX_RESUMES: u32 = 2;

/// Lifecycle of one request and its attempts.
///
/// It says what to do after each event, and asserts what must hold for every request: an answer is shown only if it
/// bears the id of the attempt that asked for it, a refusal says `run: no` only if no attempt can have run, and a
/// request that must not repeat has at most one attempt that can have run.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use carobwick_core::ResponseFormat;
/// use carobwick_core::Delivery;
/// use carobwick_core::DeliveryEvent;
/// use carobwick_core::DeliveryStep;
/// use carobwick_core::DeliveryParams;
/// use carobwick_core::RequestId;
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
/// let DeliveryStep::Send { attempt } = delivery.on(DeliveryEvent::Accepted, Time::ZERO) else { panic!() };
/// delivery.on(DeliveryEvent::Sent { attempt, resumes: true }, Time::ZERO);
/// let headers = DeliveryEvent::Headers { attempt, claimed: Some(attempt), status: 200, declined: false };
/// assert_eq!(delivery.on(headers, Time::ZERO), DeliveryStep::Wait);
/// let end = DeliveryEvent::End { attempt, complete: true };
/// assert_eq!(delivery.on(end, Time::ZERO), DeliveryStep::Finish);
/// ```
#[derive(Debug, Clone)]
pub struct Delivery {
    params: DeliveryParams,
    phase: Phase,
    /// Attempts started so far, resumes included.
    started: u32,
    /// Reruns and the first run; resumes don't count.
    runs: u32,
    /// Runs that may have taken effect.
    unsettled: u32,
    /// Complete events shown to the caller.
    shown: u64,
    /// Resumes since the last event.
    resumes: u32,
}

/// What a request asks of its delivery.
#[data]
#[derive(Copy)]
pub struct DeliveryParams {
    /// The request.
    pub request: RequestId,
    /// Form of its answer.
    pub format: ResponseFormat,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time after which no attempt is started.
    pub deadline: Time,
    /// Runs that are allowed, the first one included.
    pub max_attempts: u32,
}

/// Form of an answer, which decides when it is complete.
#[key]
#[derive(Copy)]
pub enum ResponseFormat {
    /// A chat answer in one piece; complete with a `finish_reason`.
    Chat,
    /// A chat stream; complete with `[DONE]`.
    Stream,
    /// An answer of a plain service; complete when its framing says so.
    Plain,
}

/// What happened to a request or to one of its attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DeliveryEvent {
    /// The request was read and admitted.
    Accepted,
    /// The attempt is about to be written to an endpoint; from here on it may run.
    Sent {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the receiver can resume an interrupted stream.
        resumes: bool,
    },
    /// No endpoint takes the attempt, or the retry budget is used up.
    Unplaced {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The head of an answer arrived.
    Headers {
        /// The attempt whose exchange it arrived on.
        attempt: AttemptId,
        /// The attempt id that the answer bears.
        claimed: Option<AttemptId>,
        /// HTTP status.
        status: u16,
        /// Whether the endpoint said that it did not run the request.
        declined: bool,
    },
    /// Complete events of a stream arrived.
    Chunk {
        /// The attempt whose exchange they arrived on.
        attempt: AttemptId,
        /// Number of events.
        events: u64,
    },
    /// The answer ended without an error of its framing.
    End {
        /// The attempt whose exchange ended.
        attempt: AttemptId,
        /// Whether its content is complete, as its form requires.
        complete: bool,
    },
    /// The exchange failed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether any byte of the request may have been written.
        written: bool,
    },
    /// The connection made no progress and answered no pings, and was closed.
    Silent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The request's time is used up.
    TimedOut,
    /// The caller left.
    Cancelled,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DeliveryStep {
    /// Nothing; events of finished attempts and requests end here.
    Wait,
    /// Choose an endpoint and send the first attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Show the events to the caller.
    Forward,
    /// The answer is complete: show it, or end the stream.
    Finish,
    /// Choose an endpoint and send the request again.
    Retry {
        /// The new attempt.
        attempt: AttemptId,
    },
    /// Ask the same endpoint for the rest of the stream.
    Resume {
        /// The new attempt.
        attempt: AttemptId,
        /// The attempt that was interrupted.
        of: AttemptId,
        /// Events that were received.
        received: u64,
    },
    /// Answer with a refusal; nothing was shown.
    Refuse {
        /// Why.
        reason: FailureReason,
        /// Whether the request can have run.
        run: RunStatus,
    },
    /// End the stream by an error event; a part was shown.
    Fail {
        /// Why.
        reason: FailureReason,
    },
}

/// Why a request is given up.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// No endpoint takes it.
    Unplaced,
    /// All attempts failed.
    Exhausted,
    /// Its answer was lost, and it must not run again.
    AnswerLost,
    /// Its time is used up.
    Deadline,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    New,
    Trying(Attempt),
    Closed,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Attempt {
    id: AttemptId,
    /// The attempt that started the run, by which the endpoint knows it; differs from `id` for a resume.
    run: AttemptId,
    /// Whether the endpoint can resume the stream.
    resumes: bool,
    /// Whether the attempt is counted as a run that may have taken effect.
    counted: bool,
    /// Form of the answer, once its head bore the attempt's id.
    answer: Option<ResponseFormat>,
}

impl Delivery {
    /// Starts the lifecycle of a request.
    pub fn new(params: DeliveryParams) -> Self {
        Self { params, phase: Phase::New, started: 0, runs: 0, unsettled: 0, shown: 0, resumes: 0 }
    }

    /// Returns the terms.
    pub fn params(&self) -> &DeliveryParams {
        &self.params
    }

    /// Returns whether a part of the answer was shown to the caller.
    pub fn has_forwarded(&self) -> bool {
        self.shown > 0
    }

    /// Returns what a refusal may say at this point.
    pub fn run_status(&self) -> RunStatus {
        if self.unsettled == 0 { RunStatus::No } else { RunStatus::Unknown }
    }

    /// Returns the time that is left before the deadline.
    pub fn remaining(&self, now: Time) -> Duration {
        self.params.deadline - now
    }

    /// Takes an event and returns what to do next.
    pub fn on(&mut self, event: DeliveryEvent, now: Time) -> DeliveryStep {
        match event {
            DeliveryEvent::Accepted if self.phase == Phase::New => self.start_run(now),
            DeliveryEvent::TimedOut if self.phase != Phase::Closed => {
                self.give_up(FailureReason::Deadline, self.run_status())
            }
            DeliveryEvent::Cancelled => {
                self.phase = Phase::Closed;
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
                Some(current) => self.broken(current, now),
                None => DeliveryStep::Wait,
            },
            DeliveryEvent::Failed { attempt, written } => match self.current(attempt) {
                Some(current) if written => self.broken(current, now),
                Some(current) => self.not_run(current, now),
                None => DeliveryStep::Wait,
            },
            DeliveryEvent::Silent { attempt } => match self.current(attempt) {
                Some(current) => self.broken(current, now),
                None => DeliveryStep::Wait,
            },
        }
    }

    /// Returns the attempt that the request waits for, if it is the given one.
    fn current(&self, id: AttemptId) -> Option<Attempt> {
        match self.phase {
            Phase::Trying(attempt) if attempt.id == id => Some(attempt),
            _ => None,
        }
    }

    fn on_sent(&mut self, id: AttemptId, resumes: bool) -> DeliveryStep {
        if let Some(mut attempt) = self.current(id) {
            attempt.resumes = resumes;
            // A resume continues a run that is counted already.
            if !attempt.is_resume() && !attempt.counted {
                attempt.counted = true;
                self.unsettled += 1;
                assert!(
                    self.params.repeatable || self.unsettled == 1,
                    "I5: second run of a single-run request"
                );
            }
            self.phase = Phase::Trying(attempt);
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
            return self.broken(attempt, now);
        }
        let success = (200..300).contains(&status);
        if attempt.is_resume() && !success {
            attempt.resumes = false;
            return self.broken(attempt, now);
        }
        if declined && is_passing(status) {
            return self.not_run(attempt, now);
        }
        // A service's own 500 is its answer; an engine's says that it failed.
        let failed =
            matches!(status, 429 | 502..=504) || status == 500 && self.params.format != ResponseFormat::Plain;
        if self.params.repeatable && failed {
            return self.broken(attempt, now);
        }
        attempt.answer = Some(if success { self.params.format } else { ResponseFormat::Plain });
        self.phase = Phase::Trying(attempt);
        DeliveryStep::Wait
    }

    fn on_chunk(&mut self, attempt: Attempt, events: u64) -> DeliveryStep {
        if attempt.answer != Some(ResponseFormat::Stream) || events == 0 {
            return DeliveryStep::Wait;
        }
        self.shown += events;
        self.resumes = 0;
        show(attempt, DeliveryStep::Forward)
    }

    fn finish(&mut self, attempt: Attempt) -> DeliveryStep {
        self.phase = Phase::Closed;
        show(attempt, DeliveryStep::Finish)
    }

    /// The attempt certainly did not run.
    fn not_run(&mut self, attempt: Attempt, now: Time) -> DeliveryStep {
        if attempt.is_resume() {
            return self.broken(Attempt { resumes: false, ..attempt }, now);
        }
        if attempt.counted {
            self.unsettled -= 1;
        }
        if self.runs < self.params.max_attempts {
            return self.start_run(now);
        }
        self.give_up(FailureReason::Exhausted, self.run_status())
    }

    /// The attempt may have run, and the rest of its answer will not arrive.
    fn broken(&mut self, attempt: Attempt, now: Time) -> DeliveryStep {
        let streams = attempt.answer == Some(ResponseFormat::Stream) || attempt.is_resume();
        let in_time = self.has_forwarded() || now < self.params.deadline;
        if streams && attempt.resumes && self.resumes < MAX_RESUMES && in_time {
            return self.start_resume(attempt);
        }
        if self.has_forwarded() || !self.params.repeatable {
            return self.give_up(FailureReason::AnswerLost, RunStatus::Unknown);
        }
        if self.runs < self.params.max_attempts {
            return self.start_run(now);
        }
        self.give_up(FailureReason::Exhausted, self.run_status())
    }

    fn start_run(&mut self, now: Time) -> DeliveryStep {
        if now >= self.params.deadline {
            return self.give_up(FailureReason::Deadline, self.run_status());
        }
        assert!(self.params.repeatable || self.unsettled == 0, "I5: rerun of a request that may have run");
        assert!(!self.has_forwarded(), "I3: rerun after a part of another answer was shown");
        let attempt = self.next_attempt(None);
        self.runs += 1;
        if self.runs == 1 { DeliveryStep::Send { attempt } } else { DeliveryStep::Retry { attempt } }
    }

    fn start_resume(&mut self, of: Attempt) -> DeliveryStep {
        self.resumes += 1;
        let attempt = self.next_attempt(Some(of.run));
        DeliveryStep::Resume { attempt, of: of.run, received: self.shown }
    }

    fn next_attempt(&mut self, interrupted: Option<AttemptId>) -> AttemptId {
        self.started += 1;
        let id = AttemptId(xxh3_64_with_seed(&self.started.to_le_bytes(), self.params.request.0));
        let run = interrupted.unwrap_or(id);
        let resumes = interrupted.is_some();
        self.phase = Phase::Trying(Attempt { id, run, resumes, counted: false, answer: None });
        id
    }

    fn give_up(&mut self, reason: FailureReason, run: RunStatus) -> DeliveryStep {
        self.phase = Phase::Closed;
        if self.has_forwarded() {
            return DeliveryStep::Fail { reason };
        }
        assert!(run == RunStatus::Unknown || self.unsettled == 0, "I4: a refused request may have run");
        DeliveryStep::Refuse { reason, run }
    }
}

impl Attempt {
    fn is_resume(&self) -> bool {
        self.id != self.run
    }
}

/// The only place from which a part of an answer is shown.
fn show(attempt: Attempt, step: DeliveryStep) -> DeliveryStep {
    assert!(attempt.answer.is_some(), "I3: an answer without the attempt's own id is shown");
    step
}

/// Returns whether a declined request may be accepted by another endpoint or a little later.
fn is_passing(status: u16) -> bool {
    matches!(status, 404 | 408 | 409 | 421 | 425 | 429 | 500..=599)
}
