//! Tests of the balancer with endpoints of uneven speed, and of the pace that they name.

mod endpoint_fixture;
mod uneven_fixture;

use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::LoadReport;
use carobwick_core::Time;
use carobwick_core::gateway::Balancer;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::EndpointTable;
use carobwick_core::gateway::Pace;
use carobwick_core::gateway::PaceEstimate;
use carobwick_core::gateway::PacedLoad;
use carobwick_core::gateway::PartId;
use carobwick_core::gateway::PendingLoads;
use carobwick_core::gateway::PromptPart;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::SendOutcome;
use carobwick_core::gateway::SharedLoad;
use carobwick_core::gateway::SharedLoads;
use carobwick_core::gateway::Weights;
use carobwick_core::gateway::resolve_loads;
use endpoint_fixture::endpoint;
use test_case::test_case;
use uneven_fixture::Deployment;
use uneven_fixture::Figure;
use uneven_fixture::Measured;
use uneven_fixture::run;
use uneven_fixture::uneven_speeds;

/// Bound of the busy time of the busiest endpoint relative to the mean.
const MAX_BUSIEST: f64 = 1.3;
/// Least number of requests of the slowest endpoint, relative to the mean; by its speed it would run 0.63.
const MIN_SLOWEST_SHARE: f64 = 0.4;

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn pace(percent: u32) -> Pace {
    percent.to_string().parse().unwrap()
}

fn paced(running: u32, percent: u32) -> PacedLoad {
    PacedLoad { load: LoadReport { running, ..LoadReport::default() }, pace: Some(pace(percent)) }
}

/// Returns a deployment of model engines.
fn engines(count: usize, instances: u32, demand: f64, figure: Figure) -> Deployment {
    Deployment {
        speeds: uneven_speeds(count),
        slots: 16,
        max_queued: usize::MAX,
        instances,
        work: 2.0,
        demand,
        engines: true,
        report_steps: 50,
        figure,
    }
}

/// Returns the mean of a quantity over seeds.
fn mean(deployment: &Deployment, seeds: u64, quantity: impl Fn(&Measured) -> f64) -> f64 {
    let total: f64 = (1..=seeds).map(|seed| quantity(&run(deployment, seed))).sum();
    total / seeds as f64
}

/// Guards against an endpoint that is busy for much longer than the others, one that is idle while another queues, and one
/// that is left out since it is slow.
#[test_case(60, 66, 0.6, 8 ; "60 endpoints")]
#[test_case(60, 66, 0.8, 3 ; "60 busy endpoints")]
#[test_case(300, 295, 0.8, 2 ; "300 busy endpoints")]
fn uneven_endpoints_are_busy_for_equal_times(endpoints: usize, instances: u32, demand: f64, seeds: u64) {
    for seed in 1..=seeds {
        let measured = run(&engines(endpoints, instances, demand, Figure::Present), seed);
        assert!(measured.busiest < MAX_BUSIEST, "seed {seed}: {measured}");
        assert!(measured.idle_while_queued == 0.0, "seed {seed}: {measured}");
        assert!(measured.slowest_share > MIN_SLOWEST_SHARE, "seed {seed}: {measured}");
    }
}

/// Guards against a pace that is known but does not shorten the time to the response.
#[test]
fn a_known_pace_shortens_the_time_to_the_response() {
    let head = |figure| mean(&engines(60, 66, 0.6, figure), 3, |measured| measured.mean_head);
    let (before, after) = (head(Figure::Absent), head(Figure::Present));
    assert!(after < before, "{after} s, without figures {before} s");
}

/// Guards against more declined requests at the endpoints of a plain service once their pace is known.
#[test]
fn a_known_pace_does_not_cause_declines() {
    let declined = |figure| {
        let speeds = vec![0.55, 0.875, 1.2];
        let deployment = Deployment {
            speeds,
            slots: 6,
            max_queued: 3,
            work: 0.1,
            engines: false,
            ..engines(2, 59, 0.6, figure)
        };
        mean(&deployment, 8, |measured| measured.declined)
    };
    let (before, after) = (declined(Figure::Absent), declined(Figure::Present));
    assert!(after < before, "{after} of the requests, without figures {before}");
}

