//! Checking a whole tree: every fault at once.

use std::{collections::BTreeMap, sync::Arc};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use types::ServiceKind;

use crate::{
    api::{Knobs, Node, Snapshot},
    knobs::effective_knobs,
    path::ParsedPath,
    rules::{DEFAULT_ROUTE, read_hash},
};

/// Longest deadline, in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 3_600_000;
/// Most tokens of one answer.
const OUTPUT_LIMIT: u64 = 10_000_000;
/// Largest number of anything else that is counted.
const COUNT_LIMIT: u64 = 1_000_000;
/// Largest memory of an engine, in tokens.
const MEMORY_LIMIT: u64 = 1_000_000_000;
/// Most nodes of a tree.
const NODE_LIMIT: usize = 100_000;
/// Most keys of a workspace.
const KEY_LIMIT: usize = 64;

/// One thing wrong with a tree.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display("{path}: {problem}; {expected}")]
pub struct Fault {
    /// The node, and the field within it.
    pub path: Arc<str>,
    /// What is wrong.
    #[serde(rename = "what")]
    pub problem: Arc<str>,
    /// What would be right.
    #[serde(rename = "right")]
    pub expected: Arc<str>,
}

/// Finds all faults of a tree.
#[must_use]
pub fn check(snapshot: &Snapshot) -> Vec<Fault> {
    let mut check = Check {
        snapshot,
        faults: Vec::new(),
    };
    check.size();
    for (path, node) in &snapshot.nodes {
        match ParsedPath::parse(path) {
            Some(place) => check.node(path, &place, node),
            None => check.fault(
                path,
                "no node can stand here",
                "use /, /data-centres/D, /services/S, /services/S/routes/R, /workspaces/W or \
                 /workspaces/W/routes/S/R with names of 1 to 63 letters, digits, '-', '_' and '.', \
                 the first a letter or digit",
            ),
        }
    }
    check.unique_keys();
    check.unique_models();
    check.unique_routes();
    check.faults
}

struct Check<'a> {
    snapshot: &'a Snapshot,
    faults: Vec<Fault>,
}

