//! Prefix cache of the engine.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::num::ParseIntError;

use hemlockhitch_endpoint::engine::KvHandle;

/// Characters per block of a prompt.
const BLOCK_CHARS: usize = 256;

/// LRU cache of prompt prefixes.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    /// Maximum number of blocks.
    capacity: usize,
    /// Logical clock, incremented at every insertion.
    clock: u64,
    /// Logical time of the last use, by hash of the prefix up to and including the
    /// block.
    last_used: HashMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the number of cached characters of the prompt, then caches the prompt.
    pub(super) fn lookup_and_insert(&mut self, prompt: &str) -> usize {
        let blocks = block_hashes(prompt);
        let cached = blocks
            .iter()
            .take_while(|block| self.last_used.contains_key(*block))
            .count();
        for block in blocks {
            self.insert(block);
        }
        cached * BLOCK_CHARS
    }

    /// Imports an exported cache; fails if the handle is malformed.
    pub(super) fn import(&mut self, handle: &KvHandle) -> Result<(), ParseIntError> {
        let blocks = handle.handle.split_terminator(',');
        let blocks: Result<Vec<u64>, ParseIntError> =
            blocks.map(|block| u64::from_str_radix(block, 16)).collect();
        for block in blocks? {
            self.insert(block);
        }
        Ok(())
    }

    pub(super) fn clear(&mut self) {
        self.last_used.clear();
    }

    fn insert(&mut self, block: u64) {
        self.clock += 1;
        self.last_used.insert(block, self.clock);
        if self.last_used.len() <= self.capacity {
            return;
        }
        let oldest = self
            .last_used
            .iter()
            .min_by_key(|(_, last_used)| **last_used);
        if let Some(oldest) = oldest.map(|(block, _)| *block) {
            self.last_used.remove(&oldest);
        }
    }
}

/// Encodes the prefixes of a prompt as a KV cache handle.
pub(super) fn export_prompt(prompt: &str) -> KvHandle {
    let blocks = block_hashes(prompt);
    let handle = blocks.iter().map(|block| format!("{block:x},")).collect();
    KvHandle { handle }
}

/// Hashes every prefix of the prompt that consists of full blocks.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let chars: Vec<char> = prompt.chars().collect();
    let mut hasher = DefaultHasher::new();
    chars
        .chunks_exact(BLOCK_CHARS)
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}
