//! Tests of endpoints that ask for a pause: which are skipped, which requests wait, and the slow start after
//! the pause.

mod endpoint_fixture;

use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::Time;
use carobwick_core::gateway::Balancer;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::PauseStep;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::SendId;
use carobwick_core::gateway::SendOutcome;
use carobwick_core::gateway::pause_step;
use endpoint_fixture::endpoint;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const PAUSE: Duration = Duration::from_secs(2);
/// Longest pause that a response may cause.
const MAX_PAUSE: Duration = Duration::from_mins(5);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn entry(id: &str) -> EndpointEntry {
    endpoint(id.parse().unwrap(), "s", "z1", ResidentModels::default())
}

fn balancer() -> Balancer {
    Balancer::new("z1".parse().unwrap())
}

fn choose(balancer: &Balancer, entries: &[EndpointEntry], now: Time) -> Option<Choice> {
    balancer.choose(&RequestHead::default(), entries.iter(), now)
}

fn send(balancer: &mut Balancer, entries: &[EndpointEntry], now: Time) -> Option<(Choice, SendId)> {
    let choice = choose(balancer, entries, now)?;
    let send_id = balancer.record_sent(&RequestHead::default(), &choice, now);
    Some((choice, send_id))
}

/// Sends requests until the endpoints accept no more, 100 at most.
fn send_until_full(balancer: &mut Balancer, entries: &[EndpointEntry], now: Time) -> Vec<(Choice, SendId)> {
    (0..100).map_while(|_| send(balancer, entries, now)).collect()
}

/// Returns a balancer with one endpoint that has requested a pause of [`PAUSE`] at 0 ms.
fn paused() -> (Balancer, Vec<EndpointEntry>, Choice) {
    let mut balancer = balancer();
    let entries = vec![entry("a")];
    let (choice, send_id) = send(&mut balancer, &entries, at(0)).unwrap();
    balancer.record_rejected(&choice, PAUSE, at(0));
    balancer.record_finished(&choice, send_id, SendOutcome::Declined, at(0));
    (balancer, entries, choice)
}

/// Guards against requests to an endpoint within the pause that it requested.
#[test]
fn a_paused_endpoint_is_skipped_until_its_pause_ends() {
    let (balancer, mut entries, _) = paused();
    assert_eq!(choose(&balancer, &entries, at(1_999)), None);
    assert_eq!(balancer.pause_remaining(entries.iter(), at(500)), Some(Duration::from_millis(1_500)));
    assert!(choose(&balancer, &entries, at(2_000)).is_some());
    entries.push(entry("b"));
    assert_eq!(choose(&balancer, &entries, at(500)).unwrap().id.as_str(), "b");
}

/// Guards against all waiting requests being sent to the endpoint at once, and against a limit that keeps
/// growing although the endpoint declines requests.
#[test]
fn the_load_grows_with_what_the_endpoint_accepts() {
    let (mut balancer, entries, choice) = paused();
    let now = at(2_000);
    let mut admitted = Vec::new();
    for _ in 0..4 {
        let sent = send_until_full(&mut balancer, &entries, now);
        admitted.push(sent.len());
        balancer.record_accepted(&choice);
        for (choice, send_id) in sent {
            balancer.record_finished(&choice, send_id, SendOutcome::Good, now);
        }
    }
    assert_eq!(admitted, [1, 2, 4, 8]);
    let (choice, send_id) = send(&mut balancer, &entries, now).unwrap();
    balancer.record_finished(&choice, send_id, SendOutcome::Declined, now);
    assert_eq!(send_until_full(&mut balancer, &entries, now).len(), 8, "half of the limit of 16");
}

/// Guards against a limit that stays after the endpoint has recovered.
#[test]
fn an_endpoint_that_accepts_requests_recovers() {
    let (mut balancer, entries, choice) = paused();
    for _ in 0..6 {
        assert!(balancer.record_accepted(&choice));
    }
    assert!(!balancer.is_recovering(&choice));
    assert_eq!(balancer.pause_remaining(entries.iter(), at(2_000)), None);
}

/// Guards against an endpoint that is unused for a day because of one response.
#[test]
fn a_pause_is_bounded() {
    let (mut balancer, entries, choice) = paused();
    balancer.record_rejected(&choice, Duration::MAX, at(0));
    assert_eq!(balancer.pause_remaining(entries.iter(), at(0)), Some(MAX_PAUSE));
    assert!(choose(&balancer, &entries, at(0) + MAX_PAUSE).is_some());
}

/// Guards against a shorter pause that ends a longer one when responses arrive out of order.
#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let (mut balancer, entries, choice) = paused();
    balancer.record_rejected(&choice, Duration::from_millis(100), at(10));
    assert_eq!(choose(&balancer, &entries, at(1_999)), None);
}

/// Guards against a pause that an ended incarnation of the endpoint requested and that still applies to the
/// next one.
#[test]
fn a_new_incarnation_is_not_bound_by_the_pause_of_the_last() {
    let (balancer, entries, _) = paused();
    let restarted =
        EndpointEntry { incarnation: Incarnation(entries[0].incarnation.0 + 1), ..entries[0].clone() };
    assert!(choose(&balancer, &[restarted], at(100)).is_some());
}

/// Guards against a pause that is lost when the entry of the endpoint expires and is added again.
#[test]
fn a_pause_outlasts_an_expired_entry() {
    let (mut balancer, entries, _) = paused();
    balancer.retain(|_| false, at(100));
    assert_eq!(choose(&balancer, &entries, at(200)), None);
}

