use carobwick_derive::data;
use carobwick_derive::key;

use crate::Millis;
use crate::ModelId;

/// What an instance reads from the head of a request.
#[data]
#[derive(Default)]
pub struct RequestHead {
    /// Identity that the caller gave to this attempt, as sent.
    pub attempt_id: String,
    /// Time that the caller waits, if it says so.
    pub deadline: Option<Millis>,
    /// Model and adapter that the request needs.
    pub weights: Option<Weights>,
    /// Parts of the prompt in order; the last one belongs to the request or its session.
    pub prompt: Vec<PromptPart>,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_output: u64,
    /// Last event that the caller has of an interrupted stream.
    pub last_event: Option<String>,
}

/// A model or one of its adapters.
#[key]
pub struct Weights {
    /// The model.
    pub model: ModelId,
    /// The adapter, if one is needed.
    pub adapter: Option<ModelId>,
}

/// Part of a prompt that other requests may share.
#[data]
#[derive(Copy, Eq)]
pub struct PromptPart {
    /// Hash that names the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl RequestHead {
    /// Returns the hash of the longest part that other requests share.
    pub fn affinity(&self) -> Option<u64> {
        match self.prompt.as_slice() {
            [] => None,
            [only] => Some(only.id),
            [.., shared, _own] => Some(shared.id),
        }
    }

    /// Returns the work of the request, in tokens of prefill.
    ///
    /// A generated token takes a whole step of the batch, so it weighs as much as ten tokens of the prompt.
    pub fn work(&self) -> u64 {
        self.prompt_tokens + 10 * self.max_output
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
