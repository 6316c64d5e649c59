//! `Dispatcher`: waiting requests get a decision before it is too late for them.

mod common;

use carobwick_core::AttemptOutcome;
use carobwick_core::Decision;
use carobwick_core::DispatchPolicy;
use carobwick_core::Dispatcher;
use carobwick_core::RefusalCode;
use carobwick_core::RequestId;
use carobwick_core::RequestSpec;
use carobwick_core::RouteTarget;
use carobwick_core::ServiceKind;
use common::Deployment;
use common::request_spec;
use common::time;

/// Returns a deployment of zone `a` only.
fn one_zone_deployment(engines: usize) -> Deployment {
    let mut deployment = Deployment::new(engines);
    deployment.views.shift_remove(&"b".parse::<carobwick_core::ZoneId>().unwrap());
    deployment
}

/// Fails the attempts of a request until it waits or is refused.
fn fail_attempts(dispatcher: &mut Dispatcher, request: u64, mut decision: Decision, now: u64) -> Decision {
    while let Decision::Send { .. } = decision {
        dispatcher.record_finished(RequestId(request), AttemptOutcome::NotRun, None, time(now));
        decision = dispatcher.retry(RequestId(request), time(now));
    }
    decision
}

/// Polls and returns the only decision.
fn poll_one(dispatcher: &mut Dispatcher, now: u64) -> Decision {
    let mut polled = dispatcher.poll(time(now));
    assert_eq!(polled.len(), 1, "{polled:?}");
    polled.remove(0).1
}

/// Guards against a request whose attempt failed waiting until its deadline while every circuit breaker stays
/// open beyond its latency target: it must be refused at once, with a time to retry.
#[test]
fn retry_is_refused_at_once_when_breakers_stay_open() {
    let mut dispatcher =
        one_zone_deployment(2).dispatcher(DispatchPolicy { retry_ratio: 100.0, ..DispatchPolicy::default() });
    // Three consecutive failures open a breaker; a request fails once at each of the two endpoints.
    for request in [3, 4, 1] {
        let decision = dispatcher.admit(request_spec(request), time(100));
        assert_eq!(fail_attempts(&mut dispatcher, request, decision, 100), Decision::Wait);
        if request != 1 {
            dispatcher.record_finished(RequestId(request), AttemptOutcome::Cancelled, None, time(100));
        }
    }
    // Both breakers permit a probe after 1 s, and again 2 s later, which is within the target of 3 s.
    for now in [1_100, 1_200] {
        let decision = poll_one(&mut dispatcher, now);
        fail_attempts(&mut dispatcher, 1, decision, now);
    }
    assert_eq!(dispatcher.admit(request_spec(2), time(1_250)), Decision::Wait);
    let decision = poll_one(&mut dispatcher, 3_100);
    assert_eq!(fail_attempts(&mut dispatcher, 2, decision, 3_100), Decision::Wait);
    let decision = poll_one(&mut dispatcher, 3_200);
    // The next probes come 4 s after the failed ones, when the target has passed.
    let last = fail_attempts(&mut dispatcher, 2, decision, 3_200);
    let Decision::Refuse { code, retry_after: Some(after), .. } = last else {
        panic!("{last:?} instead of a refusal with a time to retry");
    };
    assert_eq!(code, RefusalCode::Unavailable);
    assert_eq!(after.as_millis(), 3_900);
}

/// Guards against a request that is refused or waits after its endpoint failed, although another zone can
/// serve it.
#[test]
fn retry_goes_to_another_zone_when_breakers_are_open() {
    let mut dispatcher =
        Deployment::new(1).dispatcher(DispatchPolicy { retry_ratio: 100.0, ..DispatchPolicy::default() });
    let decision = dispatcher.admit(request_spec(0), time(0));
    let decision = fail_attempts(&mut dispatcher, 0, decision, 0);
    assert!(matches!(decision, Decision::Forward { .. }), "{decision:?}");
}

/// Guards against a request that is held as a suspect because endpoints that are still running sent invalid
/// responses.
#[test]
fn invalid_response_does_not_make_a_suspect() {
    let mut dispatcher =
        one_zone_deployment(3).dispatcher(DispatchPolicy { retry_ratio: 100.0, ..DispatchPolicy::default() });
    let mut decision = dispatcher.admit(request_spec(0), time(0));
    for now in [10, 20] {
        common::sent_to(&decision);
        dispatcher.record_sent(RequestId(0), time(now));
        dispatcher.record_finished(RequestId(0), AttemptOutcome::Invalid, None, time(now));
        decision = dispatcher.retry(RequestId(0), time(now));
    }
    common::sent_to(&decision);
}

