use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::DispatchPolicy;
use crate::RoutingRule;

/// An endpoint to which a request may be sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// Position in the list of endpoints.
    pub index: usize,
    /// Rendezvous hash of the endpoint and the request's prefix.
    pub weight: u64,
    /// Estimated requests in flight on it, of all entries.
    pub load: f64,
    /// Requests of this entry in flight on it.
    pub outstanding: u32,
    /// Requests that it runs concurrently.
    pub slots: f64,
    /// Estimated seconds to the first token.
    pub time_to_first: f64,
    /// Part of `time_to_first` that the request itself takes.
    pub own_time: f64,
}

/// Returns the rendezvous hash of an endpoint and a key.
pub(crate) fn weight(endpoint: u64, key: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), endpoint)
}

/// Chooses an endpoint for a request whose response must begin within `time_left` seconds.
///
/// `choice_count` is the number of choices so far. Returns `None` if there is no candidate, or if the rule
/// respects slots and none is free.
pub(crate) fn choose(
    policy: &DispatchPolicy,
    candidates: &[Candidate],
    time_left: f64,
    choice_count: u64,
) -> Option<Candidate> {
    match policy.routing {
        RoutingRule::Affinity => by_affinity(policy, candidates, time_left),
        RoutingRule::LeastOutstanding => {
            let least = candidates.iter().min_by_key(|candidate| (candidate.outstanding, candidate.weight));
            least.copied()
        }
        RoutingRule::RoundRobin if candidates.is_empty() => None,
        RoutingRule::RoundRobin => Some(candidates[choice_count as usize % candidates.len()]),
    }
}

fn by_affinity(policy: &DispatchPolicy, candidates: &[Candidate], time_left: f64) -> Option<Candidate> {
    let mean = candidates.iter().map(|candidate| candidate.load).sum::<f64>() / candidates.len() as f64;
    let max_load = mean * policy.load_bound + 1.0;
    let with_free_slot = candidates.iter().filter(|candidate| candidate.load + 1.0 <= candidate.slots);
    let within_bound = with_free_slot
        .clone()
        .filter(|candidate| candidate.load <= max_load && candidate.time_to_first <= time_left);
    let preferred = within_bound.max_by_key(|candidate| candidate.weight);
    preferred.or_else(|| with_free_slot.min_by(|a, b| a.time_to_first.total_cmp(&b.time_to_first))).copied()
}
