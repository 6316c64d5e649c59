//! Tests of load balancing by an instance that a network partition separates from the endpoints of another
//! zone.

mod endpoint_fixture;

use std::time::Duration;

use carobwick_core::Time;
use carobwick_core::gateway::Balancer;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::PartId;
use carobwick_core::gateway::PromptPart;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::SendId;
use carobwick_core::gateway::SendOutcome;
use carobwick_core::gateway::Weights;
use endpoint_fixture::endpoint;
use indexmap::IndexSet;

/// Time after which a connection attempt times out.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time to a response.
const RESPONSE_TIME: Duration = Duration::from_millis(50);
/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const ZONES: usize = 4;
const ENDPOINTS: usize = 32;

/// Simulated instance that sends requests to endpoints in all zones, some of which it can't reach.
struct Simulation {
    balancer: Balancer,
    entries: Vec<EndpointEntry>,
    now: Time,
    in_flight: Vec<InFlight>,
    sent: u64,
    /// Number of sends to reachable endpoints of the zone that is partitioned at times.
    reachable_sends: usize,
}

struct InFlight {
    request: RequestHead,
    choice: Choice,
    send_id: SendId,
    ends: Time,
    outcome: SendOutcome,
}

impl Simulation {
    fn new() -> Self {
        let zones = (0..ZONES).flat_map(|zone| (0..ENDPOINTS).map(move |index| (zone, index)));
        let entries = zones.map(|(zone, index)| entry(&format!("z{zone}"), &format!("e{zone}{index:02}")));
        Self {
            balancer: Balancer::new("z0".parse().unwrap()),
            entries: entries.collect(),
            now: Time::ZERO + Duration::from_secs(100),
            in_flight: Vec::new(),
            sent: 0,
            reachable_sends: 0,
        }
    }

    /// Sends requests for some time; returns how many sends went to endpoints that can't be reached.
    fn run(&mut self, span: Duration, is_unreachable: impl Fn(&EndpointEntry) -> bool) -> usize {
        let end = self.now + span;
        let mut unreachable = 0;
        while self.now < end {
            self.sent += 1;
            let request = request(self.sent);
            unreachable += usize::from(self.send(request, &is_unreachable));
            let next = self.now + REQUEST_INTERVAL;
            unreachable += self.finish_until(next, &is_unreachable);
            self.now = next;
        }
        unreachable
    }

    /// Continues for 4 s and asserts that the zone that is partitioned at times gets at least half of its
    /// share of the requests.
    fn assert_zone_share(&mut self, is_unreachable: impl Fn(&EndpointEntry) -> bool) {
        let (span, before) = (Duration::from_secs(4), self.reachable_sends);
        self.run(span, is_unreachable);
        let sent = self.reachable_sends - before;
        let share = span.as_millis() as usize / REQUEST_INTERVAL.as_millis() as usize / ZONES;
        assert!(
            sent >= share / 2,
            "{sent} requests went to reachable endpoints of the zone, its share is {share}"
        );
    }

    /// Ends the requests that are due until a time and resends those without a response; returns how many of
    /// the sends went to endpoints that can't be reached.
    fn finish_until(&mut self, until: Time, is_unreachable: &impl Fn(&EndpointEntry) -> bool) -> usize {
        let mut unreachable = 0;
        while let Some(first) = self.in_flight.iter().enumerate().min_by_key(|(_, in_flight)| in_flight.ends)
        {
            let (index, ends) = (first.0, first.1.ends);
            if ends > until {
                break;
            }
            let InFlight { request, choice, send_id, outcome, .. } = self.in_flight.swap_remove(index);
            self.now = ends;
            if outcome == SendOutcome::Good {
                self.balancer.record_response(&choice, send_id, None, ends);
            }
            self.balancer.record_finished(&choice, send_id, outcome, ends);
            if outcome == SendOutcome::Unreachable {
                unreachable += usize::from(self.send(request, is_unreachable));
            }
        }
        unreachable
    }

