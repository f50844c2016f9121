//! A snapshot indexed for look-ups on the request path.

use std::{collections::HashMap, sync::Arc};

use subtle::ConstantTimeEq;
use types::{ConfigVersion, DataCentreId, RouteId, ServiceId, ServiceKind, WorkspaceId};

use crate::{
    api::{EffectiveConfig, Knobs, Node, RouteRule, Snapshot},
    knobs::effective_knobs,
    path::ParsedPath,
};

/// The route of requests that don't name one.
pub const DEFAULT_ROUTE: &str = "default";

/// Length of a SHA-256 hash.
const HASH_BYTES: usize = 32;

type KeyHash = [u8; HASH_BYTES];

/// All rules of one snapshot.
///
/// Rules of services and their routes are merged in advance; the values of a workspace are merged
/// at look-up. Merging all combinations in advance would need memory for workspaces times routes.
pub struct Rules {
    version: ConfigVersion,
    services: HashMap<ServiceId, ServiceRules>,
    models: HashMap<Arc<str>, ServiceId>,
    plain: Vec<PlainRoute>,
    workspaces: HashMap<WorkspaceId, WorkspaceRules>,
    keys: HashMap<u8, Vec<(KeyHash, WorkspaceId)>>,
    out: Vec<DataCentreId>,
}

struct ServiceRules {
    rule: RouteRule,
    routes: HashMap<RouteId, RouteRule>,
}

#[derive(Default)]
struct WorkspaceRules {
    knobs: Knobs,
    routes: HashMap<ServiceId, HashMap<RouteId, Knobs>>,
}

/// A route of a plain service: matches a method and a path prefix.
struct PlainRoute {
    method: Option<Arc<str>>,
    prefix: Arc<str>,
    service: ServiceId,
    route: RouteId,
}

impl PlainRoute {
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method.as_ref().is_none_or(|m| &**m == method);
        method_matches && is_path_prefix(path, &self.prefix)
    }
}

/// Whether `prefix` matches whole segments of `path`: `/watch` matches `/watch/1` but not
/// `/watchlist`.
fn is_path_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?'])
}

