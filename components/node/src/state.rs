//! The state of the instance, as operators and readiness probes see it.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use admin::{Dump, Readiness};
use claims::{Claims, StoreClaims};
use config::{Config, ConfigUpdater};
use serde_json::{Value, json};
use stores::PacedTable;

use crate::{core::Core, directory::DirectoryWatcher};

/// Access to the state of all components.
pub struct InstanceState {
    core: Arc<Core>,
    config: Arc<ConfigUpdater>,
    directory_watcher: Arc<DirectoryWatcher>,
    claims: Arc<StoreClaims>,
    table: Arc<PacedTable>,
    draining: Arc<AtomicBool>,
}

impl InstanceState {
    /// Creates the access to the given components.
    #[must_use]
    pub const fn new(
        core: Arc<Core>,
        config: Arc<ConfigUpdater>,
        directory_watcher: Arc<DirectoryWatcher>,
        claims: Arc<StoreClaims>,
        table: Arc<PacedTable>,
        draining: Arc<AtomicBool>,
    ) -> Self {
        Self {
            core,
            config,
            directory_watcher,
            claims,
            table,
            draining,
        }
    }

    /// Whether requests are accepted. They are also accepted during a shutdown, because the load
    /// balancer's list lags: callers that it still sends here would be refused.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.not_ready_reason().is_none()
    }

    /// Returns why the instance can't serve requests, apart from a shutdown.
    fn not_ready_reason(&self) -> Option<&'static str> {
        if self.config.current().is_none() {
            return Some(
                "no configuration was found yet, neither at a peer nor in the table service",
            );
        }
        if !self.directory_watcher.has_list() {
            return Some("the platform's list of instances could not be read yet");
        }
        if self
            .core
            .with_members(|members, now| members.is_isolated(now))
        {
            return Some("no other instance is heard");
        }
        None
    }
}

impl Readiness for InstanceState {
    fn ready(&self) -> Result<(), Arc<str>> {
        if self.draining.load(Ordering::Acquire) {
            return Err("the instance is shutting down".into());
        }
        self.not_ready_reason()
            .map_or(Ok(()), |reason| Err(reason.into()))
    }
}

impl Dump for InstanceState {
    fn dump(&self) -> Value {
        let (members, decisions) = self.core.dump();
        json!({
            "instance": self.core.me,
            "incarnation": self.core.incarnation,
            "configuration": self.config.dump(),
            "table": self.table.dump(),
            "members": members,
            "decisions": decisions,
            "claims": self.claims.dump(),
        })
    }
}