    /// Sends a request; returns whether its endpoint can't be reached.
    fn send(&mut self, request: RequestHead, is_unreachable: &impl Fn(&EndpointEntry) -> bool) -> bool {
        let choice =
            self.balancer.choose(&request, self.entries.iter(), self.now).expect("an endpoint is chosen");
        let entry = self.entries.iter().find(|entry| entry.id == choice.id).unwrap();
        let is_unreachable = is_unreachable(entry);
        self.reachable_sends += usize::from(!is_unreachable && is_in_partitioned_zone(entry));
        let (time, outcome) = if is_unreachable {
            (CONNECT_TIMEOUT, SendOutcome::Unreachable)
        } else {
            (RESPONSE_TIME, SendOutcome::Good)
        };
        let send_id = self.balancer.record_sent(&request, &choice, self.now);
        self.in_flight.push(InFlight { request, choice, send_id, ends: self.now + time, outcome });
        is_unreachable
    }
}

fn is_in_partitioned_zone(entry: &EndpointEntry) -> bool {
    entry.zone.as_str() == "z2"
}

/// Returns a request that shares its prompt prefix with others, so that each zone is the first choice of some
/// requests.
fn request(number: u64) -> RequestHead {
    let prompt = vec![
        PromptPart { id: PartId(number % 50), tokens: 4_000 },
        PromptPart { id: PartId(number), tokens: 400 },
    ];
    let weights = Weights { model: "m".parse().unwrap(), adapter: None };
    RequestHead {
        weights: Some(weights),
        prompt,
        prompt_tokens: 4_400,
        max_output: 50,
        ..RequestHead::default()
    }
}

fn entry(zone: &str, id: &str) -> EndpointEntry {
    let mut resident = ResidentModels::default();
    resident.models.insert("m".parse().unwrap(), IndexSet::new());
    endpoint(id.parse().unwrap(), "s", zone, resident)
}

/// Guards against a network partition that costs a connection timeout for each endpoint of the zone, and
/// again whenever one of their circuit breakers lets a request through.
#[test]
fn a_partitioned_zone_is_detected_once_and_retried_once_a_second() {
    let mut simulation = Simulation::new();
    assert_eq!(simulation.run(Duration::from_secs(2), |_| false), 0);
    let detected = simulation.run(3 * CONNECT_TIMEOUT, is_in_partitioned_zone);
    let retries = simulation.run(Duration::from_secs(5), is_in_partitioned_zone);
    assert!(detected >= 2, "two endpoints must be found unreachable, {detected} requests were sent");
    assert!(retries <= 5, "{retries} requests in 5 s went to the zone that can't be reached");
}

/// Guards against a zone that gets no requests after its network partition has ended.
#[test]
fn a_zone_is_used_again_within_two_seconds_of_the_end_of_its_partition() {
    let mut simulation = Simulation::new();
    simulation.run(Duration::from_secs(4), is_in_partitioned_zone);
    simulation.run(Duration::from_secs(2), |_| false);
    simulation.assert_zone_share(|_| false);
}

/// Guards against a whole zone that is avoided because a few of its endpoints crashed.
#[test]
fn crashed_endpoints_do_not_make_their_zone_unreachable() {
    let mut simulation = Simulation::new();
    let is_crashed =
        |entry: &EndpointEntry| ["e200", "e201", "e202", "e203", "e204"].contains(&entry.id.as_str());
    simulation.run(Duration::from_secs(2), is_crashed);
    simulation.assert_zone_share(is_crashed);
}

/// Guards against a refusal when a connection to the only endpoint with the model has just timed out.
#[test]
fn an_unreachable_endpoint_is_used_if_there_is_no_other() {
    let mut simulation = Simulation::new();
    simulation.entries.truncate(1);
    simulation.run(REQUEST_INTERVAL, |_| true);
    simulation.finish_until(simulation.now + CONNECT_TIMEOUT.saturating_sub(REQUEST_INTERVAL), &|_| false);
    assert_eq!(simulation.in_flight.len(), 1, "the request was sent again");
}