/// Guards against requests that wait for an endpoint that fails after its pause.
#[test]
fn no_request_waits_for_an_endpoint_whose_breaker_is_open() {
    let (mut balancer, entries, _) = paused();
    let mut now = at(2_000);
    while let Some((choice, send_id)) = send(&mut balancer, &entries, now) {
        balancer.record_finished(&choice, send_id, SendOutcome::Lost, now);
        now = now + Duration::from_millis(10);
        assert!(now < at(3_000), "the breaker does not open");
    }
    assert_eq!(balancer.pause_remaining(entries.iter(), now), None);
}

/// Guards against an endpoint that gets no request for seconds since its circuit breaker waits for the outcome of a
/// probe that was declined, that the endpoint failed or whose caller has left.
#[test_case(SendOutcome::Declined, 0 ; "declined")]
#[test_case(SendOutcome::Neutral, 1_000 ; "cancelled")]
#[test_case(SendOutcome::Failed, 1_000 ; "failed")]
fn a_probe_without_a_lost_connection_does_not_block_the_next_request(outcome: SendOutcome, delay: u64) {
    let (mut balancer, entries) = (balancer(), [entry("a")]);
    while let Some((choice, send_id)) = send(&mut balancer, &entries, at(0)) {
        balancer.record_finished(&choice, send_id, SendOutcome::Lost, at(0));
    }
    let (choice, send_id) = send(&mut balancer, &entries, at(1_000)).expect("a probe after the pause");
    assert!(send(&mut balancer, &entries, at(1_010)).is_none(), "one probe at a time");
    balancer.record_finished(&choice, send_id, outcome, at(1_020));
    assert!(send(&mut balancer, &entries, at(1_020 + delay)).is_some());
}

/// Guards against requests that wait past their deadline, and against refusals when the wait is short.
#[test_case(400, 1_000, PauseStep::Wait(Duration::from_millis(400)) ; "the pause ends in time")]
#[test_case(0, 1_000, PauseStep::Wait(Duration::from_secs(1)) ; "the limit on requests in flight is reached")]
#[test_case(1_000, 1_000, PauseStep::Refuse(Duration::from_secs(1)) ; "the pause ends too late")]
#[test_case(5_000, 0, PauseStep::Refuse(Duration::from_secs(5)) ; "it has waited long enough")]
#[test_case(0, 0, PauseStep::Refuse(Duration::ZERO) ; "it has waited long enough for the limit")]
fn a_request_waits_only_for_a_pause_that_ends_in_time(remaining: u64, max_wait: u64, step: PauseStep) {
    assert_eq!(pause_step(Duration::from_millis(remaining), Duration::from_millis(max_wait)), step);
}

/// Simulated instance that sends requests to endpoints, some of which ask for pauses.
struct Instance {
    balancer: Balancer,
    in_flight: Vec<(Choice, SendId)>,
    /// End of the pause that each endpoint has asked this instance for.
    paused_until: IndexMap<EndpointId, Time>,
}

impl Instance {
    fn new() -> Self {
        Self { balancer: balancer(), in_flight: Vec::new(), paused_until: IndexMap::new() }
    }

    /// Sends a request if there is an endpoint for it; returns the endpoint and its pause if the request
    /// violates one.
    fn send(&mut self, entries: &[EndpointEntry], now: Time) -> Option<(EndpointId, Time)> {
        let (choice, send_id) = send(&mut self.balancer, entries, now)?;
        let paused_until =
            self.paused_until.get(&choice.id).copied().filter(|paused_until| now < *paused_until);
        let id = choice.id.clone();
        self.in_flight.push((choice, send_id));
        paused_until.map(|paused_until| (id, paused_until))
    }

    /// Ends one of the requests in flight; a third of the endpoints ask for pauses at times.
    fn end_one(&mut self, rng: &mut ChaCha8Rng, now: Time) {
        let (choice, send_id) = self.in_flight.swap_remove(rng.random_range(0..self.in_flight.len()));
        let rejects = ["e0", "e1"].contains(&choice.id.as_str()) && rng.random_bool(0.5);
        let outcome = if rejects {
            let pause = Duration::from_millis(rng.random_range(100..4_000));
            self.balancer.record_rejected(&choice, pause, now);
            let paused_until = self.paused_until.entry(choice.id.clone()).or_default();
            *paused_until = (*paused_until).max(now + pause);
            SendOutcome::Declined
        } else {
            self.balancer.record_response(&choice, send_id, None, now);
            self.balancer.record_accepted(&choice);
            SendOutcome::Good
        };
        self.balancer.record_finished(&choice, send_id, outcome, now);
    }
}

/// Guards against orders of responses, sends and freezes in which an endpoint gets a request within its
/// pause.
#[test]
fn no_instance_sends_within_a_pause() {
    let entries: Vec<EndpointEntry> = (0..6).map(|index| entry(&format!("e{index}"))).collect();
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut instances: Vec<Instance> = (0..20).map(|_| Instance::new()).collect();
        let mut now = at(0);
        for _ in 0..3_000 {
            // An instance may be frozen for longer than any pause.
            let step = if rng.random_bool(0.002) { 8_000 } else { rng.random_range(0..20) };
            now = now + Duration::from_millis(step);
            let index = rng.random_range(0..instances.len());
            let instance = &mut instances[index];
            assert_eq!(instance.send(&entries, now), None, "seed {seed} at {now:?}");
            if !instance.in_flight.is_empty() && rng.random_bool(0.7) {
                instance.end_one(&mut rng, now);
            }
        }
    }
}
