//! `KeyedRequest`: duplicates of a request, and lost replies of the key-value service.

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

/// Returns a request that has arrived, and the record that it creates.
fn keyed_request(write: u64, content: u64) -> (KeyedRequest, IdempotencyRecord) {
    let mut request = KeyedRequest::new(WriteId(write), "e".parse().unwrap(), Fingerprint(content), UNTIL);
    let IdempotencyStep::Create(record) = request.on_event(IdempotencyEvent::Arrived, 0) else {
        panic!("no record was created")
    };
    (request, record)
}

fn response() -> StoredResponse {
    StoredResponse { status: 200, content: "text/plain".to_owned(), body: b"done\n".to_vec(), kept: true }
}

/// Guards against executing a duplicate, in any state of the first request.
#[test_case(IdempotencyState::Started, 1, 0, &IdempotencyStep::Refuse(IdempotencyRefusal::InProgress) ; "in progress")]
#[test_case(IdempotencyState::Started, 1, UNTIL, &IdempotencyStep::Refuse(IdempotencyRefusal::OutcomeUnknown) ; "expired")]
#[test_case(IdempotencyState::Done(response()), 1, 0, &IdempotencyStep::Replay(response()) ; "done")]
#[test_case(IdempotencyState::Done(response()), 2, 0, &IdempotencyStep::Refuse(IdempotencyRefusal::KeyReused) ; "other request")]
fn duplicate_is_not_executed(state: IdempotencyState, content: u64, wall: u64, expected: &IdempotencyStep) {
    let (_, record) = keyed_request(1, 1);
    let (mut second, _) = keyed_request(2, content);
    let found = IdempotencyRecord { state, ..record };
    assert_eq!(&second.on_event(IdempotencyEvent::Conflict(Some((found, 7))), wall), expected);
}

/// Guards against executing a request before its create is known to have taken effect, and against refusing
/// it although a lost reply can be resolved by reading back.
#[test]
fn lost_reply_to_the_create_is_resolved_by_reading_back() {
    let (mut request, record) = keyed_request(1, 1);
    assert_eq!(request.on_event(IdempotencyEvent::ReplyLost, 0), IdempotencyStep::ReadBack);
    assert_eq!(request.on_event(IdempotencyEvent::Read(None), 0), IdempotencyStep::Create(record.clone()));
    assert_eq!(request.on_event(IdempotencyEvent::Conflict(Some((record, 7))), 0), IdempotencyStep::Run);
}

/// Guards against executing a request with a key without a record.
#[test]
fn request_is_refused_while_the_key_value_service_is_unavailable() {
    let refused = IdempotencyStep::Refuse(IdempotencyRefusal::Unavailable);
    assert_eq!(keyed_request(1, 1).0.on_event(IdempotencyEvent::Unavailable, 0), refused);
    let (mut request, _) = keyed_request(2, 1);
    assert_eq!(request.on_event(IdempotencyEvent::ReplyLost, 0), IdempotencyStep::ReadBack);
    assert_eq!(request.on_event(IdempotencyEvent::ReplyLost, 0), IdempotencyStep::ReadBack);
    assert_eq!(request.on_event(IdempotencyEvent::ReplyLost, 0), refused);
}

/// Guards against a record that loses its response, and against a value above the limit of the key-value
/// service.
#[test_case(10, true ; "small")]
#[test_case(2_000_000, false ; "too large")]
fn response_is_stored_if_it_fits(size: usize, kept: bool) {
    let (mut request, _) = keyed_request(1, 1);
    request.on_event(IdempotencyEvent::Written(7), 0);
    let large = StoredResponse { body: vec![b'\n'; size], ..response() };
    let IdempotencyStep::Complete(record, 7) = request.on_event(IdempotencyEvent::Answered(large), 0) else {
        panic!("not completed")
    };
    let bytes = record.encode().unwrap();
    assert!(bytes.len() < 1_000_000);
    let IdempotencyState::Done(stored) = IdempotencyRecord::decode(&bytes).unwrap().state else {
        panic!("not done")
    };
    assert_eq!((stored.kept, stored.body.len()), (kept, if kept { size } else { 0 }));
    let (mut second, _) = keyed_request(2, 1);
    let step = second.on_event(IdempotencyEvent::Conflict(Some((record, 8))), 0);
    assert_eq!(step == IdempotencyStep::Refuse(IdempotencyRefusal::NotKept), !kept);
}
