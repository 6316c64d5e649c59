//! Tests of endpoints that limit the rate of requests from all instances together: how a limit comes into
//! force and ends, who gets a token, and what an instance without a leader sends.

mod endpoint_fixture;

use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::Millis;
use carobwick_core::Rate;
use carobwick_core::Time;
use carobwick_core::gateway::AnnouncedLimit;
use carobwick_core::gateway::Balancer;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::LimitNews;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::Ticket;
use carobwick_core::gateway::TokenIssuer;
use carobwick_core::gateway::TokenReplies;
use carobwick_core::gateway::TokenReply;
use carobwick_core::gateway::TokenRequest;
use endpoint_fixture::endpoint;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const INCARNATION: Incarnation = Incarnation(1);
/// Window over which endpoints count requests.
const WINDOW: Duration = Duration::from_secs(4);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn id() -> EndpointId {
    "a".parse().unwrap()
}

fn entry() -> EndpointEntry {
    endpoint(id(), "s", "z1", ResidentModels::default())
}

fn balancer() -> Balancer {
    Balancer::new("z1".parse().unwrap())
}

fn choose(balancer: &Balancer, now: Time) -> Option<Choice> {
    balancer.choose(&RequestHead::default(), [entry()].iter(), now)
}

/// Returns a balancer that has heard at 0 ms of a limit of one request per second.
fn limited() -> (Balancer, Choice) {
    let mut balancer = balancer();
    let choice = choose(&balancer, at(0)).unwrap();
    let limit = AnnouncedLimit::Limited(Rate(1.0));
    assert_eq!(balancer.record_limit(&choice, limit, at(0), at(0)), LimitNews::Report(Some(Rate(1.0))));
    (balancer, choice)
}

/// Returns an issuer that has heard at 0 ms of a limit of one request per second.
fn issuer() -> TokenIssuer {
    let mut issuer = TokenIssuer::default();
    assert!(issuer.apply(&id(), INCARNATION, Some(Rate(1.0)), at(0), at(0)));
    issuer
}

fn apply(issuer: &mut TokenIssuer, limit: Option<f64>, millis: u64) -> bool {
    issuer.apply(&id(), INCARNATION, limit.map(Rate), at(millis), at(millis))
}

/// Requests a token for a request with the given number, priority and longest wait.
fn request(issuer: &mut TokenIssuer, number: u64, priority: u8, max_wait: u64, millis: u64) -> TokenReplies {
    let ticket = Ticket { instance: "i".parse().unwrap(), number };
    let request = TokenRequest { ticket, priority, waited: Millis(0), max_wait: Millis(max_wait) };
    issuer.request(&id(), INCARNATION, request, at(millis))
}

/// Returns the reply to a request that can't wait for a token.
fn take(issuer: &mut TokenIssuer, millis: u64) -> TokenReply {
    let replies = request(issuer, 0, 0, 0, millis);
    assert_eq!(replies.len(), 1);
    replies[0].1
}

fn is_granted(reply: TokenReply) -> bool {
    matches!(reply, TokenReply::Granted(_))
}

/// Returns the numbers of the requests that get a token until the given time.
fn granted_until(issuer: &mut TokenIssuer, millis: u64) -> Vec<u64> {
    let mut granted = Vec::new();
    while let Some(next) = issuer.next_token().filter(|next| *next <= at(millis)) {
        let replies = issuer.advance(next);
        granted.extend(
            replies.into_iter().filter(|(_, reply)| is_granted(*reply)).map(|(ticket, _)| ticket.number),
        );
    }
    granted
}

fn limit(issuer: &TokenIssuer) -> Option<f64> {
    issuer.limit(&id(), INCARNATION).map(|rate| rate.0)
}

/// Returns the largest number of the times, in order, that lie within one window.
fn most_in_window(times: &[Time]) -> usize {
    let end_of_window = |start: &Time| times.partition_point(|at| *at < *start + WINDOW);
    times.iter().enumerate().map(|(index, start)| end_of_window(start) - index).max().unwrap_or(0)
}