impl Rules {
    /// Indexes a snapshot. Nodes with invalid paths are skipped.
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut rules = Self {
            version: snapshot.version,
            services: HashMap::new(),
            models: HashMap::new(),
            plain: Vec::new(),
            workspaces: HashMap::new(),
            keys: HashMap::new(),
            out: Vec::new(),
        };
        // In path order, a service precedes its routes and a workspace precedes its own routes.
        for (path, node) in &snapshot.nodes {
            if let Some(parsed) = ParsedPath::parse(path) {
                rules.add(snapshot, &parsed, node);
            }
        }
        rules.sort_plain_routes();
        rules
    }

    fn add(&mut self, snapshot: &Snapshot, parsed: &ParsedPath, node: &Node) {
        match parsed {
            ParsedPath::Root => {}
            ParsedPath::DataCentre(id) => {
                if node.out == Some(true) {
                    self.out.push(Arc::clone(id));
                }
            }
            ParsedPath::Service(service) => self.add_service(snapshot, parsed, service, node),
            ParsedPath::Route(service, route) => {
                self.add_route(snapshot, parsed, service, route, node)
            }
            ParsedPath::Workspace(id) => self.add_workspace(id, node),
            ParsedPath::WorkspaceRoute(id, service, route) => {
                let workspace = self.workspaces.entry(Arc::clone(id)).or_default();
                let routes = workspace.routes.entry(Arc::clone(service)).or_default();
                routes.insert(Arc::clone(route), node.knobs.clone());
            }
        }
    }

    fn add_service(
        &mut self,
        snapshot: &Snapshot,
        parsed: &ParsedPath,
        service: &ServiceId,
        node: &Node,
    ) {
        let kind = node.kind.unwrap_or_default();
        if kind == ServiceKind::Model {
            let model = node.model.as_ref().unwrap_or(service);
            self.models.insert(Arc::clone(model), Arc::clone(service));
        }
        let rule = RouteRule {
            service: Arc::clone(service),
            kind,
            route: DEFAULT_ROUTE.into(),
            knobs: effective_knobs(snapshot, parsed),
        };
        let routes = HashMap::new();
        self.services
            .insert(Arc::clone(service), ServiceRules { rule, routes });
    }

    fn add_route(
        &mut self,
        snapshot: &Snapshot,
        parsed: &ParsedPath,
        service: &ServiceId,
        route: &RouteId,
        node: &Node,
    ) {
        let Some(service_rules) = self.services.get_mut(service) else {
            return;
        };
        let rule = RouteRule {
            route: Arc::clone(route),
            knobs: effective_knobs(snapshot, parsed),
            ..service_rules.rule.clone()
        };
        if let (ServiceKind::Plain, Some(prefix)) = (rule.kind, &node.path) {
            self.plain.push(PlainRoute {
                method: node.method.clone(),
                prefix: Arc::clone(prefix),
                service: Arc::clone(service),
                route: Arc::clone(route),
            });
        }
        service_rules.routes.insert(Arc::clone(route), rule);
    }

    fn add_workspace(&mut self, id: &WorkspaceId, node: &Node) {
        let workspace = self.workspaces.entry(Arc::clone(id)).or_default();
        workspace.knobs = node.knobs.clone();
        for hash in node.key_hashes.iter().filter_map(|text| parse_hash(text)) {
            let bucket = self.keys.entry(hash[0]).or_default();
            bucket.push((hash, Arc::clone(id)));
        }
    }

    /// Sorts by decreasing length of the prefix; for equal prefixes, routes with a method come
    /// before those for any method.
    fn sort_plain_routes(&mut self) {
        self.plain.sort_by(|a, b| {
            let longest = b.prefix.len().cmp(&a.prefix.len());
            longest.then(b.method.is_some().cmp(&a.method.is_some()))
        });
    }

    fn rule_for(&self, workspace: &str, service: &str, route: &str) -> Option<RouteRule> {
        let workspace_rules = self.workspaces.get(workspace)?;
        let service_rules = self.services.get(service)?;
        let mut rule = match service_rules.routes.get(route) {
            Some(rule) => rule.clone(),
            None if route == DEFAULT_ROUTE => service_rules.rule.clone(),
            None => return None,
        };
        rule.knobs = rule.knobs.merged_with(&workspace_rules.knobs);
        if let Some(knobs) = workspace_rules
            .routes
            .get(service)
            .and_then(|r| r.get(route))
        {
            rule.knobs = rule.knobs.merged_with(knobs);
        }
        Some(rule)
    }
}

impl EffectiveConfig for Rules {
    fn version(&self) -> ConfigVersion {
        self.version
    }

    fn workspace(&self, hash: &str) -> Option<WorkspaceId> {
        let hash = parse_hash(hash)?;
        // Timing reveals at most the first byte of a hash to an attacker: every entry of the bucket
        // is compared in full, whichever one matches.
        let bucket = self.keys.get(&hash[0])?;
        let mut found = None;
        for (known, id) in bucket {
            if bool::from(known.ct_eq(&hash)) {
                found = Some(Arc::clone(id));
            }
        }
        found
    }

    fn model(&self, workspace: &WorkspaceId, model: &str, route: &str) -> Option<RouteRule> {
        let service = self.models.get(model)?;
        self.rule_for(workspace, service, route)
    }

    fn plain(&self, workspace: &WorkspaceId, method: &str, path: &str) -> Option<RouteRule> {
        let found = self.plain.iter().find(|r| r.matches(method, path))?;
        self.rule_for(workspace, &found.service, &found.route)
    }

    fn service(&self, service: &ServiceId) -> Option<RouteRule> {
        self.services
            .get(service)
            .map(|service_rules| service_rules.rule.clone())
    }

    fn services(&self) -> Vec<ServiceId> {
        let mut all: Vec<ServiceId> = self.services.keys().cloned().collect();
        all.sort();
        all
    }

    fn data_centres_out(&self) -> Vec<DataCentreId> {
        self.out.clone()
    }
}

/// Parses a hexadecimal hash; upper and lower case are allowed.
pub(crate) fn parse_hash(text: &str) -> Option<KeyHash> {
    let digits = text.as_bytes();
    if digits.len() != 2 * HASH_BYTES {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
    }
    Some(hash)
}

const fn hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        b'A'..=b'F' => Some(digit - b'A' + 10),
        _ => None,
    }
}
