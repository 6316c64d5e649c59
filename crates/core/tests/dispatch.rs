//! `Dispatcher`: where a request is sent, and when it is refused.

mod common;

use carobwick_core::AttemptOutcome;
use carobwick_core::Decision;
use carobwick_core::DispatchPolicy;
use carobwick_core::DrainTarget;
use carobwick_core::EndpointState;
use carobwick_core::Incarnation;
use carobwick_core::Priority;
use carobwick_core::RefusalCode;
use carobwick_core::RequestId;
use carobwick_core::RequestSpec;
use carobwick_core::RouteTarget;
use carobwick_core::RunStatus;
use carobwick_core::Tokens;
use carobwick_core::WriteId;
use carobwick_core::ZoneId;
use common::Deployment;
use common::complete;
use common::request_spec;
use common::sent_to;
use common::time;
use test_case::test_case;

/// Guards against spreading requests with one prompt prefix over endpoints that don't have it cached.
#[test]
fn equal_prefixes_share_an_endpoint() {
    let mut dispatcher = Deployment::new(4).dispatcher(DispatchPolicy::default());
    let mut used = Vec::new();
    for request in 0..20 {
        used.push(sent_to(&dispatcher.admit(request_spec(request), time(request * 100))));
        complete(&mut dispatcher, request, request * 100 + 10, request * 100 + 50);
    }
    used.dedup();
    assert_eq!(used.len(), 1);
}

/// Guards against requests with a frequent prefix queueing at one endpoint while others are idle.
#[test]
fn hot_prefix_spreads_over_endpoints() {
    let mut dispatcher = Deployment::new(4).dispatcher(DispatchPolicy::default());
    let mut used: Vec<_> =
        (0..16).map(|request| sent_to(&dispatcher.admit(request_spec(request), time(0))).0).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 4);
}

/// Guards against sending requests to an endpoint that is down, leaving or drained.
#[test_case(EndpointState::Leaving, false ; "leaving")]
#[test_case(EndpointState::Down, false ; "down")]
#[test_case(EndpointState::Live, true ; "drained")]
fn unusable_endpoint_gets_no_requests(state: EndpointState, drained: bool) {
    let mut deployment = Deployment::new(2);
    deployment.change_view("a", |view| view.endpoints[0].state = state);
    if drained {
        deployment.drains.set(DrainTarget::Endpoint("a0".parse().unwrap()), true, WriteId(1));
    }
    let mut dispatcher = deployment.dispatcher(DispatchPolicy::default());
    for request in 0..4 {
        assert_eq!(sent_to(&dispatcher.admit(request_spec(request), time(0))).0.as_str(), "a1");
    }
    assert!(!matches!(dispatcher.admit(request_spec(5), time(0)), Decision::Send { .. }));
}

/// Guards against sending adapter requests past the endpoint that holds the adapter, and against refusing
/// them when it is full.
#[test]
fn adapter_prefers_its_holder_then_its_base() {
    let mut dispatcher = Deployment::new(2).dispatcher(DispatchPolicy::default());
    for request in 0..8 {
        let mut adapter = request_spec(request);
        adapter.target = RouteTarget::Model("m:x".parse().unwrap());
        let (used, _) = sent_to(&dispatcher.admit(adapter, time(0)));
        assert_eq!(used.as_str(), if request < 4 { "a0" } else { "a1" });
    }
}

/// Guards against a zone without the model refusing a request that another zone can serve.
#[test]
fn request_is_forwarded_to_a_zone_that_holds_its_model() {
    let mut deployment = Deployment::new(1);
    deployment.change_view("a", |view| view.endpoints[0].resident.clear());
    let mut dispatcher = deployment.dispatcher(DispatchPolicy::default());
    let decision = dispatcher.admit(request_spec(1), time(0));
    assert_eq!(decision, Decision::Forward { zone: "b".parse().unwrap(), addr: "b:80".to_owned() });
    let mut forwarded = request_spec(2);
    forwarded.forwarded = true;
    let refused = dispatcher.admit(forwarded, time(0));
    assert!(matches!(refused, Decision::Refuse { code: RefusalCode::Unavailable, run: RunStatus::No, .. }));
}