impl Check<'_> {
    fn fault(&mut self, path: &str, what: &str, right: &str) {
        self.faults.push(Fault {
            path: path.into(),
            problem: what.into(),
            expected: right.into(),
        });
    }

    fn size(&mut self) {
        let count = self.snapshot.nodes.len();
        if count > NODE_LIMIT {
            let what = format!("the tree has {count} nodes");
            self.fault("/", &what, &format!("at most {NODE_LIMIT}"));
        }
    }

    fn node(&mut self, path: &str, place: &ParsedPath, node: &Node) {
        self.parents(path, place);
        self.fields(path, place, node);
        self.ranges(path, &node.knobs);
        self.limits_in_order(path, place);
        self.route(path, node);
        self.keys(path, node);
    }

    fn exists(&self, place: &ParsedPath) -> bool {
        self.snapshot.nodes.contains_key(&place.path())
    }

    fn parents(&mut self, path: &str, place: &ParsedPath) {
        let mut needed = Vec::new();
        match place {
            ParsedPath::Route(service, _) => needed.push(ParsedPath::Service(Arc::clone(service))),
            ParsedPath::WorkspaceRoute(id, service, route) => {
                needed.push(ParsedPath::Workspace(Arc::clone(id)));
                needed.push(ParsedPath::Service(Arc::clone(service)));
                if &**route != DEFAULT_ROUTE {
                    needed.push(ParsedPath::Route(Arc::clone(service), Arc::clone(route)));
                }
            }
            _ => {}
        }
        for parent in needed
            .iter()
            .filter(|p| !self.exists(p))
            .collect::<Vec<_>>()
        {
            let parent = parent.path();
            let what = format!("it needs {parent}, which does not exist");
            self.fault(
                path,
                &what,
                &format!("write {parent} first, or delete this"),
            );
        }
    }

    fn fields(&mut self, path: &str, place: &ParsedPath, node: &Node) {
        let of_service = matches!(place, ParsedPath::Service(_));
        let of_plain_route = match place {
            ParsedPath::Route(service, _) => self.kind(service) != Some(ServiceKind::Model),
            _ => false,
        };
        let checks = [
            ("kind", node.kind.is_some(), of_service, "services"),
            ("model", node.model.is_some(), of_service, "services"),
            (
                "method",
                node.method.is_some(),
                of_plain_route,
                "routes of plain services",
            ),
            (
                "path",
                node.path.is_some(),
                of_plain_route,
                "routes of plain services",
            ),
            (
                "key-hashes",
                !node.key_hashes.is_empty(),
                matches!(place, ParsedPath::Workspace(_)),
                "workspaces",
            ),
            (
                "out",
                node.out.is_some(),
                matches!(place, ParsedPath::DataCentre(_)),
                "data centres",
            ),
            (
                "knobs",
                node.knobs != Knobs::default(),
                !matches!(place, ParsedPath::DataCentre(_)),
                "nodes other than data centres",
            ),
        ];
        for (field, written, allowed, only) in checks {
            if written && !allowed {
                let right = format!("leave it out: only {only} have it");
                self.fault(&at(path, field), "it has no meaning here", &right);
            }
        }
    }

    fn kind(&self, service: &str) -> Option<ServiceKind> {
        let path = format!("/services/{service}");
        let node = self.snapshot.nodes.get(&*path)?;
        Some(node.kind.unwrap_or_default())
    }

    fn ranges(&mut self, path: &str, knobs: &Knobs) {
        let count = |value: Option<u32>| value.map(u64::from);
        let checks = [
            ("deadline-ms", knobs.deadline_ms, 1, DEADLINE_LIMIT_MS),
            ("max-output", knobs.max_output, 1, OUTPUT_LIMIT),
            ("in-flight", count(knobs.in_flight), 1, COUNT_LIMIT),
            ("queue-limit", count(knobs.queue_limit), 0, COUNT_LIMIT),
            ("cold-limit", count(knobs.cold_limit), 1, COUNT_LIMIT),
            ("warm-limit", count(knobs.warm_limit), 1, COUNT_LIMIT),
            ("warm-after", count(knobs.warm_after), 1, COUNT_LIMIT),
            ("memory", knobs.memory, 1, MEMORY_LIMIT),
            ("retry-percent", count(knobs.retry_percent), 0, 100),
        ];
        for (field, value, least, most) in checks {
            if let Some(value) = value.filter(|v| *v < least || *v > most) {
                let field = at(path, &format!("knobs/{field}"));
                let right = format!("a whole number from {least} to {most}");
                self.fault(&field, &format!("{value} is out of range"), &right);
            }
        }
    }

    /// A cold target must not be allowed more than a warm one, wherever the two were written.
    fn limits_in_order(&mut self, path: &str, place: &ParsedPath) {
        if matches!(place, ParsedPath::DataCentre(_)) {
            return;
        }
        let knobs = effective_knobs(self.snapshot, place);
        if let (Some(cold), Some(warm)) = (knobs.cold_limit, knobs.warm_limit)
            && cold > warm
        {
            let what = format!("in force here, cold-limit {cold} is above warm-limit {warm}");
            self.fault(&at(path, "knobs/cold-limit"), &what, "at most warm-limit");
        }
    }

    fn route(&mut self, path: &str, node: &Node) {
        if let Some(method) = &node.method {
            let letters = method.chars().all(|c| c.is_ascii_uppercase());
            if method.is_empty() || !letters {
                let what = format!("{method:?} is no HTTP method");
                self.fault(&at(path, "method"), &what, "for instance GET or POST");
            }
        }
        if let Some(prefix) = &node.path {
            let clean = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
            if !prefix.starts_with('/') || !prefix.chars().all(clean) {
                let what = format!("{prefix:?} is no path prefix");
                let right = "begin with '/', no spaces, '?' or '#'";
                self.fault(&at(path, "path"), &what, right);
            }
        }
    }

    fn keys(&mut self, path: &str, node: &Node) {
        if node.key_hashes.len() > KEY_LIMIT {
            let what = format!("{} keys", node.key_hashes.len());
            self.fault(
                &at(path, "key-hashes"),
                &what,
                &format!("at most {KEY_LIMIT}"),
            );
        }
        for (place, hash) in node.key_hashes.iter().enumerate() {
            if read_hash(hash).is_none() {
                let field = at(path, &format!("key-hashes/{place}"));
                // The text is not repeated: it may be a key that was pasted by mistake.
                let what = "it is no SHA-256 hash";
                self.fault(&field, what, "64 hexadecimal digits, never the key itself");
            }
        }
    }

    fn unique_keys(&mut self) {
        let mut seen = BTreeMap::new();
        for (path, node) in &self.snapshot.nodes {
            for hash in node.key_hashes.iter().filter_map(|text| read_hash(text)) {
                if let Some(first) = seen.insert(hash, path) {
                    let what = format!("{first} has the same key");
                    self.fault(&at(path, "key-hashes"), &what, "a key of its own");
                }
            }
        }
    }

    fn unique_models(&mut self) {
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
                self.fault(&at(path, "model"), "it is empty", "the name callers give");
            }
            if let Some(first) = seen.insert(Arc::clone(&model), path) {
                let what = format!("{first} has the model name {model:?} too");
                self.fault(&at(path, "model"), &what, "a name of its own");
            }
        }
    }

    fn unique_routes(&mut self) {
        let mut seen = BTreeMap::new();
        for (path, node) in &self.snapshot.nodes {
            let (Some(ParsedPath::Route(..)), Some(prefix)) = (ParsedPath::parse(path), &node.path)
            else {
                continue;
            };
            if let Some(first) = seen.insert((prefix, &node.method), path) {
                let what = format!("{first} has the same method and path");
                self.fault(&at(path, "path"), &what, "a method or path of its own");
            }
        }
    }
}

/// Names a field of a node.
fn at(path: &str, field: &str) -> String {
    format!("{path}#{field}")
}
