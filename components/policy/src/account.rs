//! The exact account of what runs on one target.

use std::collections::BTreeMap;

use types::{
    Class, Epoch, Incarnation, InstanceId, Moment, PermitId, RouteId, Target, Tokens, WorkspaceId,
};
use wire::HeldPermit;

use crate::{api::EngineReport, limit::Limiter};

/// Which permit of which entry.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PermitKey {
    /// The entry.
    pub entry: InstanceId,
    /// The permit.
    pub permit: PermitId,
}

/// A permit that occupies a target.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The term it was granted in.
    pub epoch: Epoch,
    /// Which life of the target.
    pub incarnation: Incarnation,
    /// Which life of the entry.
    pub entry_incarnation: Incarnation,
    /// Urgency.
    pub class: Class,
    /// Who the work is for.
    pub workspace: WorkspaceId,
    /// The route.
    pub route: RouteId,
    /// Tokens in the prompt.
    pub prompt: Tokens,
    /// The most tokens to produce.
    pub max_output: Tokens,
    /// Tokens produced, as last heard.
    pub produced: Tokens,
    /// Concurrent calls it covers.
    pub slots: u32,
    /// Whether the caller has seen any of the answer.
    pub seen: bool,
    /// The entry's clock beyond which it can't be used for new work any more.
    pub lapses: Moment,
    /// When the entry was lost, if it was.
    pub orphaned: Option<Moment>,
}

impl Permit {
    /// Takes over what an entry says it holds; `stamp` is the entry's clock at saying so.
    #[must_use]
    pub fn heard(held: &HeldPermit, entry_incarnation: Incarnation, stamp: Moment) -> Self {
        Self {
            epoch: held.epoch,
            incarnation: held.incarnation,
            entry_incarnation,
            class: held.class,
            workspace: held.workspace.clone(),
            route: held.route.clone(),
            prompt: held.prompt,
            max_output: held.max_output,
            produced: held.produced,
            slots: held.slots,
            seen: held.seen,
            lapses: stamp,
            orphaned: None,
        }
    }
}

/// A load report and the moment it describes.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// The moment it describes.
    pub taken: Moment,
    /// What it says.
    pub report: EngineReport,
}

/// One target and what runs there.
#[derive(Debug)]
pub struct Account {
    /// The target as listed; `None` once it is listed no more.
    pub listed: Option<Target>,
    /// Its permits.
    pub permits: BTreeMap<PermitKey, Permit>,
    /// Its limit.
    pub limiter: Limiter,
    /// Its newest report.
    pub report: Option<Report>,
}

impl Account {
    /// Starts with nothing running.
    #[must_use]
    pub fn new(target: Target) -> Self {
        Self {
            listed: Some(target),
            permits: BTreeMap::new(),
            limiter: Limiter::new(),
            report: None,
        }
    }

    /// Concurrent requests that it may have, orphans included.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        self.permits.values().map(|permit| permit.slots).sum()
    }

    /// Tokens of memory set aside if each generation ran to its limit.
    #[must_use]
    pub fn reserved(&self) -> Tokens {
        self.permits
            .values()
            .map(|permit| permit.prompt + permit.max_output)
            .sum()
    }

    /// Drops the permits of earlier lives of the target: their work died with it.
    pub fn drop_earlier_lives(&mut self, incarnation: Incarnation) {
        self.permits
            .retain(|_, permit| permit.incarnation >= incarnation);
    }
}