/// Guards against a burst at the moment at which an endpoint names its limit, and against a wait after which
/// there is still no token.
#[test]
fn tokens_are_issued_at_the_rate_of_the_limit() {
    let mut issuer = issuer();
    let TokenReply::Denied(wait) = take(&mut issuer, 0) else { panic!("a token at once") };
    assert!((1_000..=1_002).contains(&wait.0), "{wait:?}");
    assert!(is_granted(take(&mut issuer, wait.0)));
    assert!(!is_granted(take(&mut issuer, wait.0)));
}

/// Guards against tokens that add up to more than the limit in some window, at any rate and after any idle
/// time.
#[test]
fn no_window_holds_more_tokens_than_the_limit_allows() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rate = 10.0_f64.powf(rng.random_range(-1.0..2.0));
        let mut issuer = TokenIssuer::default();
        let mut now = at(0);
        issuer.apply(&id(), INCARNATION, Some(Rate(rate)), now, now);
        let mut tokens = Vec::new();
        for _ in 0..5_000 {
            let step = if rng.random_bool(0.002) { 10_000 } else { rng.random_range(0..20) };
            now = now + Duration::from_millis(step);
            let max_wait = rng.random_range(0..3_000) * u64::from(rng.random_bool(0.1));
            let replies = request(&mut issuer, 0, 0, max_wait, now.millis());
            let granted = replies.into_iter().filter(|(_, reply)| is_granted(*reply));
            tokens.extend(granted.map(|_| now));
        }
        let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
        assert!(most_in_window(&tokens) as f64 <= allowed, "seed {seed}, rate {rate}");
    }
}

/// Guards against a lower limit that comes into force too late.
#[test]
fn a_lower_limit_is_in_force_at_once() {
    let mut issuer = issuer();
    assert!(apply(&mut issuer, Some(0.5), 100));
    assert_eq!(limit(&issuer), Some(0.5));
}

/// Guards against a higher rate while the endpoint still counts the requests of a lower one, against a sudden
/// rise, and against a limit that stays for ever.
#[test_case(Some(5.0), &[Some(1.0), Some(1.0), Some(2.0), Some(4.0), Some(5.0), Some(5.0)] ; "a higher limit")]
#[test_case(None, &[Some(1.0), Some(1.0), Some(2.0), Some(4.0), Some(8.0), Some(16.0), Some(32.0), None] ; "no limit any more")]
fn a_higher_rate_is_reached_in_steps_after_a_window(named: Option<f64>, steps: &[Option<f64>]) {
    let mut issuer = issuer();
    apply(&mut issuer, named, 1_000);
    for (index, step) in (0_u64..).zip(steps) {
        apply(&mut issuer, named, 4_998 + index);
        assert_eq!(limit(&issuer), *step, "step {index}");
    }
}

/// Guards against a rise that goes on although the endpoint names the lower limit again.
#[test]
fn a_lower_limit_interrupts_the_rise() {
    let mut issuer = issuer();
    apply(&mut issuer, None, 1_000);
    apply(&mut issuer, None, 5_000);
    assert_eq!(limit(&issuer), Some(2.0));
    assert!(apply(&mut issuer, Some(1.0), 5_100));
    apply(&mut issuer, None, 5_200);
    apply(&mut issuer, None, 9_100);
    assert_eq!(limit(&issuer), Some(1.0));
}

/// Guards against news of an older response, or of another incarnation, that change the limit in force.
#[test]
fn old_news_do_not_change_a_limit() {
    let mut issuer = issuer();
    apply(&mut issuer, Some(2.0), 1_000);
    assert!(!apply(&mut issuer, Some(0.5), 500), "an older response");
    assert!(
        !issuer.apply(&id(), Incarnation(0), Some(Rate(0.5)), at(2_000), at(2_000)),
        "an older incarnation"
    );
    assert_eq!(limit(&issuer), Some(1.0));
    assert!(issuer.apply(&id(), Incarnation(2), Some(Rate(3.0)), at(2_000), at(2_000)));
    assert_eq!(issuer.limit(&id(), Incarnation(2)), Some(Rate(3.0)));
    assert!(!is_granted(take(&mut issuer, 9_000)), "the former incarnation");
}

