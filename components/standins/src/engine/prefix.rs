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
const EVENTS_KEPT: usize = 10_000;

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
pub struct Prefixes {
    most: usize,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    seq: u64,
    events: VecDeque<(Duration, CacheEvent)>,
}

impl Prefixes {
    /// Makes an empty cache of at most so many blocks.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            used: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Forgets all blocks.
    pub fn clear(&mut self) {
        self.used.clear();
        self.order.clear();
    }

    /// Counts the prompt's leading tokens that are cached, and caches all of it.
    pub fn visit(&mut self, now: Duration, prompt: &str) -> u64 {
        let mut hash = Xxh3::new();
        let mut hit = 0;
        let mut leading = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hash.update(block);
            let known = self.touch(now, hash.digest());
            leading &= known;
            hit += u64::from(leading) * BLOCK_TOKENS;
        }
        hit
    }

    /// Events after a number that are older than `lag`; every tenth is lost.
    #[must_use]
    pub fn events(&self, now: Duration, lag: Duration, after: u64) -> Vec<CacheEvent> {
        let old = self.events.iter().filter(|(at, _)| *at + lag <= now);
        old.map(|(_, event)| *event)
            .filter(|event| event.seq > after && event.seq % 10 != 0)
            .collect()
    }

    fn touch(&mut self, now: Duration, block: u64) -> bool {
        self.clock += 1;
        let before = self.used.insert(block, self.clock);
        self.order.insert(self.clock, block);
        if let Some(before) = before {
            self.order.remove(&before);
            return true;
        }
        self.note(now, true, block);
        if self.used.len() > self.most
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.used.remove(&oldest);
            self.note(now, false, oldest);
        }
        false
    }

    fn note(&mut self, now: Duration, stored: bool, block: u64) {
        self.seq += 1;
        let seq = self.seq;
        self.events
            .push_back((now, CacheEvent { seq, stored, block }));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
