use carobwick_core::Tokens;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// A chat request, with only the fields that the stand-ins read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model or adapter.
    pub model: String,
    /// Messages of the conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a conversation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Text, or a list of content parts.
    pub content: Value,
}

impl ChatRequest {
    /// Returns the hash of model and messages from which the completion is generated.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobwick_standins::ChatRequest;
    /// use carobwick_standins::completion_text;
    ///
    /// let body = r#"{"model": "m", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 2}"#;
    /// let request: ChatRequest = serde_json::from_str(body).unwrap();
    /// let text = completion_text(request.hash(), 2);
    /// assert_eq!(text.split_whitespace().count(), 2);
    /// ```
    pub fn hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.model.as_bytes());
        for message in &self.messages {
            hash.update(&[0]);
            hash.update(message.role.as_bytes());
            hash.update(&[1]);
            match &message.content {
                Value::String(text) => hash.update(text.as_bytes()),
                parts => hash.update(parts.to_string().as_bytes()),
            }
        }
        hash.digest()
    }

    /// Returns the concatenated text of all messages.
    pub(crate) fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            match &message.content {
                Value::String(text) => prompt.push_str(text),
                parts => prompt.push_str(&parts.to_string()),
            }
        }
        prompt
    }
}

/// Returns the token at `index` of the completion for the request with the given hash.
pub fn completion_token(hash: u64, index: u32) -> String {
    format!("{hash:016x}:{index} ")
}

/// Returns the first `count` tokens of the completion for the request with the given hash.
pub fn completion_text(hash: u64, count: u32) -> String {
    (0..count).map(|index| completion_token(hash, index)).collect()
}

/// Returns the number of tokens in a prompt, at least one.
pub(crate) fn count_tokens(prompt: &str) -> Tokens {
    Tokens((prompt.len() / BYTES_PER_TOKEN).max(1) as u64)
}

/// Splits a prompt into blocks of `block` tokens and returns for each full block the hash of the text up to
/// its end.
pub(crate) fn block_hashes(model: &str, prompt: &str, block: Tokens) -> Vec<u64> {
    let size = block.0 as usize * BYTES_PER_TOKEN;
    let mut prefix_hash = xxh3_64(model.as_bytes());
    let full_blocks = prompt.as_bytes().chunks_exact(size);
    full_blocks
        .map(|chunk| {
            let mut hash = Xxh3::with_seed(prefix_hash);
            hash.update(chunk);
            prefix_hash = hash.digest();
            prefix_hash
        })
        .collect()
}

fn default_max_tokens() -> u32 {
    16
}
