//! Tests of the order in which requests wait at an engine, with more prompts than it can read at once.

use carobwick_core::gateway::engine_priority;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Prompt tokens that the engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 38.0;
/// Time after which callers abandon a request whose response has not begun.
const ABANDON_TIME_MS: f64 = 3_200.0;
/// Length of a run, in virtual time.
const LENGTH_MS: f64 = 300_000.0;

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived: f64,
    /// Index of its kind, which is also the priority of its route.
    kind: usize,
    tokens: u64,
}

/// Kinds of requests, the more urgent first: most tokens of a prompt, target latency in milliseconds, and worth of a
/// response within it.
const KINDS: [(f64, f64, f64); 2] = [(1_500.0, 500.0, 0.94), (18_000.0, 800.0, 2.3)];

/// Counts of a kind of requests.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    asked: f64,
    in_time: f64,
    served: f64,
    /// Requests whose prompts are among the largest tenth.
    large: f64,
    large_served: f64,
}

/// Simulates one engine that reads one prompt after the other, in the order that `priority` gives. `load` is the demand
/// relative to what it can read; half of the requests are of each kind.
fn simulate(load: f64, priority: impl Fn(&Request) -> u8) -> [Counts; 2] {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mean_tokens = KINDS.iter().map(|(most, ..)| most / 2.0).sum::<f64>() / 2.0;
    let mean_gap = mean_tokens / TOKENS_PER_MS / load;
    let (mut now, mut next, mut counts) = (0.0, 0.0, [Counts::default(); 2]);
    let mut waiting: Vec<Request> = Vec::new();
    while next < LENGTH_MS {
        while next <= now || waiting.is_empty() {
            now = f64::max(now, next);
            let kind = rng.random_range(0..KINDS.len());
            let tokens = rng.random_range(1.0..KINDS[kind].0) as u64;
            waiting.push(Request { arrived: next, kind, tokens });
            counts[kind].asked += 1.0;
            counts[kind].large += f64::from(u8::from(is_large(kind, tokens)));
            next += -mean_gap * (1.0 - rng.random::<f64>()).ln();
        }
        waiting.retain(|request| now - request.arrived < ABANDON_TIME_MS);
        let Some(first) = (0..waiting.len()).min_by(|a, b| {
            let key = |index: &usize| (priority(&waiting[*index]), waiting[*index].arrived);
            key(a).partial_cmp(&key(b)).unwrap()
        }) else {
            continue;
        };
        let request = waiting.remove(first);
        now += request.tokens as f64 / TOKENS_PER_MS;
        let counts = &mut counts[request.kind];
        counts.served += 1.0;
        counts.in_time += f64::from(u8::from(now - request.arrived <= KINDS[request.kind].1));
        counts.large_served += f64::from(u8::from(is_large(request.kind, request.tokens)));
    }
    counts
}

fn is_large(kind: usize, tokens: u64) -> bool {
    tokens as f64 > KINDS[kind].0 * 0.9
}

/// Returns the worth in time as a share of all.
fn worth(counts: &[Counts; 2]) -> f64 {
    let sum = |count: fn(&Counts) -> f64| -> f64 {
        counts.iter().zip(KINDS).map(|(counts, (.., worth))| count(counts) * worth).sum()
    };
    sum(|counts| counts.in_time) / sum(|counts| counts.asked)
}

/// Guards against an order that makes more callers wait than needed, against a more urgent kind that is served less than
/// a less urgent one, and against long prompts that are never read.
#[test_case(0.7)]
#[test_case(0.9)]
#[test_case(1.1)]
fn short_prompts_go_before_long_ones_and_none_is_left_out(load: f64) {
    let by_arrival = simulate(load, |_| 5);
    let by_route = simulate(load, |request| request.kind as u8);
    let by_cost = simulate(load, |request| engine_priority(request.kind as u8, request.tokens));
    let shares = |counts: &[Counts; 2]| counts.map(|counts| counts.in_time / counts.asked);
    println!(
        "load {load}: worth in time {:.2} by arrival, {:.2} by route, {:.2} by cost; by kind {:.2?}, {:.2?}, {:.2?}",
        worth(&by_arrival),
        worth(&by_route),
        worth(&by_cost),
        shares(&by_arrival),
        shares(&by_route),
        shares(&by_cost)
    );
    assert!(worth(&by_cost) > worth(&by_route), "less is served in time than by the routes' priorities");
    let [urgent, other] = by_cost;
    assert!(urgent.served / urgent.asked >= other.served / other.asked, "the urgent kind is served less");
    let large = other.large_served / other.large;
    assert!(large >= 0.5 * other.served / other.asked, "{large} of the largest prompts are served");
}

/// Guards against priorities that engines do not know, and against an order that ignores the priority.
#[test]
fn the_priority_stays_within_the_levels_of_engines() {
    assert_eq!(engine_priority(0, 0), 0);
    assert_eq!(engine_priority(0, u64::MAX), 4);
    assert_eq!(engine_priority(200, 0), 9);
    assert_eq!(engine_priority(1, 4_096), 4);
    assert!(engine_priority(0, 4_096) < engine_priority(2, 4_096));
}
