//! Lifecycle of a request: when it is resumed, sent again, refused or ended by an error event.

use std::time::Duration;

use carobwick_core::AttemptId;
use carobwick_core::Delivery;
use carobwick_core::DeliveryEvent;
use carobwick_core::DeliveryParams;
use carobwick_core::DeliveryStep;
use carobwick_core::FailureReason;
use carobwick_core::RequestId;
use carobwick_core::ResponseFormat;
use carobwick_core::RunStatus;
use carobwick_core::Time;
use test_case::test_case;

const DEADLINE: Time = Time(10_000_000);

/// Starts a request and returns it with its first attempt, sent.
fn sent(format: ResponseFormat, repeatable: bool) -> (Delivery, AttemptId) {
    let params =
        DeliveryParams { request: RequestId(1), format, repeatable, deadline: DEADLINE, max_attempts: 2 };
    let mut delivery = Delivery::new(params);
    let DeliveryStep::Send { attempt } = delivery.on(DeliveryEvent::Accepted, Time::ZERO) else {
        panic!("the first attempt is not sent");
    };
    delivery.on(DeliveryEvent::Sent { attempt, resumes: true }, Time::ZERO);
    (delivery, attempt)
}

fn head(attempt: AttemptId, status: u16, declined: bool) -> DeliveryEvent {
    DeliveryEvent::Headers { attempt, claimed: Some(attempt), status, declined }
}

/// Guards against a second run of a request that may have run, and against giving up one that can't have.
#[test_case(true, DeliveryEvent::Failed { attempt: AttemptId(0), written: true }, true ; "repeatable, lost")]
#[test_case(false, DeliveryEvent::Failed { attempt: AttemptId(0), written: true }, false ; "single run, lost")]
#[test_case(false, DeliveryEvent::Failed { attempt: AttemptId(0), written: false }, true ; "single run, not written")]
#[test_case(false, DeliveryEvent::Silent { attempt: AttemptId(0) }, false ; "single run, silent")]
#[test_case(false, head(AttemptId(0), 503, true), true ; "single run, declined")]
#[test_case(true, head(AttemptId(0), 503, false), true ; "repeatable, unavailable")]
fn request_is_sent_again_only_if_it_may_be(repeatable: bool, event: DeliveryEvent, again: bool) {
    let (mut delivery, attempt) = sent(ResponseFormat::Chat, repeatable);
    match delivery.on(with_attempt(event, attempt), Time::ZERO) {
        DeliveryStep::Retry { attempt: next } => assert!(again && next != attempt),
        DeliveryStep::Refuse { reason: FailureReason::AnswerLost, run: RunStatus::Unknown } => {
            assert!(!again)
        }
        step => panic!("{step:?}"),
    }
}

/// Guards against an answer that belongs to another attempt.
#[test]
fn answer_with_another_id_is_not_shown() {
    let (mut delivery, attempt) = sent(ResponseFormat::Plain, false);
    let claimed = Some(AttemptId(attempt.0 ^ 1));
    let head = DeliveryEvent::Headers { attempt, claimed, status: 200, declined: false };
    let refused = DeliveryStep::Refuse { reason: FailureReason::AnswerLost, run: RunStatus::Unknown };
    assert_eq!(delivery.on(head, Time::ZERO), refused);
    assert_eq!(delivery.on(DeliveryEvent::End { attempt, complete: true }, Time::ZERO), DeliveryStep::Wait);
}

/// Guards against a stream that is continued by another run, or that ends without `[DONE]` or an error.
#[test]
fn broken_stream_is_resumed_where_it_broke_and_ends_by_an_error() {
    let (mut delivery, first) = sent(ResponseFormat::Stream, true);
    delivery.on(head(first, 200, false), Time::ZERO);
    let chunk = DeliveryEvent::Chunk { attempt: first, events: 3 };
    assert_eq!(delivery.on(chunk, Time::ZERO), DeliveryStep::Forward);
    let broken = DeliveryEvent::End { attempt: first, complete: false };
    let DeliveryStep::Resume { attempt, of, received } = delivery.on(broken, Time::ZERO) else {
        panic!("the stream is not resumed");
    };
    assert_eq!((of, received), (first, 3));
    delivery.on(DeliveryEvent::Sent { attempt, resumes: true }, Time::ZERO);
    assert_eq!(
        delivery.on(chunk, Time::ZERO),
        DeliveryStep::Wait,
        "an event of the broken exchange is shown"
    );
    let step = delivery.on(head(attempt, 410, false), Time::ZERO);
    assert_eq!(step, DeliveryStep::Fail { reason: FailureReason::AnswerLost });
}

/// Guards against `run: no` for a request that is still on its way to an endpoint.
#[test_case(false, RunStatus::Unknown ; "sent")]
#[test_case(true, RunStatus::No ; "not written")]
fn refusal_at_the_deadline_says_whether_it_can_have_run(unwritten: bool, run: RunStatus) {
    let (mut delivery, attempt) = sent(ResponseFormat::Chat, true);
    if unwritten {
        delivery.on(DeliveryEvent::Failed { attempt, written: false }, Time::ZERO);
    }
    let step = delivery.on(DeliveryEvent::TimedOut, DEADLINE + Duration::from_millis(1));
    assert_eq!(step, DeliveryStep::Refuse { reason: FailureReason::Deadline, run });
}

fn with_attempt(event: DeliveryEvent, attempt: AttemptId) -> DeliveryEvent {
    match event {
        DeliveryEvent::Failed { written, .. } => DeliveryEvent::Failed { attempt, written },
        DeliveryEvent::Headers { status, declined, .. } => head(attempt, status, declined),
        _ => DeliveryEvent::Silent { attempt },
    }
}