/// Guards against a limit that has ended and is in force again for an instance that did not hear of it.
#[test]
fn a_token_request_does_not_renew_an_ended_limit() {
    let mut issuer = issuer();
    apply(&mut issuer, None, 1_000);
    for millis in 5_000..5_010 {
        apply(&mut issuer, None, millis);
    }
    assert_eq!(limit(&issuer), None);
    assert!(!issuer.learn(&id(), INCARNATION, Rate(1.0), at(900), at(6_000)));
    assert!(is_granted(take(&mut issuer, 6_000)));
}

/// Guards against requests without limit under a leader that has not heard of it.
#[test]
fn a_token_request_tells_the_leader_of_a_limit() {
    let mut issuer = TokenIssuer::default();
    assert!(issuer.learn(&id(), INCARNATION, Rate(1.0), at(0), at(0)));
    assert!(!is_granted(take(&mut issuer, 0)));
}

/// Guards against tokens that go to whoever asks at the right moment, before more urgent and older requests.
#[test]
fn waiting_requests_get_tokens_by_priority_and_age() {
    let mut issuer = issuer();
    for (number, priority) in [(1, 2), (2, 1), (3, 2), (4, 0)] {
        assert_eq!(request(&mut issuer, number, priority, 10_000, number), []);
    }
    assert!(!is_granted(take(&mut issuer, 500)), "others wait");
    assert_eq!(granted_until(&mut issuer, 4_100), [4, 2, 1, 3]);
}

/// Guards against a request that waits although others get all tokens until it has to be answered, against a
/// wait that the refusal understates, and against a token that is issued without being asked for any more.
#[test]
fn a_request_that_can_not_get_a_token_in_time_is_denied_at_once() {
    let mut issuer = issuer();
    assert_eq!(request(&mut issuer, 1, 1, 1_500, 0), []);
    let denied = request(&mut issuer, 2, 1, 1_500, 0);
    assert!(matches!(denied[..], [(_, TokenReply::Denied(Millis(2_000..=2_002)))]), "{denied:?}");
    let displaced = request(&mut issuer, 3, 0, 1_500, 100);
    let [(ticket, TokenReply::Denied(Millis(1_900..=1_902)))] = &*displaced else { panic!("{displaced:?}") };
    assert_eq!(ticket.number, 1, "a more urgent request goes first");
    issuer.cancel(&id(), &Ticket { instance: "i".parse().unwrap(), number: 3 });
    assert_eq!(issuer.next_token(), None);
    assert!(is_granted(take(&mut issuer, 1_001)));
}

/// Guards against requests that wait for a token after the limit has ended.
#[test]
fn waiting_requests_are_sent_when_the_limit_ends() {
    let mut issuer = issuer();
    apply(&mut issuer, None, 100);
    apply(&mut issuer, None, 4_100);
    for number in 1..=9 {
        request(&mut issuer, number, 0, 10_000, 4_100);
    }
    for millis in 4_101..4_110 {
        apply(&mut issuer, None, millis);
    }
    assert_eq!(limit(&issuer), None);
    assert_eq!(issuer.advance(at(4_110)).len(), 8, "the first one had the token that was left");
}

/// Guards against state queries that take the tokens of callers' requests.
#[test]
fn state_queries_get_a_quarter_of_the_tokens() {
    let mut issuer = issuer();
    let queries = (0..20_000).filter(|millis| issuer.take_for_report(&id(), INCARNATION, at(*millis)));
    assert_eq!(queries.count(), 5);
}

