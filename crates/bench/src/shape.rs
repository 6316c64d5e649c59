use std::fmt;
use std::str::FromStr;

use carobwick_core::CallerId;
use carobwick_core::ModelId;
use carobwick_core::Time;
use carobwick_core::ZoneId;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::Deployment;

/// Mean number of tokens that a request generates.
pub const MEAN_OUTPUT_TOKENS: f64 = 80.0;
/// Seconds at the start of a run whose arrivals are not scored.
pub const WARM_UP_SECONDS: u64 = 10;
/// Number of callers that send requests.
const CALLER_COUNT: usize = 12;
/// Number of shared prompt prefixes of each model.
const PREFIXES_PER_MODEL: u64 = 6;

/// Pattern of arrivals and faults; loads are relative to [`Deployment::capacity`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Shape {
    /// Load of 0.3 with bursts of requests that share one long prompt prefix.
    Morning,
    /// Mean load of 0.5 at which the demand for each model changes tenfold.
    Swing,
    /// Load of 0.5 while an endpoint crashes and a zone fails.
    Faults,
    /// Constant load.
    Steady(f64),
}

/// Request of a caller; lengths are in tokens.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of arrival.
    pub at: Time,
    /// Zone whose entries receive the request.
    pub zone: ZoneId,
    /// Caller that sends the request.
    pub caller: CallerId,
    /// Base model.
    pub model: ModelId,
    /// Adapter of the base model, if the request needs one.
    pub adapter: Option<ModelId>,
    /// Id and length of the prompt prefix that it shares with other requests.
    pub prefix: Option<(u64, u64)>,
    /// Length of the prompt after the shared prefix.
    pub suffix_tokens: u64,
    /// Number of tokens that the request generates.
    pub output_tokens: u64,
}

impl Shape {
    /// Draws the requests of a run and returns them in order of arrival.
    pub fn arrivals(self, deployment: &Deployment, seconds: u64, rng: &mut ChaCha8Rng) -> Vec<Arrival> {
        let load = match self {
            Self::Morning => 0.3,
            Self::Swing | Self::Faults => 0.5,
            Self::Steady(load) => load,
        };
        let rate = load * deployment.capacity(MEAN_OUTPUT_TOKENS);
        let mut arrivals = Vec::new();
        for (rank, (model, share)) in deployment.popularity.iter().enumerate() {
            for second in 0..seconds {
                let factor = if self == Self::Swing { swing_factor(rank, second) } else { 1.0 };
                let mut at = draw_exponential(rng, rate * share * factor);
                while at < 1.0 {
                    let prefix = rng.random_bool(0.8).then(|| {
                        // The square favors low indices, so that some prefixes are hot.
                        let index = (rng.random::<f64>().powi(2) * PREFIXES_PER_MODEL as f64) as u64;
                        shared_prefix(rank, index)
                    });
                    arrivals.push(draw_arrival(deployment, model, second as f64 + at, prefix, rng));
                    at += draw_exponential(rng, rate * share * factor);
                }
            }
        }
        if self == Self::Morning {
            add_bursts(deployment, rate, seconds, rng, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Morning => f.write_str("morning burst"),
            Self::Swing => f.write_str("tenfold swings"),
            Self::Faults => f.write_str("faults"),
            Self::Steady(load) => write!(f, "load {load}x"),
        }
    }
}

impl FromStr for Shape {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        Ok(match text {
            "morning" => Self::Morning,
            "swing" => Self::Swing,
            "faults" => Self::Faults,
            load => Self::Steady(load.parse()?),
        })
    }
}

/// Adds a burst every 2 s: a request with a new prefix, then follow-ups of the same caller within 4 s.
///
/// Each burst has 0.8 times as many follow-ups as the base load has requests per second.
fn add_bursts(
    deployment: &Deployment,
    rate: f64,
    seconds: u64,
    rng: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let follow_ups = (rate * 0.8) as usize;
    for start in (0..seconds.saturating_sub(4)).step_by(2) {
        let rank = rng.random_range(0..deployment.popularity.len() / 2);
        let prefix = Some((1_000_000 + start, rng.random_range(4_000..6_000)));
        let model = &deployment.popularity[rank].0;
        let first = draw_arrival(deployment, model, start as f64, prefix, rng);
        for _ in 0..follow_ups {
            let at = start as f64 + rng.random::<f64>() * 4.0;
            let mut follow_up = draw_arrival(deployment, model, at, prefix, rng);
            follow_up.caller = first.caller.clone();
            follow_up.zone = first.zone.clone();
            arrivals.push(follow_up);
        }
        arrivals.push(first);
    }
}

/// Draws the remaining properties of a request that arrives at `at`, in seconds.
fn draw_arrival(
    deployment: &Deployment,
    model: &ModelId,
    at: f64,
    prefix: Option<(u64, u64)>,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let zones = &deployment.manifest.zones;
    let adapter_of_model =
        |(id, spec): (&ModelId, &carobwick_core::AdapterSpec)| (spec.base == *model).then(|| id.clone());
    let adapters: Vec<ModelId> = deployment.manifest.adapters.iter().filter_map(adapter_of_model).collect();
    let adapter = (!adapters.is_empty() && rng.random_bool(0.4))
        .then(|| adapters[rng.random_range(0..adapters.len())].clone());
    let caller = (rng.random::<f64>().powi(2) * CALLER_COUNT as f64) as usize;
    Arrival {
        at: Time((at * 1e6) as u64),
        zone: zones[rng.random_range(0..zones.len())].clone(),
        caller: format!("caller-{caller}").parse().expect("the id has only allowed characters"),
        model: model.clone(),
        adapter,
        prefix,
        suffix_tokens: rng.random_range(50..150),
        output_tokens: (draw_exponential(rng, 1.0 / (MEAN_OUTPUT_TOKENS - 10.0)) + 10.0).min(600.0) as u64,
    }
}

/// Returns the id and length of one of the shared prefixes of the model with the given rank.
fn shared_prefix(rank: usize, index: u64) -> (u64, u64) {
    (rank as u64 * PREFIXES_PER_MODEL + index, 2_000 + index * 400)
}

/// Returns a factor for the arrival rate of a model; its mean over time is 1.
///
/// The factor is 10 times higher in one of every three periods of 10 s; which one depends on the rank.
fn swing_factor(rank: usize, second: u64) -> f64 {
    if (second / 10 + rank as u64).is_multiple_of(3) { 2.5 } else { 0.25 }
}

/// Draws an interval from the exponential distribution with the given rate.
fn draw_exponential(rng: &mut ChaCha8Rng, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}
