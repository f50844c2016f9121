//! One version of the configuration, indexed for lookups.

use std::{collections::HashMap, sync::Arc, time::Duration};

use types::{ConfigVersion, RouteId, ServiceId, Tokens, WorkspaceId};

/// How often a request may be executed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    NonIdempotent,
    /// A generation, which streams events with ascending ids; at most once.
    Generation,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the other shares of the route.
    pub weight: f64,
}

/// Requests with a common host and path prefix, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteId,
    /// Host that callers address, in lower case.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often a request may be executed.
    pub kind: RouteKind,
    /// Maximum time until the end of the answer.
    pub timeout: Duration,
    /// Objective for the time until the answer, or until the first event of a generation.
    pub objective: Duration,
    /// Longest pause between two events of a stream for which an answer is still on time, if the
    /// configuration sets one.
    pub max_pause: Option<Duration>,
    /// Whether a stream may be resumed at another target after its last event, so that its request
    /// may be executed again.
    pub is_resumable: bool,
    /// Maximum number of targets that one request may be executed on.
    pub max_targets: u32,
    /// Priority; lower values go first.
    pub priority: u32,
    /// Whether requests without a key are accepted.
    pub allows_anonymous: bool,
    /// Services that receive the requests; never empty.
    pub shares: Vec<Share>,
}

impl Route {
    /// Picks a service for a random number from 0 up to, but not including, 1.
    #[must_use]
    pub fn pick_service(&self, fraction: f64) -> Option<&ServiceId> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = fraction * total;
        for share in &self.shares {
            remaining -= share.weight;
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}

/// Properties of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of concurrent generations.
    pub slots: u32,
    /// KV cache capacity in tokens, for running generations and for cached prefixes.
    pub memory: Tokens,
    /// Bytes of KV cache per token.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link for KV cache transfers, in megabits per second.
    pub link_mbps: f64,
    /// Whether the KV cache of a running generation can be copied to another engine.
    pub can_migrate: bool,
    /// Whether the KV cache of a generation can be replicated to a second engine as it grows.
    pub can_back_up: bool,
    /// Tokens in one event of a stream.
    pub tokens_per_event: Tokens,
    /// How long an engine keeps an unused copy.
    pub copy_retention: Duration,
}

impl Engine {
    /// Time to copy the KV cache of one token over an engine's link.
    #[must_use]
    pub fn token_copy_time(&self) -> Duration {
        let bits = u32::try_from(self.token_bytes * 8).unwrap_or(u32::MAX);
        // 1 Mbit/s is one bit per microsecond.
        let micros = f64::from(bits) / self.link_mbps.max(1.0);
        Duration::from_secs_f64(micros / 1e6)
    }
}

/// Settings that all targets of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Path of the targets' health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections to one target from all instances together.
    pub max_connections: u32,
    /// Requests per second that a target can take during its cold start; 0 if the service has no
    /// cold start.
    pub cold_requests_per_s: f64,
    /// Present for services whose targets are model engines.
    pub engine: Option<Engine>,
}

/// Workspace that a key belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolder {
    /// Name of the workspace.
    pub workspace: WorkspaceId,
    /// Priority that replaces the route's.
    pub priority: Option<u32>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of the headers in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body in bytes.
    pub body_bytes: usize,
    /// Maximum time until the headers are complete, and for a pause within the body.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// Identity of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Identity {
    /// The configuration has no workspaces, or the route accepts requests without a key.
    Anonymous,
    /// The caller has presented a valid key.
    KeyHolder(KeyHolder),
}

/// The caller has presented no key, or an unknown one, where a key is required.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unidentified;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Version number; it grows with each version.
    pub version: ConfigVersion,
    /// Routes by host, the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    services: HashMap<ServiceId, Arc<Service>>,
    /// Workspaces by key; `None` if the configuration has no workspaces.
    key_holders: Option<HashMap<Arc<str>, KeyHolder>>,
    /// Limits on callers, if configured.
    pub request_limits: Option<RequestLimits>,
}

impl Rules {
    /// Creates an empty configuration.
    #[must_use]
    pub fn new(version: ConfigVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// The shortest latency objective of all routes.
    #[must_use]
    pub fn strictest_objective(&self) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        routes.map(|route| route.objective).min()
    }

    /// Sets the routes.
    #[must_use]
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        self.routes.clear();
        for route in routes {
            let host = Arc::clone(&route.host);
            self.routes.entry(host).or_default().push(Arc::new(route));
        }
        for host_routes in self.routes.values_mut() {
            host_routes.sort_by_key(|route| usize::MAX - route.prefix.len());
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

    /// Sets the workspaces by key.
    #[must_use]
    pub fn with_key_holders(mut self, key_holders: HashMap<Arc<str>, KeyHolder>) -> Self {
        self.key_holders = Some(key_holders);
        self
    }

    /// Sets the limits on callers.
    #[must_use]
    pub const fn with_request_limits(mut self, request_limits: RequestLimits) -> Self {
        self.request_limits = Some(request_limits);
        self
    }

    /// Route of a request: the one with the longest matching path prefix on its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Service of the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Identifies a caller on a route.
    ///
    /// # Errors
    /// The route requires a key, and no workspace has this one.
    pub fn identify(&self, route: &Route, key: Option<&str>) -> Result<Identity, Unidentified> {
        let Some(key_holders) = &self.key_holders else {
            return Ok(Identity::Anonymous);
        };
        let key_holder = key.and_then(|key| key_holders.get(key));
        match key_holder {
            Some(key_holder) => Ok(Identity::KeyHolder(key_holder.clone())),
            // An unknown key is rejected here too: otherwise its owner would take it for a valid
            // one.
            None if route.allows_anonymous && key.is_none() => Ok(Identity::Anonymous),
            None => Err(Unidentified),
        }
    }
}
