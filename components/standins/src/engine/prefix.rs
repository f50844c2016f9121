//! Prefix cache: an LRU set of hashes of prompt prefixes, one for each block.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Prompt bytes in one block.
pub const BLOCK_BYTES: usize = 64;
/// Prompt tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;
/// Number of cache events retained.
const RETAINED_EVENTS: usize = 10_000;

/// A block stored in or evicted from the cache.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub seq: u64,
    /// Whether the block was stored (true) or evicted (false).
    pub stored: bool,
    /// Hash of the prompt up to the end of the block.
    pub block: u64,
}

/// LRU cache of prompt prefixes with a log of its changes.
pub struct PrefixCache {
    max_blocks: usize,
    // Logical time of the last use, by block hash; `by_last_use` is the inverse.
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    // Logical time, increased at each use.
    clock: u64,
    seq: u64,
    events: VecDeque<(Duration, CacheEvent)>,
}

impl PrefixCache {
    /// Creates an empty cache that holds up to `max_blocks` blocks.
    #[must_use]
    pub fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
            clock: 0,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Removes all blocks, without events.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_last_use.clear();
    }

    /// Caches all complete blocks of a prompt. Returns how many of its leading tokens were cached.
    pub fn insert(&mut self, now: Duration, prompt: &str) -> u64 {
        let mut hash = Xxh3::new();
        let mut hit = 0;
        let mut leading = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hash.update(block);
            let is_cached = self.touch(now, hash.digest());
            leading &= is_cached;
            hit += u64::from(leading) * BLOCK_TOKENS;
        }
        hit
    }

    /// Events with a sequence number above `after` that are at least `lag` old. Every tenth event
    /// is left out, to simulate lost events.
    #[must_use]
    pub fn events(&self, now: Duration, lag: Duration, after: u64) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, _)| *at + lag <= now);
        visible
            .map(|(_, event)| *event)
            .filter(|event| event.seq > after && event.seq % 10 != 0)
            .collect()
    }

    fn touch(&mut self, now: Duration, block: u64) -> bool {
        self.clock += 1;
        let previous = self.last_used.insert(block, self.clock);
        self.by_last_use.insert(self.clock, block);
        if let Some(previous) = previous {
            self.by_last_use.remove(&previous);
            return true;
        }
        self.record_event(now, true, block);
        if self.last_used.len() > self.max_blocks
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.last_used.remove(&oldest);
            self.record_event(now, false, oldest);
        }
        false
    }

    fn record_event(&mut self, now: Duration, stored: bool, block: u64) {
        self.seq += 1;
        let seq = self.seq;
        self.events
            .push_back((now, CacheEvent { seq, stored, block }));
        if self.events.len() > RETAINED_EVENTS {
            self.events.pop_front();
        }
    }
}
