//! Shared parts of the tests of placing.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod load;
pub mod side_by_side;

use std::time::Duration;

use placing::{Engine, Owner, PlacementAnswer, PlacementRequest, RequestDigest, Shard, Tuning};
use types::{Moment, TargetId, Tokens, VersionChoice};

/// Memory of the engines in these tests, in tokens.
pub const MEMORY: Tokens = 34_000;

/// An engine in the given data centre.
pub fn engine(id: &str, data_centre: &str) -> Engine {
    Engine {
        id: id.into(),
        data_centre: data_centre.into(),
        slots: 24,
        memory: MEMORY,
        token_copy_time: Duration::from_micros(56),
    }
}

/// A digest that is different for each generation id.
fn digest(generation: &str) -> RequestDigest {
    generation
        .bytes()
        .fold(7, |sum, byte| sum * 31 + u64::from(byte))
}

/// A request for a long generation from an entry in `dc-1`.
pub fn request(generation: &str) -> PlacementRequest {
    PlacementRequest {
        generation: generation.into(),
        digest: digest(generation),
        entry: "entry-1".into(),
        data_centre: "dc-1".into(),
        shard: Shard::new("drafts".into(), 0, 1),
        route: "drafts".into(),
        prompt_tokens: 3_000,
        max_tokens: 2_000,
        length_hint: Some(1_000),
        priority: 1,
        route_priority: 1,
        objective_left: Duration::from_millis(1_800),
        deadline_left: Duration::from_secs(36),
        waited: Duration::ZERO,
        avoid: Vec::new(),
        versions: VersionChoice::Any,
        max_pause: None,
        workspace: None,
    }
}

/// Engine that an answer assigns, if any.
pub fn assigned(answer: PlacementAnswer) -> Option<TargetId> {
    match answer {
        PlacementAnswer::Assigned { target } => Some(target),
        PlacementAnswer::Wait { .. } | PlacementAnswer::Rejected { .. } => None,
    }
}

/// An owner, and a time well after its start.
pub fn owner() -> (Owner, Moment) {
    (Owner::new(Tuning::default()), Duration::from_secs(100))
}
