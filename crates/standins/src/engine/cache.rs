use std::collections::BTreeMap;
use std::collections::HashMap;

use carobwick_core::Tokens;
use carobwick_derive::data;

/// Tokens of one cache block.
pub(super) const BLOCK_SIZE: Tokens = Tokens(64);

/// Prefix cache: the least recently used blocks are dropped first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
}

/// Change of an engine's prefix cache, as `GET /cache-events` sends it.
#[data]
pub struct CacheEvent {
    /// Counts the events of the engine; a gap shows lost events.
    pub sequence: u64,
    /// Hashes of blocks that were stored.
    pub stored: Vec<u64>,
    /// Hashes of blocks that were dropped.
    pub removed: Vec<u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: Tokens) -> Self {
        let capacity = (capacity.0 / BLOCK_SIZE.0) as usize;
        Self { capacity, clock: 0, last_used: HashMap::new(), by_last_use: BTreeMap::new() }
    }

    /// Returns how many tokens of a prompt are cached, and stores the rest.
    ///
    /// The lists are the blocks that were stored and dropped.
    pub(super) fn insert_prompt(&mut self, blocks: &[u64]) -> (Tokens, Vec<u64>, Vec<u64>) {
        let hit = blocks.iter().take_while(|block| self.last_used.contains_key(block)).count();
        let kept = &blocks[..blocks.len().min(self.capacity)];
        for block in kept {
            self.touch(*block);
        }
        let stored = kept.get(hit..).unwrap_or_default().to_vec();
        let mut removed = Vec::new();
        while self.by_last_use.len() > self.capacity {
            if let Some((_, block)) = self.by_last_use.pop_first() {
                self.last_used.remove(&block);
                removed.push(block);
            }
        }
        (Tokens(hit as u64 * BLOCK_SIZE.0), stored, removed)
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