/// Guards against a figure that is taken although it can't be right.
#[test_case("250", Some(2.5) ; "slow")]
#[test_case(" 83.4 ", Some(0.83) ; "fast, with a fraction")]
#[test_case("10000", Some(100.0) ; "the greatest")]
#[test_case("10001", None ; "too great")]
#[test_case("184467440737095516160", None ; "huge")]
#[test_case("inf", None ; "infinite")]
#[test_case("NaN", None ; "no number")]
#[test_case("0", None ; "zero")]
#[test_case("-0", None ; "negative zero")]
#[test_case("-100", None ; "negative")]
#[test_case("", None ; "empty")]
#[test_case("fast", None ; "a word")]
fn a_figure_is_read_or_ignored(text: &str, ratio: Option<f64>) {
    assert_eq!(text.parse::<Pace>().ok().map(Pace::ratio), ratio);
}

/// Guards against a slow phase that counts long after it has ended.
#[test]
fn an_old_figure_gives_way_to_the_lasting_pace() {
    let mut estimate = PaceEstimate::default();
    assert_eq!(estimate.ratio(at(0)), None);
    for sample in 0..50 {
        estimate.update(pace(100), at(sample * 1_000));
    }
    estimate.update(pace(250), at(50_000));
    assert!(estimate.ratio(at(50_000)).unwrap() > 2.4);
    assert!(estimate.ratio(at(50_600)).unwrap() < 1.6);
    assert!(estimate.ratio(at(60_000)).unwrap() < 1.1);
}

/// Guards against a relayed figure, which is older, in place of one that the endpoint has just named.
#[test]
fn a_relayed_figure_does_not_replace_a_later_one() {
    let mut estimate = PaceEstimate::default();
    estimate.update(pace(100), at(5_000));
    estimate.update_relayed(pace(250), at(5_100));
    assert!((estimate.ratio(at(5_100)).unwrap() - 1.0).abs() < 1e-9);
}

/// Guards against many responses in one slow phase that change the lasting pace.
#[test]
fn a_slow_phase_with_many_responses_counts_once() {
    let mut estimate = PaceEstimate::default();
    for sample in 0..20 {
        estimate.update(pace(100), at(sample * 1_000));
    }
    for sample in 0..300 {
        estimate.update(pace(250), at(20_000 + sample));
    }
    assert!(estimate.ratio(at(30_000)).unwrap() < 1.1);
}

/// Guards against paces that reach the wrong endpoint, or that are lost if only some endpoints name one.
#[test]
fn paces_are_shared_with_their_loads() {
    let ids: Vec<EndpointId> = ["a", "b", "c"].iter().map(|id| id.parse().unwrap()).collect();
    let mut pending = PendingLoads::default();
    for (id, percent) in ids.iter().zip([None, Some(250), None]) {
        let load = SharedLoad::new(id, Incarnation(1), LoadReport::default());
        pending.insert(load, percent.map(pace));
    }
    let shared = pending.take();
    let mut table = EndpointTable::default();
    table.replace(entries(), at(0));
    let paces: Vec<Option<Pace>> = resolve_loads(&shared, &table).map(|(_, _, load)| load.pace).collect();
    assert_eq!(paces, [None, Some(pace(250)), None]);
}

/// Guards against loads that are lost since the message of an instance of the version before has no paces, and against bytes
/// for paces in deployments without them.
#[test]
fn loads_without_paces_are_shared() {
    let load = SharedLoad::new(&"a".parse().unwrap(), Incarnation(1), LoadReport::default());
    let shared = SharedLoads { loads: vec![load], paces: Vec::new() };
    assert_eq!(shared.iter().collect::<Vec<_>>(), [(load, None)]);
    let mut pending = PendingLoads::default();
    pending.extend(&shared);
    assert_eq!(pending.take(), shared);
}

