//! Choices of the balancer where no endpoint names the pace of its machine.

mod endpoint_fixture;

use std::fmt::Write;
use std::time::Duration;

use carobwick_core::LoadReport;
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
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;
use xxhash_rust::xxh3::xxh3_64;

/// Endpoints of each service.
const ENDPOINTS: usize = 24;
/// Events of a sequence.
const EVENTS: u64 = 20_000;

/// Returns the endpoints, in two zones and with different numbers of slots.
fn entries() -> Vec<EndpointEntry> {
    let entry = |index: usize| EndpointEntry {
        slots: [6, 16, 64][index % 3],
        ..endpoint(
            format!("e{index}").parse().unwrap(),
            "s",
            ["y", "z"][index % 2],
            ResidentModels::default(),
        )
    };
    (0..ENDPOINTS).map(entry).collect()
}

fn request(engines: bool, event: u64, rng: &mut ChaCha8Rng) -> RequestHead {
    let weights = Weights { model: "m".parse().unwrap(), adapter: None };
    let part = |id, tokens| PromptPart { id: PartId(id), tokens };
    let shared = part(rng.random_range(0..12), rng.random_range(0..3_000));
    let own = part(1_000 + event, rng.random_range(1..2_000));
    RequestHead {
        attempt_id: format!("{event:016x}"),
        weights: engines.then_some(weights),
        prompt_tokens: u64::from(shared.tokens + own.tokens),
        prompt: if engines { vec![shared, own] } else { Vec::new() },
        ..RequestHead::default()
    }
}

fn outcome(rng: &mut ChaCha8Rng) -> SendOutcome {
    match rng.random_range(0..40) {
        0 => SendOutcome::Declined,
        1 => SendOutcome::Failed,
        2 => SendOutcome::Lost,
        3 => SendOutcome::Unreachable,
        4 => SendOutcome::Neutral,
        _ => SendOutcome::Good,
    }
}

/// Returns a digest of the choices and their costs in a random sequence of requests, responses and relayed loads.
fn digest(engines: bool, instances: u32, seed: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let entries = entries();
    let mut balancer = Balancer::new("z".parse().unwrap());
    balancer.set_instances(instances);
    let mut sent: Vec<(Choice, SendId)> = Vec::new();
    let mut choices = String::new();
    for event in 0..EVENTS {
        let now = Time::ZERO + Duration::from_millis(event * 7);
        let load = LoadReport {
            running: rng.random_range(0..70),
            queued: rng.random_range(0..5),
            ..LoadReport::default()
        };
        match rng.random_range(0..4) {
            0 => {
                let entry = &entries[rng.random_range(0..ENDPOINTS)];
                balancer.record_relayed(&entry.id, entry.incarnation, load.into(), now);
            }
            1 if !sent.is_empty() => {
                let (choice, send_id) = sent.swap_remove(rng.random_range(0..sent.len()));
                let outcome = outcome(&mut rng);
                if outcome == SendOutcome::Good {
                    balancer.record_response(&choice, send_id, Some(load.into()), now);
                }
                balancer.record_finished(&choice, send_id, outcome, now);
            }
            _ => {
                let request = request(engines, event, &mut rng);
                let Some(choice) = balancer.choose(&request, entries.iter(), now) else { continue };
                writeln!(choices, "{} {}", choice.id, choice.cost).unwrap();
                let send_id = balancer.record_sent(&request, &choice, now);
                sent.push((choice, send_id));
                sent.drain(..sent.len().saturating_sub(200));
            }
        }
    }
    xxh3_64(choices.as_bytes())
}

/// Guards against other choices in deployments whose endpoints name no pace. The digests were recorded with the balancer
/// from before there was a pace.
#[test_case(true, 1, 10_138_824_660_669_072_261 ; "engines, one instance")]
#[test_case(true, 66, 14_941_397_594_812_391_466 ; "engines, many instances")]
#[test_case(false, 1, 430_383_449_260_791_490 ; "plain services, one instance")]
#[test_case(false, 66, 14_027_871_231_237_525_532 ; "plain services, many instances")]
fn choices_without_a_pace_are_as_before(engines: bool, instances: u32, expected: u64) {
    assert_eq!(digest(engines, instances, 1), expected);
}
