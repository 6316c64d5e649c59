use std::collections::BTreeMap;
use std::collections::HashMap;

use carobwick_core::Tokens;
use carobwick_derive::data;

/// Tokens of one cache block.
pub(super) const BLOCK: Tokens = Tokens(64);

/// Prefix cache: the least recently used blocks are dropped first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
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
        let capacity = (capacity.0 / BLOCK.0) as usize;
        Self { capacity, clock: 0, used: HashMap::new(), order: BTreeMap::new() }
    }

    /// Returns how many tokens of a prompt are cached, and stores the rest.
    ///
    /// The lists are the blocks that were stored and dropped.
    pub(super) fn take_in(&mut self, blocks: &[u64]) -> (Tokens, Vec<u64>, Vec<u64>) {
        let hit = blocks.iter().take_while(|block| self.used.contains_key(block)).count();
        let kept = &blocks[..blocks.len().min(self.capacity)];
        for block in kept {
            self.touch(*block);
        }
        let stored = kept.get(hit..).unwrap_or_default().to_vec();
        let mut removed = Vec::new();
        while self.order.len() > self.capacity {
            if let Some((_, block)) = self.order.pop_first() {
                self.used.remove(&block);
                removed.push(block);
            }
        }
        (Tokens(hit as u64 * BLOCK.0), stored, removed)
    }

    pub(super) fn tokens(&self) -> u64 {
        self.order.len() as u64 * BLOCK.0
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(old) = self.used.insert(block, self.clock) {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, block);
    }
}
