//! One version of the configuration, indexed for look-ups.

use std::{collections::HashMap, sync::Arc, time::Duration};

use types::{ConfigVersion, RouteId, ServiceId, Tokens, WorkspaceId};

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// A generation: events with growing ids; may run once at most.
    Generation,
}

/// A service that a route sends a part of its requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the other shares of the route.
    pub weight: f64,
}

/// Which requests belong together, and their terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteId,
    /// Host that the caller addresses, in lower case.
    pub host: Arc<str>,
    /// How the path begins; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for the end of the answer.
    pub timeout: Duration,
    /// Time to the answer, for generations to the first event, that callers aim at.
    pub objective: Duration,
    /// Targets that one request may run on.
    pub max_targets: u32,
    /// Rank, the lowest first.
    pub priority: u32,
    /// Whether callers need no key.
    pub allows_anonymous: bool,
    /// Where its requests go; never empty.
    pub shares: Vec<Share>,
}

impl Route {
    /// Picks a service by a number from 0 up to, but not including, 1.
    #[must_use]
    pub fn pick_service(&self, at: f64) -> Option<&ServiceId> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = at * total;
        for share in &self.shares {
            left -= share.weight;
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}

/// What the engines of a service can do.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Generations that run at once.
    pub slots: u32,
    /// Memory for running and cached tokens.
    pub memory: Tokens,
    /// Bytes of memory that one token takes.
    pub token_bytes: u64,
    /// Speed of an engine's link for memory, in megabits a second.
    pub link_mbps: f64,
    /// Whether a running generation's memory can be copied to another engine.
    pub can_migrate: bool,
    /// Whether a generation's memory can be sent to a second engine as it grows.
    pub can_back_up: bool,
    /// Tokens in one event of a stream.
    pub tokens_per_event: Tokens,
    /// How long a copy is kept that nobody uses.
    pub copy_retention: Duration,
}

impl Engine {
    /// Time to copy one token's memory over an engine's link.
    #[must_use]
    pub fn token_copy_time(&self) -> Duration {
        let bits = u32::try_from(self.token_bytes * 8).unwrap_or(u32::MAX);
        // A megabit a second is a bit a microsecond.
        let micros = f64::from(bits) / self.link_mbps.max(1.0);
        Duration::from_secs_f64(micros / 1e6)
    }
}

/// What all targets of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Path that answers whether a target is well.
    pub health_path: Arc<str>,
    /// Connections that a target takes from all instances together.
    pub max_connections: u32,
    /// Requests a second that a cold target bears; 0 for a service without cold targets.
    pub cold_requests_per_s: f64,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// The workspace that a key belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolder {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Rank of its requests, in place of the route's.
    pub priority: Option<u32>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the headers, and for a pause within a body.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// Who a caller is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Identity {
    /// The configuration has no workspaces, or the route takes callers without a key.
    Anonymous,
    /// The holder of a key.
    KeyHolder(KeyHolder),
}

/// The caller has no key that the configuration knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unidentified;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Its version; a newer one is larger.
    pub version: ConfigVersion,
    /// Routes by host, the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    services: HashMap<ServiceId, Arc<Service>>,
    /// Holders by key; none where the configuration has no workspaces.
    key_holders: Option<HashMap<Arc<str>, KeyHolder>>,
    /// Bounds on callers, where given.
    pub request_limits: Option<RequestLimits>,
}

impl Rules {
    /// An empty configuration of a version.
    #[must_use]
    pub fn new(version: ConfigVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Sets the routes.
    #[must_use]
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        self.routes.clear();
        for route in routes {
            let host = Arc::clone(&route.host);
            self.routes.entry(host).or_default().push(Arc::new(route));
        }
        for list in self.routes.values_mut() {
            list.sort_by_key(|route| usize::MAX - route.prefix.len());
        }
        self
    }

    /// Sets the services.
    #[must_use]
    pub fn with_services(mut self, services: impl IntoIterator<Item = Service>) -> Self {
        let by_name = |service: Service| (Arc::clone(&service.name), Arc::new(service));
        self.services = services.into_iter().map(by_name).collect();
        self
    }

    /// Sets who holds which key.
    #[must_use]
    pub fn with_key_holders(mut self, key_holders: HashMap<Arc<str>, KeyHolder>) -> Self {
        self.key_holders = Some(key_holders);
        self
    }

    /// Sets the bounds on callers.
    #[must_use]
    pub const fn with_request_limits(mut self, request_limits: RequestLimits) -> Self {
        self.request_limits = Some(request_limits);
        self
    }

    /// The route of a request: the longest prefix of its host that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// A service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Who a caller on a route is.
    ///
    /// # Errors
    /// The route wants a key, and no workspace holds this one.
    pub fn identify(&self, route: &Route, key: Option<&str>) -> Result<Identity, Unidentified> {
        let Some(key_holders) = &self.key_holders else {
            return Ok(Identity::Anonymous);
        };
        let key_holder = key.and_then(|key| key_holders.get(key));
        match key_holder {
            Some(key_holder) => Ok(Identity::KeyHolder(key_holder.clone())),
            // A wrong key is refused also there: its owner would take it for a good one.
            None if route.allows_anonymous && key.is_none() => Ok(Identity::Anonymous),
            None => Err(Unidentified),
        }
    }
}
