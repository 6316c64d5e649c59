//! Which instances claim the leader's lease.

use carobwick_core::gateway::Candidacy;
use test_case::test_case;

fn candidates(count: u32) -> Vec<Candidacy> {
    let start = |index: u32| {
        let mut candidacy = Candidacy::new(format!("i{index}").parse().unwrap());
        candidacy.set_instances(count);
        candidacy
    };
    (0..count).map(start).collect()
}

/// Guards against all instances of a large fleet writing to the store at once when they lose their leader.
#[test_case(67)]
#[test_case(295)]
#[test_case(1_000)]
fn few_instances_claim_the_lease_first(count: u32) {
    let claims = candidates(count).iter_mut().filter_map(|one| one.claims().then_some(())).count();
    assert!((1..=16).contains(&claims), "{claims} of {count}");
}

/// Guards against a fleet without a leader for long after most of its instances were lost at once.
#[test]
fn the_last_instance_of_a_fleet_claims_the_lease() {
    for (index, mut last) in candidates(330).into_iter().enumerate() {
        let looks = (1..=32).find(|_| last.claims()).unwrap_or(u32::MAX);
        assert!(looks <= 8, "instance {index} claims after {looks} looks");
    }
}

/// Guards against an instance that waits as in the last election although there was a leader since.
#[test]
fn a_leader_in_between_starts_a_new_election() {
    let mut candidates = candidates(295);
    let first: Vec<bool> = candidates.iter_mut().map(Candidacy::claims).collect();
    candidates.iter_mut().for_each(Candidacy::settled);
    let again: Vec<bool> = candidates.iter_mut().map(Candidacy::claims).collect();
    assert_eq!(first, again);
}
