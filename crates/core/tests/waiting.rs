//! Dispatcher: requests that wait get their decision while it is still worth something.

mod common;

use carobwick_core::AttemptOutcome;
use carobwick_core::Decision;
use carobwick_core::DispatchPolicy;
use carobwick_core::Dispatcher;
use carobwick_core::RefusalCode;
use carobwick_core::RequestId;
use carobwick_core::RequestInfo;
use carobwick_core::RouteTarget;
use carobwick_core::ServiceKind;
use common::Deployment;
use common::ask;
use common::at;

/// Returns a deployment of one zone.
fn one_zone(engines: usize) -> Deployment {
    let mut deployment = Deployment::new(engines);
    deployment.views.shift_remove(&"b".parse::<carobwick_core::ZoneId>().unwrap());
    deployment
}

/// Fails the attempts of a request until it waits or is refused.
fn fail(dispatcher: &mut Dispatcher, request: u64, mut decision: Decision, now: u64) -> Decision {
    while let Decision::Send { .. } = decision {
        dispatcher.finished(RequestId(request), AttemptOutcome::NotRun, None, at(now));
        decision = dispatcher.retry(RequestId(request), at(now));
    }
    decision
}

/// Returns the only decision on a request that waited.
fn probe(dispatcher: &mut Dispatcher, now: u64) -> Decision {
    let mut polled = dispatcher.poll(at(now));
    assert_eq!(polled.len(), 1, "{polled:?}");
    polled.remove(0).1
}

/// Guards against a request whose attempt failed being kept until its deadline while every circuit breaker stays open
/// beyond its target: it must be told at once when to come back.
#[test]
fn rerun_is_refused_at_once_when_breakers_stay_open() {
    let mut dispatcher =
        one_zone(2).dispatcher(DispatchPolicy { retry_ratio: 100.0, ..DispatchPolicy::default() });
    // Three failures in a row open a breaker; a request fails once at each of the two endpoints.
    for request in [3, 4, 1] {
        let decision = dispatcher.admit(ask(request), at(100));
        assert_eq!(fail(&mut dispatcher, request, decision, 100), Decision::Wait);
        if request != 1 {
            dispatcher.finished(RequestId(request), AttemptOutcome::Cancelled, None, at(100));
        }
    }
    // Both breakers let a probe through after 1 s, and again 2 s later, which is within the target of 3 s.
    for now in [1_100, 1_200] {
        let decision = probe(&mut dispatcher, now);
        fail(&mut dispatcher, 1, decision, now);
    }
    assert_eq!(dispatcher.admit(ask(2), at(1_250)), Decision::Wait);
    let decision = probe(&mut dispatcher, 3_100);
    assert_eq!(fail(&mut dispatcher, 2, decision, 3_100), Decision::Wait);
    let decision = probe(&mut dispatcher, 3_200);
    // The next probes come 4 s after the failed ones, when the target has passed.
    let last = fail(&mut dispatcher, 2, decision, 3_200);
    let Decision::Refuse { code, retry_after: Some(after), .. } = last else {
        panic!("{last:?} instead of a refusal with a time");
    };
    assert_eq!(code, RefusalCode::Unavailable);
    assert_eq!(after.as_millis(), 3_900);
}

/// Guards against a request being refused or kept after its endpoint failed although another zone serves it.
#[test]
fn rerun_goes_to_another_zone_when_breakers_are_open() {
    let mut dispatcher =
        Deployment::new(1).dispatcher(DispatchPolicy { retry_ratio: 100.0, ..DispatchPolicy::default() });
    let decision = dispatcher.admit(ask(0), at(0));
    let decision = fail(&mut dispatcher, 0, decision, 0);
    assert!(matches!(decision, Decision::Forward { .. }), "{decision:?}");
}

/// Guards against a request being held back as a suspect because endpoints that go on running gave wrong answers.
#[test]
fn wrong_answer_is_no_sign_of_a_crash() {
    let mut dispatcher =
        one_zone(3).dispatcher(DispatchPolicy { retry_ratio: 100.0, ..DispatchPolicy::default() });
    let mut decision = dispatcher.admit(ask(0), at(0));
    for now in [10, 20] {
        common::endpoint(&decision);
        dispatcher.sent(RequestId(0), at(now));
        dispatcher.finished(RequestId(0), AttemptOutcome::Invalid, None, at(now));
        decision = dispatcher.retry(RequestId(0), at(now));
    }
    common::endpoint(&decision);
}

