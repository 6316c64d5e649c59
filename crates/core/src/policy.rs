use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ModelId;

/// Bytes of the prompt that decide the affinity of a request.
const PREFIX_BYTES: usize = 4096;

/// Settings of the dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchPolicy {
    /// How an endpoint is chosen.
    pub routing: RoutingRule,
    /// Whether requests that can't meet their target are refused and queues are kept per caller.
    pub admission: bool,
    /// Load relative to the mean up to which an endpoint keeps its prefixes.
    pub load_bound: f64,
    /// Retries as a fraction of requests.
    pub retry_ratio: f64,
    /// Most requests that wait in one entry.
    pub queue_limit: usize,
    /// Most tokens of prompts that wait in one entry.
    pub token_limit: u64,
    /// Time after which reports of a crash from other entries are expected to have arrived.
    pub report_delay: Duration,
}

/// How an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingRule {
    /// Rendezvous hash of the prefix with bounded load.
    Affinity,
    /// The endpoint with the fewest requests of this entry.
    LeastOutstanding,
    /// One endpoint after the other.
    RoundRobin,
}

impl Default for DispatchPolicy {
    fn default() -> Self {
        Self {
            routing: RoutingRule::Affinity,
            admission: true,
            load_bound: 1.25,
            retry_ratio: 0.1,
            queue_limit: 1_024,
            token_limit: 1_000_000,
            report_delay: Duration::from_secs(4),
        }
    }
}

impl DispatchPolicy {
    /// Returns the settings of a baseline: a routing rule without admission.
    pub fn baseline(routing: RoutingRule) -> Self {
        Self { routing, admission: false, ..Self::default() }
    }
}

/// Hashes the part of a prompt that decides the affinity of a request: its first 4 KiB and the model.
///
/// # Examples
///
/// ```
/// use carobwick_core::prefix_hash;
///
/// let model = "smid-8b".parse().unwrap();
/// let brief = vec![b'x'; 5000];
/// assert_eq!(prefix_hash(&model, &brief), prefix_hash(&model, &brief[..4096]));
/// ```
pub fn prefix_hash(model: &ModelId, prompt: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(model.as_str().as_bytes(), 0);
    xxh3_64_with_seed(&prompt[..prompt.len().min(PREFIX_BYTES)], seed)
}
