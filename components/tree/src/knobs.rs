//! Inheritance of values, their defaults, and where a value in force comes from.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use types::Class;

use crate::{
    api::{Knobs, NodePath, Snapshot},
    path::ParsedPath,
};

/// Time a caller waits where nobody wrote one, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// The most tokens of an answer where nobody wrote it.
pub const DEFAULT_MAX_OUTPUT: u64 = 4096;
/// Plain calls are not repeated unless an operator says that they may be.
pub const DEFAULT_IDEMPOTENT: bool = false;
/// Requests of a workspace in flight at one instance.
pub const DEFAULT_IN_FLIGHT: u32 = 256;
/// Asks that may wait at an owner for one shard.
pub const DEFAULT_QUEUE_LIMIT: u32 = 512;
/// Concurrent requests of a target in cold start.
pub const DEFAULT_COLD_LIMIT: u32 = 1;
/// Concurrent requests of a warm target.
pub const DEFAULT_WARM_LIMIT: u32 = 64;
/// Finished requests after which a target counts as warm.
pub const DEFAULT_WARM_AFTER: u32 = 4;
/// Tokens of an engine's memory where it reports none.
pub const DEFAULT_MEMORY: u64 = 100_000;
/// Retries per 100 requests.
pub const DEFAULT_RETRY_PERCENT: u32 = 10;

impl Knobs {
    /// The values that hold where nobody wrote any.
    #[must_use]
    pub const fn defaults() -> Self {
        Self {
            class: Some(Class::Normal),
            deadline_ms: Some(DEFAULT_DEADLINE_MS),
            max_output: Some(DEFAULT_MAX_OUTPUT),
            idempotent: Some(DEFAULT_IDEMPOTENT),
            in_flight: Some(DEFAULT_IN_FLIGHT),
            queue_limit: Some(DEFAULT_QUEUE_LIMIT),
            cold_limit: Some(DEFAULT_COLD_LIMIT),
            warm_limit: Some(DEFAULT_WARM_LIMIT),
            warm_after: Some(DEFAULT_WARM_AFTER),
            memory: Some(DEFAULT_MEMORY),
            retry_percent: Some(DEFAULT_RETRY_PERCENT),
        }
    }

    /// These values with those that `lower` writes put over them.
    #[must_use]
    pub fn with_lower(&self, lower: &Self) -> Self {
        Self {
            class: lower.class.or(self.class),
            deadline_ms: lower.deadline_ms.or(self.deadline_ms),
            max_output: lower.max_output.or(self.max_output),
            idempotent: lower.idempotent.or(self.idempotent),
            in_flight: lower.in_flight.or(self.in_flight),
            queue_limit: lower.queue_limit.or(self.queue_limit),
            cold_limit: lower.cold_limit.or(self.cold_limit),
            warm_limit: lower.warm_limit.or(self.warm_limit),
            warm_after: lower.warm_after.or(self.warm_after),
            memory: lower.memory.or(self.memory),
            retry_percent: lower.retry_percent.or(self.retry_percent),
        }
    }

    /// The values written here, by name.
    fn written(&self) -> Map<String, Value> {
        match serde_json::to_value(self) {
            Ok(Value::Object(map)) => map,
            _ => Map::new(),
        }
    }
}

/// A value in force and where it comes from.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Origin {
    /// Name of the value, as nodes write it.
    pub knob: Arc<str>,
    /// The value in force.
    pub value: Value,
    /// The node that wrote it; `None` if it is the default.
    pub from: Option<NodePath>,
}

/// Tells for each value in force at a path where it comes from, in order of names; `None` if no
/// node can stand there. The node itself need not exist.
#[must_use]
pub fn origins(snapshot: &Snapshot, path: &str) -> Option<Vec<Origin>> {
    let chain = ParsedPath::parse(path)?.inheritance_chain();
    let mut found: Vec<Origin> = Knobs::defaults()
        .written()
        .into_iter()
        .map(|(knob, value)| Origin {
            knob: knob.into(),
            value,
            from: None,
        })
        .collect();
    for place in chain {
        let path = place.path();
        let Some(node) = snapshot.nodes.get(&path) else {
            continue;
        };
        let written = node.knobs.written();
        for origin in &mut found {
            if let Some(value) = written.get(&*origin.knob) {
                origin.value = value.clone();
                origin.from = Some(Arc::clone(&path));
            }
        }
    }
    found.sort_by(|a, b| a.knob.cmp(&b.knob));
    Some(found)
}

/// The values in force at a place.
#[must_use]
pub fn effective_knobs(snapshot: &Snapshot, place: &ParsedPath) -> Knobs {
    place
        .inheritance_chain()
        .iter()
        .fold(Knobs::defaults(), |knobs, place| {
            match snapshot.nodes.get(&place.path()) {
                Some(node) => knobs.with_lower(&node.knobs),
                None => knobs,
            }
        })
}