/// Guards against a request that waits and is then refused: one that can't meet its target is refused on
/// arrival, with a time to retry.
#[test]
fn request_that_would_miss_its_target_is_refused_on_arrival() {
    let mut deployment = Deployment::new(1);
    deployment.views.shift_remove(&"b".parse::<ZoneId>().unwrap());
    let mut dispatcher = deployment.dispatcher(DispatchPolicy::default());
    for request in 1_000..1_100 {
        let start = request * 1_000;
        let _ = dispatcher.admit(request_spec(request), time(start));
        complete(&mut dispatcher, request, start + 20, start + 1_000);
    }
    let now = 2_000_000;
    let decisions: Vec<Decision> =
        (1..20).map(|request| dispatcher.admit(request_spec(request), time(now))).collect();
    let sent = decisions.iter().filter(|decision| matches!(decision, Decision::Send { .. })).count();
    let waiting = decisions.iter().filter(|decision| **decision == Decision::Wait).count();
    // One slot becomes free every 250 ms, and the latency target is 3 s.
    assert_eq!((sent, waiting), (4, 11));
    let Decision::Refuse { code, run, retry_after } = &decisions[18] else { panic!("not refused") };
    assert_eq!((*code, *run), (RefusalCode::Overloaded, RunStatus::No));
    assert!(retry_after.is_some());
    for late in [700, 749, 800, 3_000] {
        assert_eq!(dispatcher.poll(time(now + late)), []);
    }
    complete(&mut dispatcher, 1, now + 100, now + 3_100);
    assert!(matches!(dispatcher.poll(time(now + 3_100))[..], [(_, Decision::Send { .. })]));
}

/// Guards against a burst of one caller delaying the others, and against a high priority waiting behind a low
/// one.
#[test_case("other", 0 ; "another caller")]
#[test_case("caller", 1 ; "higher priority")]
fn burst_does_not_delay_others(caller: &str, priority: u8) {
    let mut dispatcher = Deployment::new(1).dispatcher(DispatchPolicy::default());
    for request in 0..20 {
        let mut burst = request_spec(request);
        burst.forwarded = true;
        dispatcher.admit(burst, time(0));
    }
    let mut late = request_spec(100);
    late.forwarded = true;
    late.caller = caller.parse().unwrap();
    late.priority = Priority(priority);
    assert_eq!(dispatcher.admit(late, time(1)), Decision::Wait);
    complete(&mut dispatcher, 0, 5, 10);
    let served: Vec<RequestId> = dispatcher.poll(time(10)).into_iter().map(|(request, _)| request).collect();
    assert_eq!(served, [RequestId(100)]);
}

/// Guards against retries multiplying the load of an outage.
#[test]
fn retries_stay_within_their_budget() {
    let mut dispatcher = Deployment::new(4).dispatcher(DispatchPolicy::default());
    let mut retried = 0;
    for request in 0..400 {
        let now = time(request * 20);
        if !matches!(dispatcher.admit(request_spec(request), now), Decision::Send { .. }) {
            dispatcher.record_finished(RequestId(request), AttemptOutcome::Cancelled, None, now);
            continue;
        }
        dispatcher.record_finished(RequestId(request), AttemptOutcome::NotRun, None, now);
        if !matches!(dispatcher.retry(RequestId(request), now), Decision::Refuse { .. }) {
            retried += 1;
            dispatcher.record_finished(RequestId(request), AttemptOutcome::Cancelled, None, now);
        }
    }
    assert!((10..=50).contains(&retried), "{retried}");
}

/// Guards against executing a request twice that is not repeatable, such as a payment.
#[test]
fn request_that_may_have_run_is_not_retried() {
    let mut dispatcher = Deployment::new(2).dispatcher(DispatchPolicy::default());
    let mut payment = request_spec(1);
    payment.repeatable = false;
    dispatcher.admit(payment, time(0));
    dispatcher.record_finished(RequestId(1), AttemptOutcome::NotRun, None, time(1));
    assert!(matches!(dispatcher.retry(RequestId(1), time(1)), Decision::Send { .. }));
    dispatcher.record_sent(RequestId(1), time(2));
    dispatcher.record_finished(RequestId(1), AttemptOutcome::Failed, None, time(3));
    let refused = dispatcher.retry(RequestId(1), time(4));
    assert!(matches!(
        refused,
        Decision::Refuse { code: RefusalCode::NotRepeatable, run: RunStatus::Unknown, .. }
    ));
}

/// Guards against sending all requests to an endpoint that fails each of them, and against never trying it
/// again.
#[test]
fn failing_endpoint_is_probed_once_at_a_time() {
    let mut dispatcher = Deployment::new(2).dispatcher(DispatchPolicy::default());
    let (bad, _) = sent_to(&dispatcher.admit(request_spec(0), time(0)));
    dispatcher.record_finished(RequestId(0), AttemptOutcome::Failed, None, time(0));
    let mut used = Vec::new();
    for request in 1..60 {
        let now = time(request * 50);
        let (target, _) = sent_to(&dispatcher.admit(request_spec(request), now));
        let failed = target == bad;
        used.push(failed);
        let outcome =
            if failed { AttemptOutcome::Failed } else { AttemptOutcome::Complete { tokens: Tokens(1) } };
        dispatcher.record_finished(RequestId(request), outcome, None, now);
    }
    let failures = used.iter().filter(|failed| **failed).count();
    assert_eq!(failures, 3, "two failures that open the breaker, one probe after 1 s, none in the next 2 s");
}

