use std::collections::BTreeMap;
use std::collections::HashMap;

use carobwick_core::Tokens;
use carobwick_derive::data;

/// Number of tokens in one cache block.
pub(super) const BLOCK_SIZE: Tokens = Tokens(64);

/// Prefix cache of an engine, which evicts the least recently used blocks.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
}

/// Change to an engine's prefix cache, as `GET /cache-events` sends it.
#[data]
pub struct CacheEvent {
    /// Sequence number of the event within one incarnation; a gap in the numbers means lost events.
    pub sequence: u64,
    /// Hashes of the blocks that were stored.
    pub stored: Vec<u64>,
    /// Hashes of the blocks that were evicted.
    pub removed: Vec<u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: Tokens) -> Self {
        let capacity = (capacity.0 / BLOCK_SIZE.0) as usize;
        Self { capacity, clock: 0, last_used: HashMap::new(), by_last_use: BTreeMap::new() }
    }

    /// Stores the blocks of a prompt, and returns the number of its tokens that were already cached, the
    /// blocks that were stored, and the blocks that were evicted for them.
    pub(super) fn insert_prompt(&mut self, blocks: &[u64]) -> (Tokens, Vec<u64>, Vec<u64>) {
        let cached = blocks.iter().take_while(|block| self.last_used.contains_key(block)).count();
        let cacheable = &blocks[..blocks.len().min(self.capacity)];
        for block in cacheable {
            self.touch(*block);
        }
        let stored = cacheable.get(cached..).unwrap_or_default().to_vec();
        let mut removed = Vec::new();
        while self.by_last_use.len() > self.capacity {
            if let Some((_, block)) = self.by_last_use.pop_first() {
                self.last_used.remove(&block);
                removed.push(block);
            }
        }
        (Tokens(cached as u64 * BLOCK_SIZE.0), stored, removed)
    }

    pub(super) fn tokens(&self) -> u64 {
        self.by_last_use.len() as u64 * BLOCK_SIZE.0
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(old) = self.last_used.insert(block, self.clock) {
            self.by_last_use.remove(&old);
        }
        self.by_last_use.insert(self.clock, block);
    }
}
