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
    /// Identity of the order; a repeated order keeps it.
    pub id: OrderId,
    /// Fencing number, higher than that of any earlier order to the engine.
    pub fence: Fence,
    /// Wall-clock time, in milliseconds since the Unix epoch, after which the order must not be started.
    pub expires_ms: u64,
    /// What to do.
    pub action: Action,
}

/// What an order asks for.
#[data]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads a model, or an adapter if `base` is given.
    Load {
        /// Model or adapter to load.
        model: ModelId,
        /// Version of its weights.
        version: ModelVersion,
        /// Accelerator memory that it takes.
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
    /// Changes nothing; raises the fencing number that the engine has seen.
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
    /// Identity of this run of the engine's process.
    pub incarnation: Incarnation,
    /// Highest fencing number seen; zero if the engine does not check.
    pub fence: Fence,
    /// Accelerator memory.
    pub memory: Bytes,
    /// Models and adapters that serve requests.
    pub resident: Vec<Resident>,
    /// Models and adapters under way; they take memory already.
    pub loading: Vec<Resident>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
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
    /// Accelerator memory that it takes.
    pub size: Bytes,
}

/// Outcome of one order.
#[data]
pub struct OrderResult {
    /// The order.
    pub id: OrderId,
    /// What became of it.
    pub outcome: OrderOutcome,
}

/// What became of an order.
#[key]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine works on it.
    Started,
    /// It took effect.
    Done,
    /// Its fencing number was too low.
    Fenced,
    /// It came after its expiry.
    Expired,
    /// The engine could not do it, for example for lack of memory.
    Failed,
}

/// Load of an endpoint, as its answers carry it in the header `carobwick-load`.
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
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Tokens held in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens that still fit in memory.
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
