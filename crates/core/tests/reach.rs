//! Choice of endpoints by an instance that a cut keeps from those of another zone.

mod endpoint_fixture;

use std::time::Duration;

use carobwick_core::Time;
use carobwick_core::gateway::Balancer;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::PromptPart;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::SendId;
use carobwick_core::gateway::SendOutcome;
use carobwick_core::gateway::Weights;
use endpoint_fixture::endpoint;
use indexmap::IndexSet;

/// Time after which a connection that is not made is given up.
const CONNECT: Duration = Duration::from_millis(300);
/// Time to an answer.
const ANSWER: Duration = Duration::from_millis(50);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(50);
const ZONES: usize = 4;
const ENDPOINTS: usize = 32;

/// An instance whose requests go to endpoints in all zones, some of which it can't reach.
struct Scene {
    balancer: Balancer,
    entries: Vec<EndpointEntry>,
    now: Time,
    open: Vec<Open>,
    sent: u64,
    /// Sends to sound endpoints of the zone that is cut off at times.
    sound: usize,
}

struct Open {
    call: RequestHead,
    choice: Choice,
    ticket: SendId,
    ends: Time,
    verdict: SendOutcome,
}

impl Scene {
    fn new() -> Self {
        let zones = (0..ZONES).flat_map(|zone| (0..ENDPOINTS).map(move |index| (zone, index)));
        let entries = zones.map(|(zone, index)| entry(&format!("z{zone}"), &format!("e{zone}{index:02}")));
        Self {
            balancer: Balancer::new("z0".parse().unwrap()),
            entries: entries.collect(),
            now: Time::ZERO + Duration::from_secs(100),
            open: Vec::new(),
            sent: 0,
            sound: 0,
        }
    }

    /// Sends requests for some time; returns how many sends went to endpoints that can't be reached.
    fn play(&mut self, span: Duration, is_cut: impl Fn(&EndpointEntry) -> bool) -> usize {
        let end = self.now + span;
        let mut silent = 0;
        while self.now < end {
            self.sent += 1;
            let call = call(self.sent);
            silent += usize::from(self.send(call, &is_cut));
            let next = self.now + PAUSE;
            silent += self.settle(next, &is_cut);
            self.now = next;
        }
        silent
    }

    /// Plays on and asserts that the zone that is cut off at times gets half of its share of the requests or more.
    fn assert_share(&mut self, is_cut: impl Fn(&EndpointEntry) -> bool) {
        let (span, before) = (Duration::from_secs(4), self.sound);
        self.play(span, is_cut);
        let sent = self.sound - before;
        let share = span.as_millis() as usize / PAUSE.as_millis() as usize / ZONES;
        assert!(
            sent >= share / 2,
            "{sent} requests went to the zone's sound endpoints, its share is {share}"
        );
    }

    /// Ends what ends until a time, and sends again what was not answered.
    fn settle(&mut self, until: Time, is_cut: &impl Fn(&EndpointEntry) -> bool) -> usize {
        let mut silent = 0;
        while let Some(first) = self.open.iter().enumerate().min_by_key(|(_, open)| open.ends) {
            let (index, ends) = (first.0, first.1.ends);
            if ends > until {
                break;
            }
            let Open { call, choice, ticket, verdict, .. } = self.open.swap_remove(index);
            self.now = ends;
            if verdict == SendOutcome::Good {
                self.balancer.responded(&choice, ticket, None, ends);
            }
            self.balancer.finished(&choice, ticket, verdict, ends);
            if verdict == SendOutcome::Unreachable {
                silent += usize::from(self.send(call, is_cut));
            }
        }
        silent
    }

    /// Sends a request; returns whether its endpoint can't be reached.
    fn send(&mut self, call: RequestHead, is_cut: &impl Fn(&EndpointEntry) -> bool) -> bool {
        let choice =
            self.balancer.choose(&call, self.entries.iter(), self.now).expect("an endpoint is chosen");
        let entry = self.entries.iter().find(|entry| entry.id == choice.id).unwrap();
        let is_cut = is_cut(entry);
        self.sound += usize::from(!is_cut && is_in_cut_zone(entry));
        let (time, verdict) =
            if is_cut { (CONNECT, SendOutcome::Unreachable) } else { (ANSWER, SendOutcome::Good) };
        let ticket = self.balancer.sent(&call, &choice, self.now);
        self.open.push(Open { call, choice, ticket, ends: self.now + time, verdict });
        is_cut
    }
}

fn is_in_cut_zone(entry: &EndpointEntry) -> bool {
    entry.zone.as_str() == "z2"
}

/// A call whose prompt begins as that of others does, so that all zones are some calls' first choice.
fn call(number: u64) -> RequestHead {
    let prompt = vec![PromptPart { id: number % 50, tokens: 4_000 }, PromptPart { id: number, tokens: 400 }];
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
    let mut holding = ResidentModels::default();
    holding.models.insert("m".parse().unwrap(), IndexSet::new());
    endpoint(id.parse().unwrap(), "s", zone, holding)
}

/// Guards against a cut between zones that costs a connection's time for each of the endpoints behind it, and again
/// whenever their circuit breakers let a request through.
#[test]
fn a_cut_zone_is_found_out_once_and_tried_once_a_second() {
    let mut scene = Scene::new();
    assert_eq!(scene.play(Duration::from_secs(2), |_| false), 0);
    let found = scene.play(3 * CONNECT, is_in_cut_zone);
    let tries = scene.play(Duration::from_secs(5), is_in_cut_zone);
    assert!(found >= 2, "two endpoints must be silent, {found} requests were");
    assert!(tries <= 5, "{tries} requests in 5 s went to the zone that can't be reached");
}

/// Guards against a zone that stays without requests after a cut has ended.
#[test]
fn a_zone_is_used_again_within_two_seconds_of_the_end_of_its_cut() {
    let mut scene = Scene::new();
    scene.play(Duration::from_secs(4), is_in_cut_zone);
    scene.play(Duration::from_secs(2), |_| false);
    scene.assert_share(|_| false);
}

/// Guards against a whole zone that is passed over since a few of its endpoints crashed.
#[test]
fn crashed_endpoints_do_not_take_their_zone_with_them() {
    let mut scene = Scene::new();
    let is_dark =
        |entry: &EndpointEntry| ["e200", "e201", "e202", "e203", "e204"].contains(&entry.id.as_str());
    scene.play(Duration::from_secs(2), is_dark);
    scene.assert_share(is_dark);
}

/// Guards against a refusal where the only endpoint with the model has just missed a connection.
#[test]
fn a_doubted_endpoint_is_used_if_there_is_no_other() {
    let mut scene = Scene::new();
    scene.entries.truncate(1);
    scene.play(PAUSE, |_| true);
    scene.settle(scene.now + CONNECT.saturating_sub(PAUSE), &|_| false);
    assert_eq!(scene.open.len(), 1, "the request was sent again");
}
