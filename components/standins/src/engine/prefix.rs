//! The prefix cache: hashes of leading blocks of prompts, the least recently used go first.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 64;
/// Tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;
/// Events kept.
const RETAINED_EVENTS: usize = 10_000;

/// A change of the cache.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct CacheEvent {
    /// Its number.
    pub seq: u64,
    /// Whether the block came or went.
    pub stored: bool,
    /// Hash of the prompt up to the block's end.
    pub block: u64,
}

/// The cache.
pub struct PrefixCache {
    max_blocks: usize,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
    seq: u64,
    events: VecDeque<(Duration, CacheEvent)>,
}

impl PrefixCache {
    /// Makes an empty cache of at most so many blocks.
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

    /// Forgets all blocks.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.by_last_use.clear();
    }

    /// Counts the prompt's leading tokens that are cached, and caches all of it.
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

    /// Events after a number that are older than `lag`; every tenth is lost.
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
