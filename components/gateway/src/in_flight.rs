//! Requests in flight: by workspace, and in all.

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

/// Counts requests in flight. Clones share the counts.
#[derive(Clone)]
pub struct InFlightRequests {
    all: Arc<AtomicUsize>,
    by_workspace: Arc<Mutex<HashMap<WorkspaceId, u32>>>,
    metrics: Metrics,
}

impl InFlightRequests {
    /// Starts at zero.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            all: Arc::default(),
            by_workspace: Arc::default(),
            metrics,
        }
    }

    /// Requests in flight in all.
    pub fn open(&self) -> usize {
        self.all.load(Ordering::Acquire)
    }

    /// Lets a request of a workspace in, if the workspace has fewer than `limit`.
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
        self.all.fetch_add(1, Ordering::AcqRel);
        self.metrics.entered();
        Ok(InFlightGuard {
            flights: self.clone(),
            workspace: WorkspaceId::clone(workspace),
            class,
            outcome: Mutex::new(Outcome::Left),
        })
    }

    /// Requests in flight by workspace.
    pub fn by_workspace(&self) -> Vec<(WorkspaceId, u32)> {
        let by_workspace = self.by_workspace.lock();
        let mut counts: Vec<_> = by_workspace.iter().map(|(w, n)| (w.clone(), *n)).collect();
        counts.sort();
        counts
    }
}

/// One request in flight; over when dropped.
pub struct InFlightGuard {
    flights: InFlightRequests,
    workspace: WorkspaceId,
    class: Class,
    /// A request dropped without a word is one whose caller went away.
    outcome: Mutex<Outcome>,
}

impl InFlightGuard {
    /// Notes how the request ends.
    pub fn note(&self, outcome: Outcome) {
        *self.outcome.lock() = outcome;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut by_workspace = self.flights.by_workspace.lock();
        if let Some(count) = by_workspace.get_mut(&self.workspace) {
            *count -= 1;
            if *count == 0 {
                by_workspace.remove(&self.workspace);
            }
        }
        drop(by_workspace);
        self.flights.all.fetch_sub(1, Ordering::AcqRel);
        self.flights.metrics.left();
        self.flights.metrics.ended(self.class, *self.outcome.lock());
    }
}
