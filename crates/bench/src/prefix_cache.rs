use indexmap::IndexMap;

/// Prefixes in limited memory, the least recently used given up first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    tokens: u64,
    /// Least recently used first.
    entries: IndexMap<u64, u64>,
}

impl PrefixCache {
    /// Creates a cache for a number of tokens.
    pub fn new(capacity: u64) -> Self {
        Self { capacity, tokens: 0, entries: IndexMap::new() }
    }

    /// Returns the tokens that it holds.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns whether it holds a prefix, and marks that as used.
    pub fn touch(&mut self, prefix: u64) -> bool {
        match self.entries.shift_remove(&prefix) {
            None => false,
            Some(tokens) => {
                self.entries.insert(prefix, tokens);
                true
            }
        }
    }

    /// Adds a prefix.
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
