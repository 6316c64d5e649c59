use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::DispatchPolicy;
use crate::RoutingRule;

/// An endpoint that may run a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// Position in the list of endpoints.
    pub index: usize,
    /// Rendezvous hash of the endpoint and the request's prefix.
    pub weight: u64,
    /// Requests on it, as far as known.
    pub load: f64,
    /// Requests of this entry on it.
    pub outstanding: u32,
    /// Requests that it runs at once.
    pub slots: f64,
    /// Estimated seconds to the first token.
    pub first: f64,
    /// Part of it that the request itself takes.
    pub own: f64,
}

/// Returns the rendezvous hash of an endpoint and a key.
pub(crate) fn weight(endpoint: u64, key: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), endpoint)
}

/// Chooses among candidates for a request with `left` seconds to its target; `turn` counts the choices.
///
/// Returns `None` if every candidate is full.
pub(crate) fn choose(
    policy: &DispatchPolicy,
    candidates: &[Candidate],
    left: f64,
    turn: u64,
) -> Option<Candidate> {
    match policy.routing {
        RoutingRule::Affinity => by_affinity(policy, candidates, left),
        RoutingRule::LeastOutstanding => {
            let least = candidates.iter().min_by_key(|candidate| (candidate.outstanding, candidate.weight));
            least.copied()
        }
        RoutingRule::RoundRobin if candidates.is_empty() => None,
        RoutingRule::RoundRobin => Some(candidates[turn as usize % candidates.len()]),
    }
}

fn by_affinity(policy: &DispatchPolicy, candidates: &[Candidate], left: f64) -> Option<Candidate> {
    let mean = candidates.iter().map(|candidate| candidate.load).sum::<f64>() / candidates.len() as f64;
    let bounded = mean * policy.load_bound + 1.0;
    let open = candidates.iter().filter(|candidate| candidate.load + 1.0 <= candidate.slots);
    let near = open.clone().filter(|candidate| candidate.load <= bounded && candidate.first <= left);
    let home = near.max_by_key(|candidate| candidate.weight);
    home.or_else(|| open.min_by(|a, b| a.first.total_cmp(&b.first))).copied()
}
