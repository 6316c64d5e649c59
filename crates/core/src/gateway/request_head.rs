use carobwick_derive::data;
use carobwick_derive::key;

use crate::Millis;
use crate::ModelId;
use crate::gateway::ApiKey;

/// Properties of a request that an instance reads from its head.
#[data]
#[derive(Default)]
pub struct RequestHead {
    /// Identity that the caller gave to this attempt, byte for byte.
    pub attempt_id: String,
    /// Time for which the caller waits, if it is stated.
    pub deadline: Option<Millis>,
    /// Key of the request's tenant, if it has a well-formed one.
    pub key: Option<ApiKey>,
    /// Model and adapter that the request needs.
    pub weights: Option<Weights>,
    /// Parts of the prompt in order; the last one belongs to the request or its session.
    pub prompt: Vec<PromptPart>,
    /// Whether the request states the numbers of its tokens.
    pub states_tokens: bool,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Upper bound of the tokens in the response.
    pub max_output: u64,
    /// Identity of the last event that the caller received of an interrupted stream.
    pub last_event: Option<String>,
    /// Attempt that brought the first event of the interrupted stream.
    pub resumes: Option<String>,
}

/// A model or one of its adapters.
#[key]
pub struct Weights {
    /// The model.
    pub model: ModelId,
    /// The adapter, if one is needed.
    pub adapter: Option<ModelId>,
}

/// Hash of a part of a prompt; written in hexadecimal.
#[key]
#[derive(Copy)]
pub struct PartId(pub u64);

/// Part of a prompt that other requests may share.
#[data]
#[derive(Copy, Eq)]
pub struct PromptPart {
    /// Hash that identifies the part.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}

impl RequestHead {
    /// Returns the hash of the longest prompt prefix that other requests may share, or none without a prompt.
    pub fn affinity(&self) -> Option<u64> {
        match self.prompt.as_slice() {
            [] => None,
            [only] => Some(only.id.0),
            [.., shared, _own] => Some(shared.id.0),
        }
    }

    /// Returns the parts of the prompt that other requests may share, that is all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        let shared = self.prompt.split_last().map_or(&[][..], |(_own, shared)| shared);
        shared.iter().map(|part| part.id)
    }

    /// Returns the work of the request, in prefill tokens.
    ///
    /// A generated token takes a whole step of the batch, so it counts as ten tokens of the prompt.
    pub fn work(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_output.saturating_mul(10))
    }
}

impl std::fmt::Display for PartId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl std::str::FromStr for PartId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl std::fmt::Display for Weights {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => self.model.fmt(f),
        }
    }
}
