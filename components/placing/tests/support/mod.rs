//! What the tests of placing share.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod load;

use std::time::Duration;

use placing::{Answer, Ask, Engine, Owner, RequestDigest, Shard, Tuning};
use types::{Moment, TargetId, Tokens};

/// Tokens that an engine of these tests holds.
pub const MEMORY: Tokens = 34_000;

/// An engine in a data centre.
pub fn engine(id: &str, data_centre: &str) -> Engine {
    Engine {
        id: id.into(),
        data_centre: data_centre.into(),
        slots: 24,
        memory: MEMORY,
        token_copy: Duration::from_micros(56),
    }
}

/// A digest for a request that nobody repeats.
fn digest(run: &str) -> RequestDigest {
    run.bytes().fold(7, |sum, byte| sum * 31 + u64::from(byte))
}

/// A long generation that somebody in `dc-1` asks for.
pub fn ask(run: &str) -> Ask {
    Ask {
        run: run.into(),
        digest: digest(run),
        entry: "entry-1".into(),
        data_centre: "dc-1".into(),
        shard: Shard::new("drafts".into(), 0, 1),
        route: "drafts".into(),
        prompt: 3_000,
        longest: 2_000,
        hint: Some(1_000),
        rank: 1,
        aim_left: Duration::from_millis(1_800),
        left: Duration::from_secs(36),
        waited: Duration::ZERO,
        avoid: Vec::new(),
    }
}

/// Where an ask is sent, if anywhere.
pub fn sent(answer: Answer) -> Option<TargetId> {
    match answer {
        Answer::Go { target } => Some(target),
        Answer::Wait { .. } | Answer::Full { .. } => None,
    }
}

/// An owner, and a time well after its start.
pub fn owner() -> (Owner, Moment) {
    (Owner::new(Tuning::default()), Duration::from_secs(100))
}