/// Guards against a request that waits for a slot being kept long after its target when the endpoint stops answering.
#[test]
fn waiting_request_is_refused_when_its_target_has_passed() {
    let deployment = one_zone(1);
    let mut dispatcher = deployment.dispatcher(DispatchPolicy::default());
    for request in 0..4 {
        assert!(matches!(dispatcher.admit(ask(request), at(0)), Decision::Send { .. }));
        dispatcher.sent(RequestId(request), at(0));
    }
    // The four end after 0.5 s, so that a fifth one can expect to start in time; the next four never end.
    for request in 0..4 {
        common::complete(&mut dispatcher, request, 100, 500);
    }
    for request in 4..8 {
        assert!(matches!(dispatcher.admit(ask(request), at(500)), Decision::Send { .. }));
        dispatcher.sent(RequestId(request), at(500));
    }
    assert_eq!(dispatcher.admit(ask(8), at(500)), Decision::Wait);
    let early = dispatcher.poll(at(1_000));
    assert_eq!(early, [], "it can still meet its target");
    let late = dispatcher.poll(at(10_000));
    let [(RequestId(8), Decision::Refuse { code, retry_after, .. })] = &*late else {
        panic!("{late:?} instead of one refusal");
    };
    assert_eq!(*code, RefusalCode::Overloaded);
    assert!(retry_after.is_some());
}

/// Guards against an idle plain service being taken for an overloaded one before its service time is known.
#[test]
fn idle_service_takes_its_first_requests() {
    let mut deployment = one_zone(1);
    let service =
        deployment.manifest.services.values_mut().find(|spec| spec.kind == ServiceKind::Plain).unwrap();
    service.slots = 64;
    deployment.change("a", |view| {
        let mut desk = view.endpoints[0].clone();
        desk.service = "desk".parse().unwrap();
        desk.resident.clear();
        view.endpoints.insert("desk-0".parse().unwrap(), desk);
    });
    let mut dispatcher = deployment.dispatcher(DispatchPolicy::default());
    for round in 0..50 {
        let requests = round * 8..round * 8 + 8;
        for request in requests.clone() {
            let target = RouteTarget::Service("desk".parse().unwrap());
            let decision = dispatcher.admit(RequestInfo { target, ..ask(request) }, at(round * 5));
            assert!(matches!(decision, Decision::Send { .. }), "request {request}: {decision:?}");
        }
        for request in requests {
            common::complete(&mut dispatcher, request, round * 5 + 4, round * 5 + 4);
        }
    }
}

/// Guards against a request that uses up its attempts within milliseconds on an engine that is gone, before its circuit
/// breaker opens, and ends with `endpoint_failed` although the engine comes back soon.
#[test]
fn only_holder_is_not_tried_again_at_once() {
    let mut dispatcher = one_zone(1).dispatcher(DispatchPolicy::default());
    common::endpoint(&dispatcher.admit(ask(1), at(0)));
    dispatcher.sent(RequestId(1), at(0));
    dispatcher.finished(RequestId(1), AttemptOutcome::Failed, None, at(100));
    assert_eq!(dispatcher.retry(RequestId(1), at(100)), Decision::Wait);
    assert!(dispatcher.poll(at(110)).is_empty(), "sent again before a crash could be noticed");
    common::endpoint(&probe(&mut dispatcher, 300));
}

/// Guards against a second attempt at an engine that refuses connections while another zone holds the model.
#[test]
fn rerun_prefers_another_zone_to_the_only_holder() {
    let mut dispatcher = Deployment::new(1).dispatcher(DispatchPolicy::default());
    common::endpoint(&dispatcher.admit(ask(1), at(0)));
    dispatcher.finished(RequestId(1), AttemptOutcome::NotRun, None, at(100));
    let next = dispatcher.retry(RequestId(1), at(100));
    assert!(matches!(next, Decision::Forward { .. }), "{next:?}");
}
