//! The state of the process, for operators.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use admin::{Dump, Readiness};
use claims::{Claims, StoreClaims};
use config::{Config, Keeper};
use serde_json::{Value, json};
use stores::PacedTable;

use crate::{core::Core, directory::Watch};

/// What an operator may see.
pub struct State {
    core: Arc<Core>,
    config: Arc<Keeper>,
    watch: Arc<Watch>,
    claims: Arc<StoreClaims>,
    table: Arc<PacedTable>,
    draining: Arc<AtomicBool>,
}

impl State {
    /// Makes it.
    #[must_use]
    pub const fn new(
        core: Arc<Core>,
        config: Arc<Keeper>,
        watch: Arc<Watch>,
        claims: Arc<StoreClaims>,
        table: Arc<PacedTable>,
        draining: Arc<AtomicBool>,
    ) -> Self {
        Self {
            core,
            config,
            watch,
            claims,
            table,
            draining,
        }
    }

    /// Whether requests are taken. During a shutdown they still are: the balancer's list lags,
    /// and its callers would be cut off.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.reason().is_none()
    }

    fn reason(&self) -> Option<&'static str> {
        if self.config.current().is_none() {
            return Some(
                "no configuration was found yet, neither at a peer nor in the table service",
            );
        }
        if !self.watch.has_list() {
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

impl Readiness for State {
    fn ready(&self) -> Result<(), Arc<str>> {
        if self.draining.load(Ordering::Acquire) {
            return Err("the instance is shutting down".into());
        }
        self.reason().map_or(Ok(()), |reason| Err(reason.into()))
    }
}

impl Dump for State {
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
