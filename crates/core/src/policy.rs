use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ModelId;

/// Length of the prompt prefix that decides the affinity of a request.
const PREFIX_BYTES: usize = 4096;

/// Settings of a [`Dispatcher`](crate::Dispatcher).
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchPolicy {
    /// Rule by which an endpoint is chosen.
    pub routing: RoutingRule,
    /// Whether requests that can't meet their latency target are refused, and others wait in fair queues.
    /// Without it, a request is sent at once or refused.
    pub admission: bool,
    /// Load relative to the mean load up to which an endpoint is chosen by prefix affinity.
    pub load_bound: f64,
    /// Retries per request.
    pub retry_ratio: f64,
    /// Most requests that wait in one entry.
    pub queue_limit: usize,
    /// Most prompt tokens that wait in one entry.
    pub token_limit: u64,
    /// Time within which crash reports of other entries are expected to arrive.
    pub report_delay: Duration,
}

/// Rule by which an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingRule {
    /// Prefix affinity: rendezvous hashing of the prompt prefix with bounded load.
    Affinity,
    /// The endpoint with the fewest requests in flight from this entry.
    LeastOutstanding,
    /// Each endpoint in turn.
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
    /// Returns the settings of a baseline for comparison: a routing rule without admission.
    pub fn baseline(routing: RoutingRule) -> Self {
        Self { routing, admission: false, ..Self::default() }
    }
}

/// Returns the hash that decides the affinity of a request, of its model and the first 4 KiB of its prompt.
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
