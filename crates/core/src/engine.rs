use carobwick_derive::data;
use carobwick_derive::key;

use crate::Bytes;
use crate::Error;
use crate::Fence;
use crate::Incarnation;
use crate::ModelId;
use crate::ModelVersion;
use crate::OrderId;
use crate::Result;

/// An order to a model engine.
#[data]
pub struct Order {
    /// Identity of the order, which stays the same when the order is sent again.
    pub id: OrderId,
    /// Fencing number, higher than that of any earlier order to the engine.
    pub fence: Fence,
    /// Wall-clock time, in milliseconds since the Unix epoch, after which the order must not be started.
    pub expires_ms: u64,
    /// What to do.
    pub action: Action,
}

/// Action of an [`Order`].
#[data]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads a model, or an adapter if `base` is given.
    Load {
        /// Model or adapter to load.
        model: ModelId,
        /// Version of its weights.
        version: ModelVersion,
        /// Accelerator memory of the copy.
        size: Bytes,
        /// Base model of an adapter, which must be resident.
        base: Option<ModelId>,
    },
    /// Unloads a model or adapter once no request uses it.
    Unload {
        /// Model or adapter to unload.
        model: ModelId,
        /// Version to unload.
        version: ModelVersion,
    },
    /// Changes the role of the engine.
    Role {
        /// Role to take.
        role: Role,
    },
    /// Changes nothing but the highest fencing number that the engine has seen.
    Noop,
}

/// Phase of inference that an engine serves.
#[key]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only; exports KV cache.
    Prefill,
    /// Decode only; imports KV cache.
    Decode,
}

/// State that an engine reports.
#[data]
pub struct EngineState {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Highest fencing number seen; zero if the engine does not check fencing numbers.
    pub fence: Fence,
    /// Accelerator memory.
    pub memory: Bytes,
    /// Models and adapters that serve requests.
    pub resident: Vec<Resident>,
    /// Models and adapters that are loading or unloading; they take memory.
    pub loading: Vec<Resident>,
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub queued: u32,
    /// Role of the engine.
    pub role: Role,
    /// Outcomes of the last orders.
    pub results: Vec<OrderResult>,
}

/// A model or adapter in accelerator memory.
#[data]
pub struct Resident {
    /// Model or adapter.
    pub model: ModelId,
    /// Version of its weights.
    pub version: ModelVersion,
    /// Accelerator memory of the copy.
    pub size: Bytes,
}

/// An order and its outcome.
#[data]
pub struct OrderResult {
    /// The order.
    pub id: OrderId,
    /// Outcome of the order.
    pub outcome: OrderOutcome,
}

/// Outcome of an order.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine has started to carry out the order.
    Started,
    /// The order took effect.
    Done,
    /// The engine refused the order, since it has seen a higher fencing number.
    Fenced,
    /// The order arrived after its expiry.
    Expired,
    /// The engine could not carry out the order, for example for lack of memory.
    Failed,
}

/// Load of an endpoint, as sent in the response header `carobwick-load`.
///
/// # Examples
///
/// ```
/// use carobwick_core::LoadReport;
///
/// let load: LoadReport = "3,1,2000,50000".parse().unwrap();
/// assert_eq!(load.running, 3);
/// assert_eq!(load.to_string(), "3,1,2000,50000");
/// ```
#[data]
#[derive(Copy, Default)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub queued: u32,
    /// Tokens held in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens for which there is free memory.
    pub free_tokens: u64,
}

impl std::fmt::Display for LoadReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{},{},{}", self.running, self.queued, self.cached_tokens, self.free_tokens)
    }
}

impl std::str::FromStr for LoadReport {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || Error::data(format!("load report `{text}` is not four numbers"));
        let numbers: Vec<u64> =
            text.split(',').map(|part| part.trim().parse().ok()).collect::<Option<_>>().ok_or_else(bad)?;
        let [running, queued, cached_tokens, free_tokens] = numbers[..] else {
            return Err(bad());
        };
        let running = u32::try_from(running).ok().ok_or_else(bad)?;
        let queued = u32::try_from(queued).ok().ok_or_else(bad)?;
        Ok(Self { running, queued, cached_tokens, free_tokens })
    }
}
