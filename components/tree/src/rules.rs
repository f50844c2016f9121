//! A snapshot prepared for look-ups on the path of requests.

use std::{collections::HashMap, sync::Arc};

use subtle::ConstantTimeEq;
use types::{ConfigVersion, DataCentreId, RouteId, ServiceId, ServiceKind, WorkspaceId};

use crate::{
    api::{EffectiveConfig, Knobs, Node, RouteRule, Snapshot},
    knobs::effective_knobs,
    path::ParsedPath,
};

/// The route of requests that name none.
pub const DEFAULT_ROUTE: &str = "default";

/// Bytes of a SHA-256 hash.
const HASH_BYTES: usize = 32;

type KeyHash = [u8; HASH_BYTES];

/// All rules of one snapshot.
///
/// Rules of services and their routes are merged ahead of time; what a workspace writes is put
/// over them at look-up. All combinations ahead of time would need memory for workspaces times
/// routes.
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
        let right_method = self.method.as_ref().is_none_or(|m| &**m == method);
        right_method && starts_at_border(path, &self.prefix)
    }
}

/// Whether `path` lies at or below `prefix`: `/watch` covers `/watch/1` but not `/watchlist`.
fn starts_at_border(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?'])
}

impl Rules {
    /// Prepares a snapshot. Nodes that are not valid are passed over.
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
        // Services come before their routes in the order of paths, workspaces likewise.
        for (path, node) in &snapshot.nodes {
            if let Some(place) = ParsedPath::parse(path) {
                rules.add(snapshot, &place, node);
            }
        }
        rules.sort_plain();
        rules
    }

    fn add(&mut self, snapshot: &Snapshot, place: &ParsedPath, node: &Node) {
        match place {
            ParsedPath::Root => {}
            ParsedPath::DataCentre(id) => {
                if node.out == Some(true) {
                    self.out.push(Arc::clone(id));
                }
            }
            ParsedPath::Service(service) => self.add_service(snapshot, place, service, node),
            ParsedPath::Route(service, route) => {
                self.add_route(snapshot, place, service, route, node)
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
        place: &ParsedPath,
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
            knobs: effective_knobs(snapshot, place),
        };
        let routes = HashMap::new();
        self.services
            .insert(Arc::clone(service), ServiceRules { rule, routes });
    }

    fn add_route(
        &mut self,
        snapshot: &Snapshot,
        place: &ParsedPath,
        service: &ServiceId,
        route: &RouteId,
        node: &Node,
    ) {
        let Some(of) = self.services.get_mut(service) else {
            return;
        };
        let rule = RouteRule {
            route: Arc::clone(route),
            knobs: effective_knobs(snapshot, place),
            ..of.rule.clone()
        };
        if let (ServiceKind::Plain, Some(prefix)) = (rule.kind, &node.path) {
            self.plain.push(PlainRoute {
                method: node.method.clone(),
                prefix: Arc::clone(prefix),
                service: Arc::clone(service),
                route: Arc::clone(route),
            });
        }
        of.routes.insert(Arc::clone(route), rule);
    }

    fn add_workspace(&mut self, id: &WorkspaceId, node: &Node) {
        let workspace = self.workspaces.entry(Arc::clone(id)).or_default();
        workspace.knobs = node.knobs.clone();
        for hash in node.key_hashes.iter().filter_map(|text| read_hash(text)) {
            let bucket = self.keys.entry(hash[0]).or_default();
            bucket.push((hash, Arc::clone(id)));
        }
    }

    /// Longest prefix first; among equals, a route with a method before one for any.
    fn sort_plain(&mut self) {
        self.plain.sort_by(|a, b| {
            let longest = b.prefix.len().cmp(&a.prefix.len());
            longest.then(b.method.is_some().cmp(&a.method.is_some()))
        });
    }

    fn rule_for(&self, workspace: &str, service: &str, route: &str) -> Option<RouteRule> {
        let own = self.workspaces.get(workspace)?;
        let of = self.services.get(service)?;
        let mut rule = match of.routes.get(route) {
            Some(rule) => rule.clone(),
            None if route == DEFAULT_ROUTE => of.rule.clone(),
            None => return None,
        };
        rule.knobs = rule.knobs.with_lower(&own.knobs);
        if let Some(knobs) = own.routes.get(service).and_then(|r| r.get(route)) {
            rule.knobs = rule.knobs.with_lower(knobs);
        }
        Some(rule)
    }
}

impl EffectiveConfig for Rules {
    fn version(&self) -> ConfigVersion {
        self.version
    }

    fn workspace(&self, hash: &str) -> Option<WorkspaceId> {
        let hash = read_hash(hash)?;
        // The time taken tells an attacker no more than the first byte of a hash. Each entry of
        // the bucket is compared in full, whichever one matches.
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
        self.services.get(service).map(|of| of.rule.clone())
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

/// Reads a hash in hexadecimal.
pub(crate) fn read_hash(text: &str) -> Option<KeyHash> {
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
