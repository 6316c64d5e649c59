//! Tests of the queueing model of an endpoint and of the simulation that uses it.

use std::time::Duration;

use carobwick_bench::Deployment;
use carobwick_bench::Engine;
use carobwick_bench::EngineOutput;
use carobwick_bench::Hardware;
use carobwick_bench::Job;
use carobwick_bench::PlacementRule;
use carobwick_bench::PrefixCache;
use carobwick_bench::Shape;
use carobwick_bench::Simulation;
use carobwick_core::DispatchPolicy;
use carobwick_core::RoutingRule;
use carobwick_core::Time;

fn engine() -> Engine {
    let hardware = Hardware {
        slots: 2,
        prefill_overhead: 0.0,
        prefill_time: 0.001,
        token_gap: 0.01,
        batch_slowdown: 0.01,
        cache_tokens: 1_000,
        adapter_load: 0.0,
    };
    Engine::new(hardware, Vec::new())
}

fn job(request: usize) -> Job {
    Job { request, prefix: Some((1, 900)), suffix_tokens: 100, output_tokens: 10, adapter: None }
}

fn run(engine: &mut Engine) -> Vec<(u64, EngineOutput)> {
    let mut seen = Vec::new();
    while let Some(next) = engine.next_event() {
        seen.extend(engine.advance(next).into_iter().map(|output| (next.millis(), output)));
    }
    seen
}

/// Guards against wrong service times, which would bias the comparison of policies.
///
/// Prefill takes 1 s without a cached prefix and 0.1 s with one; a request alone takes 20 ms per token.
#[test]
fn prefill_and_decode_take_the_expected_time() {
    let mut engine = engine();
    engine.enqueue(job(0));
    assert_eq!(run(&mut engine), [(1_000, EngineOutput::FirstToken(0)), (1_200, EngineOutput::Done(0))]);
    engine.enqueue(job(1));
    assert_eq!(run(&mut engine), [(1_300, EngineOutput::FirstToken(1)), (1_500, EngineOutput::Done(1))]);
}

/// Guards against more requests running at once than the engine has slots.
#[test]
fn engine_queues_beyond_its_slots() {
    let mut engine = engine();
    (0..3).for_each(|request| engine.enqueue(job(request)));
    assert_eq!((engine.load().running, engine.load().queued), (2, 1));
    let done: Vec<EngineOutput> = run(&mut engine).into_iter().map(|(_, output)| output).collect();
    assert_eq!(done.iter().filter(|output| matches!(output, EngineOutput::Done(_))).count(), 3);
}

/// Guards against outputs and cached prefixes of a process that has crashed.
#[test]
fn crash_loses_requests_and_cache() {
    let mut engine = engine();
    engine.enqueue(job(0));
    assert!(engine.advance(Time::ZERO + Duration::from_millis(1_100)).contains(&EngineOutput::FirstToken(0)));
    assert_eq!(engine.crash(), [0]);
    assert_eq!((engine.next_event(), engine.load().cached_tokens), (None, 0));
}

/// Guards against a cache that exceeds its capacity or evicts a recently used prefix.
#[test]
fn cache_evicts_the_least_recently_used_prefix() {
    let mut cache = PrefixCache::new(100);
    cache.insert(1, 50);
    cache.insert(2, 50);
    assert!(cache.touch(1));
    cache.insert(3, 50);
    assert_eq!((cache.touch(1), cache.touch(2), cache.touch(3), cache.tokens()), (true, false, true, 100));
}

/// Guards against results that cannot be reproduced, and against requests that are missing from the score.
#[test]
fn equal_seeds_give_equal_scores() {
    let deployments = Deployment::all(PlacementRule::Spread).unwrap();
    for policy in [DispatchPolicy::default(), DispatchPolicy::baseline(RoutingRule::RoundRobin)] {
        let score = || Simulation::run(&deployments[0], &policy, Shape::Faults, 40, 3);
        let (first, second) = (score(), score());
        assert!(first.attained > 0);
        assert_eq!(first.arrived, first.refused + first.failed + first.first_token.len());
        assert_eq!((first.arrived, first.attained), (second.arrived, second.attained));
        assert_eq!(first.first_token, second.first_token);
    }
}