/// Guards against requests to an endpoint for which the leader has no token, and against requests that wait
/// longer than that.
#[test]
fn an_endpoint_without_a_token_is_passed_over_until_the_next_one() {
    let (mut balancer, choice) = limited();
    assert!(choose(&balancer, at(0)).is_some(), "a token may be requested");
    balancer.record_denied(&choice, Duration::from_millis(700), at(0));
    assert_eq!(choose(&balancer, at(699)), None);
    assert_eq!(balancer.pause_remaining([entry()].iter(), at(200)), Some(Duration::from_millis(500)));
    assert!(choose(&balancer, at(700)).is_some());
}

/// Guards against a limit that ends because of a response that the endpoint sent before it named the limit.
#[test]
fn a_response_to_an_earlier_request_does_not_end_a_limit() {
    let (mut balancer, choice) = limited();
    let hear = |balancer: &mut Balancer, sent, now| {
        balancer.record_limit(&choice, AnnouncedLimit::Unlimited, sent, now)
    };
    assert_eq!(hear(&mut balancer, at(0), at(10)), LimitNews::None);
    assert_eq!(hear(&mut balancer, at(20), at(30)), LimitNews::Report(None));
    assert!(balancer.limit(&choice).is_some(), "the leader decides");
    balancer.set_limit(&choice.id, choice.incarnation, None, at(40));
    assert_eq!(balancer.limit(&choice), None);
}

/// Guards against values that stop an endpoint for good, divide by zero or fill the log.
#[test_case(AnnouncedLimit::Limited(Rate(0.0)), LimitNews::Report(Some(Rate(0.1))) ; "zero")]
#[test_case(AnnouncedLimit::Limited(Rate(1e-300)), LimitNews::Report(Some(Rate(0.1))) ; "almost zero")]
#[test_case(AnnouncedLimit::Limited(Rate(f64::INFINITY)), LimitNews::None ; "infinite")]
#[test_case(AnnouncedLimit::Limited(Rate(1e300)), LimitNews::None ; "absurdly high")]
#[test_case(AnnouncedLimit::Invalid, LimitNews::Invalid ; "invalid")]
fn bad_limits_are_bounded(limit: AnnouncedLimit, news: LimitNews) {
    let mut balancer = balancer();
    let choice = choose(&balancer, at(0)).unwrap();
    assert_eq!(balancer.record_limit(&choice, limit, at(0), at(0)), news);
    assert_eq!(balancer.record_limit(&choice, limit, at(0), at(1)), LimitNews::None, "reported once");
}

/// Guards against instances that lose the leader at the same moment and then all send at once, or each the
/// whole rate: they stay within what a leader that still issues the whole rate leaves of the 11 requests that
/// are allowed.
#[test]
fn instances_without_a_leader_stay_within_what_a_leader_leaves() {
    for (seed, instances) in [(0, 9), (1, 67), (2, 295)] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut balancers: Vec<(Balancer, Choice)> = (0..instances).map(|_| limited()).collect();
        let mut sent = Vec::new();
        for millis in (0..200_000).step_by(10) {
            for (balancer, choice) in &mut balancers {
                if choose(balancer, at(millis)).is_some()
                    && balancer.take_share(choice, Some(instances), rng.random(), at(millis))
                {
                    sent.push(at(millis));
                }
            }
        }
        assert!((25..=55).contains(&sent.len()), "{} requests in 200 s", sent.len());
        assert!(most_in_window(&sent) <= 5, "{} requests in a window", most_in_window(&sent));
    }
}

/// Guards against a share that is left over from the time before the last leader and used in addition to its
/// tokens.
#[test]
fn a_new_leader_ends_the_schedule_of_shares() {
    let (mut balancer, choice) = limited();
    assert!(!balancer.take_share(&choice, Some(9), 0.5, at(0)));
    assert_eq!(choose(&balancer, at(100)), None);
    balancer.reset_shares(at(200));
    assert!(choose(&balancer, at(200)).is_some(), "the leader is asked at once");
    assert!(!balancer.take_share(&choice, Some(9), 0.5, at(60_000)), "a new schedule begins");
}