/// Returns three engines with eight slots.
fn entries() -> Vec<EndpointEntry> {
    let entry = |id: &&str| endpoint(id.parse().unwrap(), "s", "z", ResidentModels::default());
    ["a", "b", "c"].iter().map(entry).collect()
}

/// Returns a request with a prompt that no other request shares.
fn request(prompt_tokens: u64) -> RequestHead {
    let weights = Weights { model: "m".parse().unwrap(), adapter: None };
    RequestHead { weights: Some(weights), prompt_tokens, ..RequestHead::default() }
}

/// Returns a balancer that knows the load of each engine.
fn balancer(entries: &[EndpointEntry], loads: [PacedLoad; 3]) -> Balancer {
    let mut balancer = Balancer::new("z".parse().unwrap());
    for (entry, load) in entries.iter().zip(loads) {
        balancer.record_relayed(&entry.id, entry.incarnation, load, at(1_000));
    }
    balancer
}

fn chosen(balancer: &Balancer, request: &RequestHead, entries: &[EndpointEntry]) -> String {
    balancer.choose(request, entries.iter(), at(1_000)).unwrap().id.to_string()
}

/// Guards against a moderately slower engine that gets long prompts although a faster one is as busy.
#[test]
fn a_long_prompt_goes_to_a_fast_engine() {
    let entries = entries();
    let balancer = balancer(&entries, [paced(4, 120), paced(4, 83), paced(4, 110)]);
    assert_eq!(chosen(&balancer, &request(4_000), &entries), "b");
}

/// Guards against a shared prompt that is prefilled again on another engine since that one is somewhat faster.
#[test]
fn a_cached_prefix_outweighs_a_moderately_slower_engine() {
    let entries = entries();
    let shared = [PromptPart { id: PartId(7), tokens: 4_000 }, PromptPart { id: PartId(8), tokens: 100 }];
    let request = RequestHead { prompt: shared.to_vec(), ..request(4_100) };
    let home = chosen(&balancer(&entries, [paced(2, 100); 3]), &request, &entries);
    let slow_home = entries.iter().map(|entry| paced(2, if entry.id.as_str() == home { 150 } else { 90 }));
    let loads: Vec<PacedLoad> = slow_home.collect();
    let balancer = balancer(&entries, loads.try_into().unwrap());
    assert_eq!(chosen(&balancer, &request, &entries), home);
}

/// Guards against a fast engine that gets requests which then queue, although a slower one has free slots.
#[test]
fn an_engine_with_occupied_slots_is_passed_over() {
    let entries = entries();
    let balancer = balancer(&entries, [paced(5, 180), paced(9, 83), paced(9, 83)]);
    assert_eq!(chosen(&balancer, &request(1_000), &entries), "a");
}

/// Guards against an engine that fails its requests fast and is taken for a fast one.
#[test]
fn a_failing_engine_is_told_from_a_fast_one() {
    let entries = entries();
    let mut balancer = balancer(&entries, [paced(0, 83), paced(4, 180), paced(4, 180)]);
    let first = balancer.choose(&request(4_000), entries.iter(), at(1_000)).unwrap();
    assert_eq!(first.id.as_str(), "a");
    let send_id = balancer.record_sent(&request(4_000), &first, at(1_000));
    balancer.record_response(&first, send_id, Some(paced(0, 83)), at(1_000));
    balancer.record_finished(&first, send_id, SendOutcome::Failed, at(1_000));
    assert_ne!(chosen(&balancer, &request(4_000), &entries), "a");
}

/// Guards against the pace of a machine that is kept for the next process at the endpoint, which may run elsewhere.
#[test]
fn a_new_incarnation_has_no_pace() {
    let mut entries = entries();
    let balancer = balancer(&entries, [paced(0, 1_000), paced(4, 100), paced(4, 100)]);
    assert_ne!(chosen(&balancer, &request(4_000), &entries), "a");
    entries[0].incarnation = Incarnation(2);
    assert_eq!(chosen(&balancer, &request(4_000), &entries), "a");
}
