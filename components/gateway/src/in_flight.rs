//! Counts requests in flight, per workspace and in total.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use parking_lot::Mutex;
use types::{Class, Refusal, WorkspaceId};

use crate::{
    metrics::{Metrics, Outcome},
    refusals,
};

/// Counts of requests in flight. Clones share the counts.
#[derive(Clone)]
pub struct InFlightRequests {
    total: Arc<AtomicUsize>,
    by_workspace: Arc<Mutex<HashMap<WorkspaceId, u32>>>,
    metrics: Metrics,
}

impl InFlightRequests {
    /// Creates counts at zero.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            total: Arc::default(),
            by_workspace: Arc::default(),
            metrics,
        }
    }

    /// Returns the total number of requests in flight.
    pub fn total(&self) -> usize {
        self.total.load(Ordering::Acquire)
    }

    /// Counts a request of a workspace as in flight, unless the workspace already has `limit`
    /// requests.
    pub fn enter(
        &self,
        workspace: &WorkspaceId,
        limit: u32,
        class: Class,
    ) -> Result<InFlightGuard, Refusal> {
        let mut by_workspace = self.by_workspace.lock();
        let count = by_workspace
            .entry(WorkspaceId::clone(workspace))
            .or_default();
        if *count >= limit {
            return Err(refusals::in_flight(limit));
        }
        *count += 1;
        drop(by_workspace);
        self.total.fetch_add(1, Ordering::AcqRel);
        self.metrics.increment_in_flight();
        Ok(InFlightGuard {
            requests: self.clone(),
            workspace: WorkspaceId::clone(workspace),
            class,
            outcome: Mutex::new(Outcome::Left),
        })
    }

    /// Returns the number of requests in flight by workspace, sorted.
    pub fn by_workspace(&self) -> Vec<(WorkspaceId, u32)> {
        let by_workspace = self.by_workspace.lock();
        let mut counts: Vec<_> = by_workspace.iter().map(|(w, n)| (w.clone(), *n)).collect();
        counts.sort();
        counts
    }
}

/// One request in flight. Dropping it ends the count and records the outcome.
pub struct InFlightGuard {
    requests: InFlightRequests,
    workspace: WorkspaceId,
    class: Class,
    /// Initially `Left`: a request dropped before any outcome lost its caller.
    outcome: Mutex<Outcome>,
}

impl InFlightGuard {
    /// Sets how the request ended.
    pub fn set_outcome(&self, outcome: Outcome) {
        *self.outcome.lock() = outcome;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut by_workspace = self.requests.by_workspace.lock();
        if let Some(count) = by_workspace.get_mut(&self.workspace) {
            *count -= 1;
            if *count == 0 {
                by_workspace.remove(&self.workspace);
            }
        }
        drop(by_workspace);
        self.requests.total.fetch_sub(1, Ordering::AcqRel);
        self.requests.metrics.decrement_in_flight();
        self.requests
            .metrics
            .record_end(self.class, *self.outcome.lock());
    }
}
