//! The cache of prompt prefixes.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::num::ParseIntError;

use hemlockhitch_endpoint::engine::KvHandle;

/// Characters in one block of a prompt.
const BLOCK_CHARS: usize = 256;

/// Holds the prefixes that were used last.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    used_at: HashMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns how many characters of the prompt are cached, and caches it.
    pub(super) fn use_prompt(&mut self, prompt: &str) -> usize {
        let blocks = block_hashes(prompt);
        let cached = blocks
            .iter()
            .take_while(|block| self.used_at.contains_key(*block))
            .count();
        for block in blocks {
            self.insert(block);
        }
        cached * BLOCK_CHARS
    }

    /// Takes over an exported cache; fails when the handle is not one.
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
        self.used_at.clear();
    }

    fn insert(&mut self, block: u64) {
        self.clock += 1;
        self.used_at.insert(block, self.clock);
        if self.used_at.len() <= self.capacity {
            return;
        }
        let oldest = self.used_at.iter().min_by_key(|(_, used_at)| **used_at);
        if let Some(oldest) = oldest.map(|(block, _)| *block) {
            self.used_at.remove(&oldest);
        }
    }
}

/// Writes the prefixes of a prompt as a handle.
pub(super) fn export_prompt(prompt: &str) -> KvHandle {
    let blocks = block_hashes(prompt);
    let handle = blocks.iter().map(|block| format!("{block:x},")).collect();
    KvHandle { handle }
}

/// Hashes every prefix that consists of whole blocks.
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
