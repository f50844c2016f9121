//! Inheritance of values, their defaults, and the origin of effective values.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use types::Class;

use crate::{
    api::{Knobs, NodePath, Snapshot},
    path::ParsedPath,
};

/// Default deadline of a caller, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Default maximum tokens of an answer.
pub const DEFAULT_MAX_OUTPUT: u64 = 4096;
/// Plain calls are not retried unless an operator allows it.
pub const DEFAULT_IDEMPOTENT: bool = false;
/// Default maximum requests of a workspace in flight at one instance.
pub const DEFAULT_IN_FLIGHT: u32 = 256;
/// Default maximum permit requests that wait at an owner for one shard.
pub const DEFAULT_QUEUE_LIMIT: u32 = 512;
/// Default maximum concurrent requests of a target in cold start.
pub const DEFAULT_COLD_LIMIT: u32 = 1;
/// Default maximum concurrent requests of a warm target.
pub const DEFAULT_WARM_LIMIT: u32 = 64;
/// Default number of finished requests after which a target counts as warm.
pub const DEFAULT_WARM_AFTER: u32 = 4;
/// Default memory of an engine in tokens, if the engine reports none.
pub const DEFAULT_MEMORY: u64 = 100_000;
/// Default retries per 100 requests.
pub const DEFAULT_RETRY_PERCENT: u32 = 10;

impl Knobs {
    /// The default values.
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

    /// These values, overridden by those that `child` sets.
    #[must_use]
    pub fn merged_with(&self, child: &Self) -> Self {
        Self {
            class: child.class.or(self.class),
            deadline_ms: child.deadline_ms.or(self.deadline_ms),
            max_output: child.max_output.or(self.max_output),
            idempotent: child.idempotent.or(self.idempotent),
            in_flight: child.in_flight.or(self.in_flight),
            queue_limit: child.queue_limit.or(self.queue_limit),
            cold_limit: child.cold_limit.or(self.cold_limit),
            warm_limit: child.warm_limit.or(self.warm_limit),
            warm_after: child.warm_after.or(self.warm_after),
            memory: child.memory.or(self.memory),
            retry_percent: child.retry_percent.or(self.retry_percent),
        }
    }

    /// The values set here, by their outer names.
    fn written_values(&self) -> Map<String, Value> {
        match serde_json::to_value(self) {
            Ok(Value::Object(map)) => map,
            _ => Map::new(),
        }
    }
}

/// An effective value and the node that set it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Origin {
    /// Name of the value, as in nodes.
    pub knob: Arc<str>,
    /// The effective value.
    pub value: Value,
    /// The node that set the value; `None` for the default.
    pub from: Option<NodePath>,
}

/// Returns every effective value at a path with its origin, sorted by name; `None` if the path is
/// not valid. The node itself need not exist.
#[must_use]
pub fn origins(snapshot: &Snapshot, path: &str) -> Option<Vec<Origin>> {
    let chain = ParsedPath::parse(path)?.inheritance_chain();
    let mut origins: Vec<Origin> = Knobs::defaults()
        .written_values()
        .into_iter()
        .map(|(knob, value)| Origin {
            knob: knob.into(),
            value,
            from: None,
        })
        .collect();
    for parsed in chain {
        let path = parsed.path();
        let Some(node) = snapshot.nodes.get(&path) else {
            continue;
        };
        let written = node.knobs.written_values();
        for origin in &mut origins {
            if let Some(value) = written.get(&*origin.knob) {
                origin.value = value.clone();
                origin.from = Some(Arc::clone(&path));
            }
        }
    }
    origins.sort_by(|a, b| a.knob.cmp(&b.knob));
    Some(origins)
}

/// The effective values at a path.
#[must_use]
pub fn effective_knobs(snapshot: &Snapshot, parsed: &ParsedPath) -> Knobs {
    parsed
        .inheritance_chain()
        .iter()
        .fold(Knobs::defaults(), |knobs, parsed| {
            match snapshot.nodes.get(&parsed.path()) {
                Some(node) => knobs.merged_with(&node.knobs),
                None => knobs,
            }
        })
}
