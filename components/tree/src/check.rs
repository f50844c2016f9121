//! Validation of a tree; reports all faults at once.

use std::{collections::BTreeMap, sync::Arc};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use types::ServiceKind;

use crate::{
    api::{Knobs, Node, Snapshot},
    knobs::effective_knobs,
    path::ParsedPath,
    rules::{DEFAULT_ROUTE, parse_hash},
};

/// Maximum deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum tokens of one answer.
const MAX_OUTPUT_TOKENS: u64 = 10_000_000;
/// Maximum of all other counts.
const MAX_COUNT: u64 = 1_000_000;
/// Maximum memory of an engine, in tokens.
const MAX_MEMORY_TOKENS: u64 = 1_000_000_000;
/// Maximum nodes of a tree.
const MAX_NODES: usize = 100_000;
/// Maximum keys of a workspace.
const MAX_KEYS: usize = 64;

/// One fault of a tree.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{path}: {problem}; {expected}")]
pub struct Fault {
    /// Path of the node, with the field after `#` if the fault is about one.
    pub path: Arc<str>,
    /// What is wrong.
    #[serde(rename = "what")]
    pub problem: Arc<str>,
    /// What would be valid.
    #[serde(rename = "right")]
    pub expected: Arc<str>,
}

/// Returns all faults of a tree.
#[must_use]
pub fn check(snapshot: &Snapshot) -> Vec<Fault> {
    let mut checker = Checker {
        snapshot,
        faults: Vec::new(),
    };
    checker.check_size();
    for (path, node) in &snapshot.nodes {
        match ParsedPath::parse(path) {
            Some(parsed) => checker.check_node(path, &parsed, node),
            None => checker.add_fault(
                path,
                "no node can stand here",
                "use /, /data-centres/D, /services/S, /services/S/routes/R, /workspaces/W or \
                 /workspaces/W/routes/S/R with names of 1 to 63 letters, digits, '-', '_' and '.', \
                 the first a letter or digit",
            ),
        }
    }
    checker.check_unique_keys();
    checker.check_unique_models();
    checker.check_unique_routes();
    checker.faults
}

