use bytes::Bytes;
use carobwick_core::AttemptId;
use carobwick_core::ModelId;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::LoadOptions;
use super::RequestKind;
use crate::ChatMessage;
use crate::ChatRequest;
use crate::body_hash;
use crate::completion_text;

/// Words from which prompts are generated.
const PROMPT_WORDS: [&str; 16] = [
    "anvil ", "brass ", "casting ", "draft ", "engrave ", "foil ", "gilding ", "hinge ", "inlay ", "joint ",
    "kiln ", "letter ", "mould ", "neon ", "outline ", "primer ",
];

/// Generates the requests of a load run; the same seed and number give the same request.
#[derive(Debug)]
pub(super) struct RequestGenerator {
    kind: RequestKind,
    attempt_ids: bool,
    idempotency_keys: bool,
    not_repeatable: bool,
    models: Vec<ModelId>,
    prefixes: Vec<String>,
    unique_bytes: usize,
    max_tokens: u32,
    caller_count: u32,
    seed: u64,
}

/// A request and its expected response.
#[derive(Debug)]
pub(super) struct GeneratedRequest {
    pub number: u64,
    pub path: String,
    pub body: Bytes,
    pub caller: String,
    pub attempt: Option<AttemptId>,
    pub key: Option<String>,
    pub not_repeatable: bool,
    pub expected: Expected,
}

/// Expected response to a request.
#[derive(Debug)]
pub(super) enum Expected {
    /// A stream with this text.
    Stream(String),
    /// A chat response in one body with this text.
    Chat(String),
    /// A response of a plain service to a body with this hash.
    Service(String),
}

impl RequestGenerator {
    pub(super) fn new(options: &LoadOptions) -> Self {
        let shared_bytes = (options.prompt_bytes as f64 * options.shared_fraction.clamp(0.0, 1.0)) as usize;
        let prefix =
            |index| words(xxh3_64_with_seed(b"prefix", options.seed ^ u64::from(index)), shared_bytes);
        Self {
            kind: options.kind.clone(),
            attempt_ids: options.direct,
            idempotency_keys: options.idempotency_keys,
            not_repeatable: options.not_repeatable,
            models: options.models.clone(),
            prefixes: (0..options.prefix_count.max(1)).map(prefix).collect(),
            unique_bytes: options.prompt_bytes - shared_bytes,
            max_tokens: options.max_tokens.max(1),
            caller_count: options.caller_count.max(1),
            seed: options.seed,
        }
    }

    pub(super) fn generate(&self, number: u64) -> GeneratedRequest {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ number.rotate_left(32));
        let prefix = &self.prefixes[random.random_range(0..self.prefixes.len())];
        let unique = words(random.random(), self.unique_bytes);
        // The number makes the prompt unique, so that the response to another request is detected.
        let prompt = format!("{prefix}[{}-{number}] {unique}", self.seed);
        let model = &self.models[random.random_range(0..self.models.len())];
        let (path, body, expected) = match &self.kind {
            RequestKind::Service(path) => {
                let body = Bytes::from(json!({"text": prompt}).to_string());
                (path.clone(), body.clone(), Expected::Service(body_hash(&body)))
            }
            RequestKind::Stream => self.chat(model, prompt, true),
            RequestKind::Chat => self.chat(model, prompt, false),
        };
        GeneratedRequest {
            number,
            path,
            body,
            caller: format!("caller-{}", random.random_range(0..self.caller_count)),
            attempt: self.attempt_ids.then(|| AttemptId(random.random())),
            key: self.idempotency_keys.then(|| format!("load-{}-{number}", self.seed)),
            not_repeatable: self.not_repeatable,
            expected,
        }
    }

    fn chat(&self, model: &ModelId, prompt: String, stream: bool) -> (String, Bytes, Expected) {
        let request = ChatRequest {
            model: model.to_string(),
            messages: vec![ChatMessage { role: "user".to_owned(), content: prompt.into() }],
            max_tokens: self.max_tokens,
            stream,
        };
        let text = completion_text(request.hash(), self.max_tokens);
        let expected = if stream { Expected::Stream(text) } else { Expected::Chat(text) };
        let body = serde_json::to_vec(&request).unwrap_or_default();
        ("/v1/chat/completions".to_owned(), body.into(), expected)
    }
}

fn words(seed: u64, bytes: usize) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut text = String::with_capacity(bytes + 8);
    while text.len() < bytes {
        text.push_str(PROMPT_WORDS[random.random_range(0..PROMPT_WORDS.len())]);
    }
    text.truncate(bytes);
    text
}
