//! Requests in flight: by workspace, and in all.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use parking_lot::Mutex;
use types::{Refusal, WorkspaceId};

use crate::{metrics::Metrics, refusals};

/// Counts requests in flight. Clones share the counts.
#[derive(Clone)]
pub struct Flights {
    all: Arc<AtomicUsize>,
    by_workspace: Arc<Mutex<HashMap<WorkspaceId, u32>>>,
    metrics: Metrics,
}

impl Flights {
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
    pub fn enter(&self, workspace: &WorkspaceId, limit: u32) -> Result<Flight, Refusal> {
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
        Ok(Flight {
            flights: self.clone(),
            workspace: WorkspaceId::clone(workspace),
        })
    }
}

/// One request in flight; over when dropped.
pub struct Flight {
    flights: Flights,
    workspace: WorkspaceId,
}

impl Drop for Flight {
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
    }
}
