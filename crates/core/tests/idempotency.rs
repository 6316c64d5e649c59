//! Idempotency records: what a second arrival sees, and lost replies of the key-value service.

use carobwick_core::Fingerprint;
use carobwick_core::IdempotencyEvent;
use carobwick_core::IdempotencyRecord;
use carobwick_core::IdempotencyRefusal;
use carobwick_core::IdempotencyState;
use carobwick_core::IdempotencyStep;
use carobwick_core::KeyedRequest;
use carobwick_core::StoredResponse;
use carobwick_core::WriteId;
use test_case::test_case;

const UNTIL: u64 = 1_000;

/// Lets a request arrive and returns it with the record that it wants to create.
fn arrived(write: u64, content: u64) -> (KeyedRequest, IdempotencyRecord) {
    let mut once = KeyedRequest::new(WriteId(write), "e".parse().unwrap(), Fingerprint(content), UNTIL);
    let IdempotencyStep::Create(record) = once.on(IdempotencyEvent::Arrived, 0) else {
        panic!("no record is created")
    };
    (once, record)
}

fn answer() -> StoredResponse {
    StoredResponse { status: 200, content: "text/plain".to_owned(), body: b"done\n".to_vec(), kept: true }
}

/// Guards against a second run by a duplicate, whatever the state of the first arrival.
#[test_case(IdempotencyState::Started, 1, 0, &IdempotencyStep::Refuse(IdempotencyRefusal::InProgress) ; "in progress")]
#[test_case(IdempotencyState::Started, 1, UNTIL, &IdempotencyStep::Refuse(IdempotencyRefusal::OutcomeUnknown) ; "given up")]
#[test_case(IdempotencyState::Done(answer()), 1, 0, &IdempotencyStep::Replay(answer()) ; "done")]
#[test_case(IdempotencyState::Done(answer()), 2, 0, &IdempotencyStep::Refuse(IdempotencyRefusal::KeyReused) ; "other request")]
fn duplicate_does_not_run(state: IdempotencyState, content: u64, wall: u64, expected: &IdempotencyStep) {
    let (_, record) = arrived(1, 1);
    let (mut second, _) = arrived(2, content);
    let found = IdempotencyRecord { state, ..record };
    assert_eq!(&second.on(IdempotencyEvent::Conflict(Some((found, 7))), wall), expected);
}

/// Guards against a run whose create is not known to have taken effect, and against a needless refusal.
#[test]
fn lost_reply_to_the_create_is_settled_by_reading_back() {
    let (mut once, record) = arrived(1, 1);
    assert_eq!(once.on(IdempotencyEvent::ReplyLost, 0), IdempotencyStep::ReadBack);
    assert_eq!(once.on(IdempotencyEvent::Read(None), 0), IdempotencyStep::Create(record.clone()));
    assert_eq!(once.on(IdempotencyEvent::Conflict(Some((record, 7))), 0), IdempotencyStep::Run);
}

/// Guards against requests with a key that run without a record.
#[test]
fn request_is_refused_while_the_service_is_away() {
    let refused = IdempotencyStep::Refuse(IdempotencyRefusal::Unavailable);
    assert_eq!(arrived(1, 1).0.on(IdempotencyEvent::Unavailable, 0), refused);
    let (mut once, _) = arrived(2, 1);
    assert_eq!(once.on(IdempotencyEvent::ReplyLost, 0), IdempotencyStep::ReadBack);
    assert_eq!(once.on(IdempotencyEvent::ReplyLost, 0), IdempotencyStep::ReadBack);
    assert_eq!(once.on(IdempotencyEvent::ReplyLost, 0), refused);
}

/// Guards against records that lose the answer, and against values above the service's limit.
#[test_case(10, true ; "small")]
#[test_case(2_000_000, false ; "too large")]
fn answer_is_kept_if_it_fits(size: usize, kept: bool) {
    let (mut once, _) = arrived(1, 1);
    once.on(IdempotencyEvent::Written(7), 0);
    let large = StoredResponse { body: vec![b'\n'; size], ..answer() };
    let IdempotencyStep::Complete(record, 7) = once.on(IdempotencyEvent::Answered(large), 0) else {
        panic!("not completed")
    };
    let bytes = record.encode().unwrap();
    assert!(bytes.len() < 1_000_000);
    let IdempotencyState::Done(stored) = IdempotencyRecord::decode(&bytes).unwrap().state else {
        panic!("not done")
    };
    assert_eq!((stored.kept, stored.body.len()), (kept, if kept { size } else { 0 }));
    let (mut second, _) = arrived(2, 1);
    let step = second.on(IdempotencyEvent::Conflict(Some((record, 8))), 0);
    assert_eq!(step == IdempotencyStep::Refuse(IdempotencyRefusal::NotKept), !kept);
}