/// Guards against a request that waits for a slot long after its latency target, because its endpoint stopped
/// responding.
#[test]
fn waiting_request_is_refused_after_its_target() {
    let deployment = one_zone_deployment(1);
    let mut dispatcher = deployment.dispatcher(DispatchPolicy::default());
    for request in 0..4 {
        assert!(matches!(dispatcher.admit(request_spec(request), time(0)), Decision::Send { .. }));
        dispatcher.record_sent(RequestId(request), time(0));
    }
    // These four end after 0.5 s, so that a later request can expect a slot in time; the next four never end.
    for request in 0..4 {
        common::complete(&mut dispatcher, request, 100, 500);
    }
    for request in 4..8 {
        assert!(matches!(dispatcher.admit(request_spec(request), time(500)), Decision::Send { .. }));
        dispatcher.record_sent(RequestId(request), time(500));
    }
    assert_eq!(dispatcher.admit(request_spec(8), time(500)), Decision::Wait);
    let no_decision = dispatcher.poll(time(1_000));
    assert_eq!(no_decision, [], "it can still meet its target");
    let decisions = dispatcher.poll(time(10_000));
    let [(RequestId(8), Decision::Refuse { code, retry_after, .. })] = &*decisions else {
        panic!("{decisions:?} instead of one refusal");
    };
    assert_eq!(*code, RefusalCode::Overloaded);
    assert!(retry_after.is_some());
}

/// Guards against taking an idle plain service for an overloaded one before its service time is known.
#[test]
fn idle_service_accepts_its_first_requests() {
    let mut deployment = one_zone_deployment(1);
    let service =
        deployment.manifest.services.values_mut().find(|spec| spec.kind == ServiceKind::Plain).unwrap();
    service.slots = 64;
    deployment.change_view("a", |view| {
        let mut desk = view.endpoints[0].clone();
        desk.service = "desk".parse().unwrap();
        desk.resident.clear();
        view.endpoints.insert("desk-0".parse().unwrap(), desk);
    });
    let mut dispatcher = deployment.dispatcher(DispatchPolicy::default());
    for batch in 0..50 {
        let requests = batch * 8..batch * 8 + 8;
        for request in requests.clone() {
            let target = RouteTarget::Service("desk".parse().unwrap());
            let decision = dispatcher.admit(RequestSpec { target, ..request_spec(request) }, time(batch * 5));
            assert!(matches!(decision, Decision::Send { .. }), "request {request}: {decision:?}");
        }
        for request in requests {
            common::complete(&mut dispatcher, request, batch * 5 + 4, batch * 5 + 4);
        }
    }
}

/// Guards against a request that uses up its attempts within milliseconds on an engine that has crashed,
/// before its circuit breaker opens, and fails with `endpoint_failed` although the engine restarts soon.
#[test]
fn only_holder_is_not_retried_at_once() {
    let mut dispatcher = one_zone_deployment(1).dispatcher(DispatchPolicy::default());
    common::sent_to(&dispatcher.admit(request_spec(1), time(0)));
    dispatcher.record_sent(RequestId(1), time(0));
    dispatcher.record_finished(RequestId(1), AttemptOutcome::Failed, None, time(100));
    assert_eq!(dispatcher.retry(RequestId(1), time(100)), Decision::Wait);
    assert!(dispatcher.poll(time(110)).is_empty(), "sent again before a crash could be detected");
    common::sent_to(&poll_one(&mut dispatcher, 300));
}

/// Guards against a second attempt at an engine that refuses connections while another zone holds the model.
#[test]
fn retry_prefers_another_zone_to_the_only_holder() {
    let mut dispatcher = Deployment::new(1).dispatcher(DispatchPolicy::default());
    common::sent_to(&dispatcher.admit(request_spec(1), time(0)));
    dispatcher.record_finished(RequestId(1), AttemptOutcome::NotRun, None, time(100));
    let next = dispatcher.retry(RequestId(1), time(100));
    assert!(matches!(next, Decision::Forward { .. }), "{next:?}");
}
