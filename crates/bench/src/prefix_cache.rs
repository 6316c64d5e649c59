use indexmap::IndexMap;

/// Prompt prefix cache with a limited number of tokens, which evicts the least recently used prefix first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    tokens: u64,
    /// Length of each prefix in tokens, least recently used first.
    entries: IndexMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache that holds at most `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self { capacity, tokens: 0, entries: IndexMap::new() }
    }

    /// Returns the number of tokens in the cache.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns whether a prefix is in the cache, and marks it as the most recently used.
    pub fn touch(&mut self, prefix: u64) -> bool {
        match self.entries.shift_remove(&prefix) {
            None => false,
            Some(tokens) => {
                self.entries.insert(prefix, tokens);
                true
            }
        }
    }

    /// Adds a prefix of a number of tokens, unless it is cached already or larger than the cache.
    pub fn insert(&mut self, prefix: u64, tokens: u64) {
        if self.touch(prefix) || tokens > self.capacity {
            return;
        }
        self.entries.insert(prefix, tokens);
        self.tokens += tokens;
        while self.tokens > self.capacity {
            let Some((_, evicted_tokens)) = self.entries.shift_remove_index(0) else { break };
            self.tokens -= evicted_tokens;
        }
    }
}