struct Checker<'a> {
    snapshot: &'a Snapshot,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn add_fault(&mut self, path: &str, problem: &str, expected: &str) {
        self.faults.push(Fault {
            path: path.into(),
            problem: problem.into(),
            expected: expected.into(),
        });
    }

    fn check_size(&mut self) {
        let count = self.snapshot.nodes.len();
        if count > MAX_NODES {
            let problem = format!("the tree has {count} nodes");
            self.add_fault("/", &problem, &format!("at most {MAX_NODES}"));
        }
    }

    fn check_node(&mut self, path: &str, parsed: &ParsedPath, node: &Node) {
        self.check_parents(path, parsed);
        self.check_fields(path, parsed, node);
        self.check_ranges(path, &node.knobs);
        self.check_limit_order(path, parsed);
        self.check_route(path, node);
        self.check_keys(path, node);
    }

    fn parent_exists(&self, parsed: &ParsedPath) -> bool {
        self.snapshot.nodes.contains_key(&parsed.path())
    }

    fn check_parents(&mut self, path: &str, parsed: &ParsedPath) {
        let mut parents = Vec::new();
        match parsed {
            ParsedPath::Route(service, _) => parents.push(ParsedPath::Service(Arc::clone(service))),
            ParsedPath::WorkspaceRoute(id, service, route) => {
                parents.push(ParsedPath::Workspace(Arc::clone(id)));
                parents.push(ParsedPath::Service(Arc::clone(service)));
                if &**route != DEFAULT_ROUTE {
                    parents.push(ParsedPath::Route(Arc::clone(service), Arc::clone(route)));
                }
            }
            _ => {}
        }
        for parent in parents
            .iter()
            .filter(|p| !self.parent_exists(p))
            .collect::<Vec<_>>()
        {
            let parent = parent.path();
            let problem = format!("it needs {parent}, which does not exist");
            self.add_fault(
                path,
                &problem,
                &format!("write {parent} first, or delete this"),
            );
        }
    }

    fn check_fields(&mut self, path: &str, parsed: &ParsedPath, node: &Node) {
        let is_service = matches!(parsed, ParsedPath::Service(_));
        let is_plain_route = match parsed {
            ParsedPath::Route(service, _) => self.kind(service) != Some(ServiceKind::Model),
            _ => false,
        };
        let checks = [
            ("kind", node.kind.is_some(), is_service, "services"),
            ("model", node.model.is_some(), is_service, "services"),
            (
                "method",
                node.method.is_some(),
                is_plain_route,
                "routes of plain services",
            ),
            (
                "path",
                node.path.is_some(),
                is_plain_route,
                "routes of plain services",
            ),
            (
                "key-hashes",
                !node.key_hashes.is_empty(),
                matches!(parsed, ParsedPath::Workspace(_)),
                "workspaces",
            ),
            (
                "out",
                node.out.is_some(),
                matches!(parsed, ParsedPath::DataCentre(_)),
                "data centres",
            ),
            (
                "knobs",
                node.knobs != Knobs::default(),
                !matches!(parsed, ParsedPath::DataCentre(_)),
                "nodes other than data centres",
            ),
        ];
        for (field, written, allowed, only) in checks {
            if written && !allowed {
                let expected = format!("leave it out: only {only} have it");
                self.add_fault(
                    &field_path(path, field),
                    "it has no meaning here",
                    &expected,
                );
            }
        }
    }

    fn kind(&self, service: &str) -> Option<ServiceKind> {
        let path = format!("/services/{service}");
        let node = self.snapshot.nodes.get(&*path)?;
        Some(node.kind.unwrap_or_default())
    }

    fn check_ranges(&mut self, path: &str, knobs: &Knobs) {
        let count = |value: Option<u32>| value.map(u64::from);
        let checks = [
            ("deadline-ms", knobs.deadline_ms, 1, MAX_DEADLINE_MS),
            ("max-output", knobs.max_output, 1, MAX_OUTPUT_TOKENS),
            ("in-flight", count(knobs.in_flight), 1, MAX_COUNT),
            ("queue-limit", count(knobs.queue_limit), 0, MAX_COUNT),
            ("cold-limit", count(knobs.cold_limit), 1, MAX_COUNT),
            ("warm-limit", count(knobs.warm_limit), 1, MAX_COUNT),
            ("warm-after", count(knobs.warm_after), 1, MAX_COUNT),
            ("memory", knobs.memory, 1, MAX_MEMORY_TOKENS),
            ("retry-percent", count(knobs.retry_percent), 0, 100),
        ];
        for (field, value, min, max) in checks {
            if let Some(value) = value.filter(|v| *v < min || *v > max) {
                let field = field_path(path, &format!("knobs/{field}"));
                let expected = format!("a whole number from {min} to {max}");
                self.add_fault(&field, &format!("{value} is out of range"), &expected);
            }
        }
    }

    /// Checks that a cold target is not allowed more requests than a warm one, also if the two
    /// limits are set on different nodes.
    fn check_limit_order(&mut self, path: &str, parsed: &ParsedPath) {
        if matches!(parsed, ParsedPath::DataCentre(_)) {
            return;
        }
        let knobs = effective_knobs(self.snapshot, parsed);
        if let (Some(cold), Some(warm)) = (knobs.cold_limit, knobs.warm_limit)
            && cold > warm
        {
            let problem = format!("in force here, cold-limit {cold} is above warm-limit {warm}");
            self.add_fault(
                &field_path(path, "knobs/cold-limit"),
                &problem,
                "at most warm-limit",
            );
        }
    }

    fn check_route(&mut self, path: &str, node: &Node) {
        if let Some(method) = &node.method {
            let is_uppercase = method.chars().all(|c| c.is_ascii_uppercase());
            if method.is_empty() || !is_uppercase {
                let problem = format!("{method:?} is no HTTP method");
                self.add_fault(
                    &field_path(path, "method"),
                    &problem,
                    "for instance GET or POST",
                );
            }
        }
        if let Some(prefix) = &node.path {
            let is_allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
            if !prefix.starts_with('/') || !prefix.chars().all(is_allowed) {
                let problem = format!("{prefix:?} is no path prefix");
                let expected = "begin with '/', no spaces, '?' or '#'";
                self.add_fault(&field_path(path, "path"), &problem, expected);
            }
        }
    }

    fn check_keys(&mut self, path: &str, node: &Node) {
        if node.key_hashes.len() > MAX_KEYS {
            let problem = format!("{} keys", node.key_hashes.len());
            self.add_fault(
                &field_path(path, "key-hashes"),
                &problem,
                &format!("at most {MAX_KEYS}"),
            );
        }
        for (index, hash) in node.key_hashes.iter().enumerate() {
            if parse_hash(hash).is_none() {
                let field = field_path(path, &format!("key-hashes/{index}"));
                // The message does not show the text, which may be a key pasted by mistake.
                let problem = "it is no SHA-256 hash";
                self.add_fault(
                    &field,
                    problem,
                    "64 hexadecimal digits, never the key itself",
                );
            }
        }
    }

    fn check_unique_keys(&mut self) {
        let mut seen = BTreeMap::new();
        for (path, node) in &self.snapshot.nodes {
            for hash in node.key_hashes.iter().filter_map(|text| parse_hash(text)) {
                if let Some(first) = seen.insert(hash, path) {
                    let problem = format!("{first} has the same key");
                    self.add_fault(
                        &field_path(path, "key-hashes"),
                        &problem,
                        "a key of its own",
                    );
                }
            }
        }
    }

    fn check_unique_models(&mut self) {
        let mut seen = BTreeMap::new();
        for (path, node) in &self.snapshot.nodes {
            let Some(ParsedPath::Service(service)) = ParsedPath::parse(path) else {
                continue;
            };
            if node.kind.unwrap_or_default() != ServiceKind::Model {
                continue;
            }
            let model = node.model.clone().unwrap_or(service);
            if model.is_empty() {
                self.add_fault(
                    &field_path(path, "model"),
                    "it is empty",
                    "the name callers give",
                );
            }
            if let Some(first) = seen.insert(Arc::clone(&model), path) {
                let problem = format!("{first} has the model name {model:?} too");
                self.add_fault(&field_path(path, "model"), &problem, "a name of its own");
            }
        }
    }

    fn check_unique_routes(&mut self) {
        let mut seen = BTreeMap::new();
        for (path, node) in &self.snapshot.nodes {
            let (Some(ParsedPath::Route(..)), Some(prefix)) = (ParsedPath::parse(path), &node.path)
            else {
                continue;
            };
            if let Some(first) = seen.insert((prefix, &node.method), path) {
                let problem = format!("{first} has the same method and path");
                self.add_fault(
                    &field_path(path, "path"),
                    &problem,
                    "a method or path of its own",
                );
            }
        }
    }
}

/// Path of a field of a node.
fn field_path(path: &str, field: &str) -> String {
    format!("{path}#{field}")
}