/// Guards against a caller that overloads a saturated service taking the share of a caller that stays within
/// its own.
#[test]
fn caller_above_its_share_does_not_take_that_of_others() {
    let mut deployment = Deployment::new(1);
    deployment.views.shift_remove(&"b".parse::<ZoneId>().unwrap());
    let mut dispatcher = deployment.dispatcher(DispatchPolicy::default());
    let mut ends: Vec<(u64, RequestId)> = Vec::new();
    let mut served = [0, 0];
    let mut refused = [0, 0];
    // Four slots and 1 s per request; `flood` sends 40 requests/s and `calm` 1.
    for now in (0..60_000).step_by(5) {
        let done = ends.extract_if(.., |(end, _)| *end <= now);
        for (end, request) in done.collect::<Vec<_>>() {
            complete(&mut dispatcher, request.0, end - 990, end);
        }
        let mut decisions = dispatcher.poll(time(now));
        let arrivals = [(now % 25 == 0, "flood", 0), (now % 1_000 == 500, "calm", 1)];
        for (_, caller, index) in arrivals.into_iter().filter(|(due, ..)| *due) {
            let request = now * 10 + index;
            let new = RequestSpec { caller: caller.parse().unwrap(), ..request_spec(request) };
            decisions.push((RequestId(request), dispatcher.admit(new, time(now))));
        }
        for (request, decision) in decisions {
            let caller = usize::from(request.0 % 10 == 1);
            match decision {
                Decision::Send { .. } => {
                    served[caller] += 1;
                    ends.push((now + 1_000, request));
                }
                Decision::Refuse { .. } => refused[caller] += 1,
                Decision::Wait | Decision::Forward { .. } => {}
            }
        }
    }
    assert!(refused[1] <= 3, "calm: {} served, {} refused", served[1], refused[1]);
    assert!(served[0] >= 150, "flood: {} served, {} refused", served[0], refused[0]);
}

/// Guards against a crash report that lacks the actual cause because the crash before it was detected late:
/// the requests lost in each incarnation of an endpoint belong to the report of that incarnation.
#[test]
fn late_crash_report_excludes_requests_of_the_next_incarnation() {
    let mut deployment = Deployment::new(1);
    let mut dispatcher = deployment.dispatcher(DispatchPolicy::default());
    let (id, first) = sent_to(&dispatcher.admit(request_spec(1), time(0)));
    dispatcher.record_sent(RequestId(1), time(0));
    dispatcher.record_finished(RequestId(1), AttemptOutcome::Failed, None, time(100));
    deployment.change_view("a", |view| {
        view.version = view.version.next();
        view.endpoints[&id].incarnation.0 += 1;
    });
    deployment.apply_to(&mut dispatcher);
    let (_, second) = sent_to(&dispatcher.admit(request_spec(2), time(200)));
    dispatcher.record_sent(RequestId(2), time(200));
    dispatcher.record_finished(RequestId(2), AttemptOutcome::Failed, None, time(300));
    assert_eq!(dispatcher.record_crash(&id, first, time(400)).fingerprints, [request_spec(1).fingerprint]);
    assert_eq!(dispatcher.record_crash(&id, second, time(500)).fingerprints, [request_spec(2).fingerprint]);
}

/// Guards against convicting a harmless request of a crash whose actual cause is missing in the report: a
/// view can contain a crashed incarnation for seconds after the endpoint has restarted, and requests sent in
/// that time are on the next one.
#[test_case(true ; "connection broken before the crash is detected")]
#[test_case(false ; "still in flight when the crash is detected")]
fn request_sent_with_a_stale_view_belongs_to_the_next_crash(broken: bool) {
    let mut dispatcher = Deployment::new(1).dispatcher(DispatchPolicy::default());
    let (id, first) = sent_to(&dispatcher.admit(request_spec(1), time(0)));
    dispatcher.record_sent(RequestId(1), time(0));
    dispatcher.record_finished(RequestId(1), AttemptOutcome::Failed, None, time(100));
    assert_eq!(dispatcher.record_crash(&id, first, time(200)).fingerprints, [request_spec(1).fingerprint]);
    sent_to(&dispatcher.admit(request_spec(2), time(9_000)));
    dispatcher.record_sent(RequestId(2), time(9_000));
    if broken {
        dispatcher.record_finished(RequestId(2), AttemptOutcome::Failed, None, time(9_200));
    }
    let next = Incarnation(first.0 + 1);
    assert_eq!(dispatcher.record_crash(&id, next, time(9_300)).fingerprints, [request_spec(2).fingerprint]);
}
