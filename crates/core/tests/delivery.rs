//! `Delivery`: when a request is resumed, retried, refused or ended with an error event.

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

/// Returns a delivery whose first attempt was sent, and the id of the attempt.
fn sent(format: ResponseFormat, repeatable: bool) -> (Delivery, AttemptId) {
    let params =
        DeliveryParams { request: RequestId(1), format, repeatable, deadline: DEADLINE, max_attempts: 2 };
    let mut delivery = Delivery::new(params);
    let DeliveryStep::Send { attempt } = delivery.on_event(DeliveryEvent::Accepted, Time::ZERO) else {
        panic!("the first attempt was not sent");
    };
    delivery.on_event(DeliveryEvent::Sent { attempt, resumes: true }, Time::ZERO);
    (delivery, attempt)
}

fn headers(attempt: AttemptId, status: u16, declined: bool) -> DeliveryEvent {
    DeliveryEvent::Headers { attempt, claimed: Some(attempt), status, declined }
}

/// Guards against executing a request twice that is not repeatable, and against refusing one that was not
/// executed.
#[test_case(true, DeliveryEvent::Failed { attempt: AttemptId(0), written: true }, true ; "repeatable, connection lost")]
#[test_case(false, DeliveryEvent::Failed { attempt: AttemptId(0), written: true }, false ; "not repeatable, connection lost")]
#[test_case(false, DeliveryEvent::Failed { attempt: AttemptId(0), written: false }, true ; "not repeatable, not written")]
#[test_case(false, DeliveryEvent::Silent { attempt: AttemptId(0) }, false ; "not repeatable, unresponsive")]
#[test_case(false, headers(AttemptId(0), 503, true), true ; "not repeatable, declined")]
#[test_case(true, headers(AttemptId(0), 503, false), true ; "repeatable, unavailable")]
fn request_is_retried_only_if_it_may_be_executed_again(repeatable: bool, event: DeliveryEvent, redo: bool) {
    let (mut delivery, attempt) = sent(ResponseFormat::Chat, repeatable);
    match delivery.on_event(with_attempt(event, attempt), Time::ZERO) {
        DeliveryStep::Retry { attempt: next } => assert!(redo && next != attempt),
        DeliveryStep::Refuse { reason: FailureReason::AnswerLost, run: RunStatus::Unknown } => assert!(!redo),
        step => panic!("{step:?}"),
    }
}

/// Guards against forwarding a response that belongs to another attempt.
#[test]
fn response_with_another_id_is_not_forwarded() {
    let (mut delivery, attempt) = sent(ResponseFormat::Plain, false);
    let claimed = Some(AttemptId(attempt.0 ^ 1));
    let headers = DeliveryEvent::Headers { attempt, claimed, status: 200, declined: false };
    let refused = DeliveryStep::Refuse { reason: FailureReason::AnswerLost, run: RunStatus::Unknown };
    assert_eq!(delivery.on_event(headers, Time::ZERO), refused);
    assert_eq!(
        delivery.on_event(DeliveryEvent::End { attempt, complete: true }, Time::ZERO),
        DeliveryStep::Wait
    );
}

/// Guards against continuing a stream with the output of another execution, and against a stream that ends
/// without `[DONE]` or an error event.
#[test]
fn broken_stream_is_resumed_and_then_ends_with_an_error() {
    let (mut delivery, first) = sent(ResponseFormat::Stream, true);
    delivery.on_event(headers(first, 200, false), Time::ZERO);
    let chunk = DeliveryEvent::Chunk { attempt: first, events: 3 };
    assert_eq!(delivery.on_event(chunk, Time::ZERO), DeliveryStep::Forward);
    let broken = DeliveryEvent::End { attempt: first, complete: false };
    let DeliveryStep::Resume { attempt, of, received } = delivery.on_event(broken, Time::ZERO) else {
        panic!("the stream was not resumed");
    };
    assert_eq!((of, received), (first, 3));
    delivery.on_event(DeliveryEvent::Sent { attempt, resumes: true }, Time::ZERO);
    assert_eq!(
        delivery.on_event(chunk, Time::ZERO),
        DeliveryStep::Wait,
        "an event of the broken exchange was forwarded"
    );
    let step = delivery.on_event(headers(attempt, 410, false), Time::ZERO);
    assert_eq!(step, DeliveryStep::Fail { reason: FailureReason::AnswerLost });
}

/// Guards against `run: no` in the refusal of a request that was sent to an endpoint.
#[test_case(false, RunStatus::Unknown ; "sent")]
#[test_case(true, RunStatus::No ; "not written")]
fn refusal_at_the_deadline_says_whether_the_request_may_have_run(never_written: bool, run: RunStatus) {
    let (mut delivery, attempt) = sent(ResponseFormat::Chat, true);
    if never_written {
        delivery.on_event(DeliveryEvent::Failed { attempt, written: false }, Time::ZERO);
    }
    let step = delivery.on_event(DeliveryEvent::TimedOut, DEADLINE + Duration::from_millis(1));
    assert_eq!(step, DeliveryStep::Refuse { reason: FailureReason::Deadline, run });
}

fn with_attempt(event: DeliveryEvent, attempt: AttemptId) -> DeliveryEvent {
    match event {
        DeliveryEvent::Failed { written, .. } => DeliveryEvent::Failed { attempt, written },
        DeliveryEvent::Headers { status, declined, .. } => headers(attempt, status, declined),
        _ => DeliveryEvent::Silent { attempt },
    }
}
