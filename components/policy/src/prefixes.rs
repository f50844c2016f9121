//! Prompt prefixes that a target has probably cached.
//!
//! Engines publish cache events late and with gaps, so the owner records which prompts it placed
//! where. The record is a hint of bounded size and never a reason to overload a target.

use std::collections::{HashMap, VecDeque};

/// Maximum number of blocks recorded per target.
const MAX_BLOCKS: usize = 4096;

/// Recently used prompt blocks of one target.
#[derive(Debug, Default)]
pub struct Prefixes {
    next: u64,
    last_use: HashMap<u64, u64>,
    uses: VecDeque<Use>,
}

#[derive(Clone, Copy, Debug)]
struct Use {
    block: u64,
    number: u64,
}

impl Prefixes {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the prefix of a prompt that was placed on the target.
    pub fn record(&mut self, prefix: &[u64]) {
        for &block in prefix {
            self.last_use.insert(block, self.next);
            let number = self.next;
            self.uses.push_back(Use { block, number });
            self.next += 1;
        }
        while self.uses.len() > MAX_BLOCKS {
            self.drop_oldest();
        }
    }

    /// Returns the share of a prompt's blocks that the target has probably cached, 0.0 to 1.0. The
    /// hash of a block covers all blocks before it, so the last known block decides.
    #[must_use]
    pub fn cached_share(&self, prefix: &[u64]) -> f64 {
        let known = prefix
            .iter()
            .rposition(|block| self.last_use.contains_key(block));
        known.map_or(0.0, |at| (at + 1) as f64 / prefix.len() as f64)
    }

    /// Discards all blocks, after the target lost its cache.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.uses.clear();
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.uses.pop_front() else {
            return;
        };
        if self.last_use.get(&oldest.block) == Some(&oldest.number) {
            self.last_use.remove(&oldest.block);
        }
    }
}
