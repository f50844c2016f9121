//! Order of service of the permit requests that wait at an owner.
//!
//! Requests are ordered by class. Within a class, workspaces share by tokens and not by number of
//! requests, with start-time fair queueing: the workspace with the smallest virtual start is next.
//! Virtual starts within one quantum of tokens count as equal, and among those the earliest
//! deadline is next. Deadlines therefore decide between workspaces that got about as much, and
//! always within a workspace. Background requests that have waited long are promoted to normal, so
//! that they are not starved.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{Class, InstanceId, Moment, PermitRequestId, Tokens, WorkspaceId};
use wire::PermitRequest;

/// Difference in tokens up to which two workspaces count as equally served.
const QUANTUM: f64 = 4096.0;
/// Total wait after which a background request is promoted to normal.
const BACKGROUND_PROMOTION_AGE: Duration = Duration::from_secs(20);
/// Maximum number of requests of one workspace and class considered in one pass.
const MAX_CANDIDATES_PER_WORKSPACE: usize = 4;
/// Maximum number of requests of one class considered in one pass.
const MAX_CANDIDATES_PER_CLASS: usize = 12;
/// Number of workspaces above which those that are not ahead of the virtual time are forgotten.
const RETAINED_WORKSPACES: usize = 1024;

/// Larger numbers of tokens in a message are capped to this, so that sums can't overflow.
pub const MAX_TOKENS: Tokens = 1 << 32;

/// Sequence number of a queued request, in order of arrival.
pub type QueuePosition = u64;

/// A permit request in the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The entry that sent the request.
    pub entry: InstanceId,
    /// The request.
    pub request: PermitRequest,
    /// When it arrived at this owner.
    pub queued_at: Moment,
    /// The caller's deadline, on this process's clock.
    pub deadline: Moment,
    /// How often other requests have overtaken it because it fitted nowhere, weighted by their
    /// class.
    pub bypassed: u32,
    /// The class that it is served as: its own, or normal after promotion.
    pub effective_class: Class,
}

impl QueuedRequest {
    /// Wraps a request that has just arrived.
    #[must_use]
    pub fn new(entry: &InstanceId, request: &PermitRequest, now: Moment) -> Self {
        let mut request = request.clone();
        request.prompt_tokens = request.prompt_tokens.min(MAX_TOKENS);
        request.max_output = request.max_output.min(MAX_TOKENS);
        Self {
            entry: entry.clone(),
            queued_at: now,
            deadline: now.saturating_add(request.deadline_left),
            bypassed: 0,
            effective_class: request.class,
            request,
        }
    }
}

/// Identifies a request together with the entry that sent it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RequestKey {
    entry: InstanceId,
    permit_request: PermitRequestId,
}

/// Order among the requests of a workspace and class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct DeadlineOrder {
    deadline: Moment,
    position: QueuePosition,
}

/// Order among the requests of a class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ServiceOrder {
    quantum: u64,
    order: DeadlineOrder,
}

type ClassQueue = BTreeMap<WorkspaceId, BTreeSet<DeadlineOrder>>;

/// Permit requests that wait for one shard.
#[derive(Debug, Default)]
pub struct WaitQueue {
    next_position: QueuePosition,
    queued: BTreeMap<QueuePosition, QueuedRequest>,
    positions: BTreeMap<RequestKey, QueuePosition>,
    classes: [ClassQueue; 3],
    class_lengths: [usize; 3],
    virtual_finish: BTreeMap<WorkspaceId, f64>,
    virtual_time: f64,
}

impl WaitQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the number of requests of a class.
    #[must_use]
    pub const fn len_of(&self, class: Class) -> usize {
        self.class_lengths[class as usize]
    }

    /// Returns the entries that have requests in the queue.
    #[must_use]
    pub fn entries(&self) -> BTreeSet<InstanceId> {
        self.positions.keys().map(|key| key.entry.clone()).collect()
    }

    /// Adds a request, and replaces an earlier one with the same id from the same entry.
    pub fn push(&mut self, queued: QueuedRequest) {
        self.remove(&queued.entry.clone(), queued.request.permit_request);
        let position = self.next_position;
        self.next_position += 1;
        let key = RequestKey {
            entry: queued.entry.clone(),
            permit_request: queued.request.permit_request,
        };
        self.positions.insert(key, position);
        self.add_to_class(position, &queued);
        self.queued.insert(position, queued);
    }

    /// Removes a request.
    pub fn remove(
        &mut self,
        entry: &InstanceId,
        permit_request: PermitRequestId,
    ) -> Option<QueuedRequest> {
        let key = RequestKey {
            entry: entry.clone(),
            permit_request,
        };
        let position = *self.positions.get(&key)?;
        self.remove_at(position)
    }

    /// Removes and returns all requests for which `is_removed` holds.
    pub fn drain_if(
        &mut self,
        mut is_removed: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let found: Vec<QueuePosition> = self
            .queued
            .iter()
            .filter(|(_, queued)| is_removed(queued))
            .map(|(position, _)| *position)
            .collect();
        found
            .into_iter()
            .filter_map(|position| self.remove_at(position))
            .collect()
    }

    /// Removes and returns the requests of a class that won't be served before their deadline,
    /// assuming that one is served every `interval` in order of deadlines. A removed request does
    /// not delay those behind it.
    pub fn drain_unservable(
        &mut self,
        now: Moment,
        class: Class,
        interval: Duration,
    ) -> Vec<QueuedRequest> {
        let mut orders: Vec<DeadlineOrder> = self.classes[class as usize]
            .values()
            .flatten()
            .copied()
            .collect();
        orders.sort_unstable();
        let mut wait = Duration::ZERO;
        let mut unservable = Vec::new();
        for order in orders {
            if now + wait > order.deadline {
                unservable.push(order.position);
            } else {
                wait += interval;
            }
        }
        unservable
            .into_iter()
            .filter_map(|position| self.remove_at(position))
            .collect()
    }

    /// Removes and returns the latest request of the least urgent class below `class`.
    pub fn evict_less_urgent(&mut self, class: Class) -> Option<QueuedRequest> {
        let position = *self
            .queued
            .iter()
            .filter(|(_, queued)| queued.effective_class > class)
            .max_by_key(|(position, queued)| (queued.effective_class, **position))?
            .0;
        self.remove_at(position)
    }

    /// Promotes background requests that have waited long to normal.
    pub fn promote_aged(&mut self, now: Moment) {
        let aged: Vec<QueuePosition> = self
            .queued
            .iter()
            .filter(|(_, w)| w.effective_class == Class::Background)
            .filter(|(_, w)| {
                w.request
                    .waited
                    .saturating_add(now.saturating_sub(w.queued_at))
                    >= BACKGROUND_PROMOTION_AGE
            })
            .map(|(position, _)| *position)
            .collect();
        for position in aged {
            let Some(mut queued) = self.queued.remove(&position) else {
                continue;
            };
            self.remove_from_class(position, &queued);
            queued.effective_class = Class::Normal;
            self.add_to_class(position, &queued);
            self.queued.insert(position, queued);
        }
    }

    /// Returns the first positions in order of service.
    #[must_use]
    pub fn service_order(&self) -> Vec<QueuePosition> {
        let mut order = Vec::new();
        for class in &self.classes {
            let mut candidates: Vec<ServiceOrder> = Vec::new();
            for (workspace, orders) in class {
                let quantum = (self.virtual_start(workspace) / QUANTUM) as u64;
                let orders = orders.iter().take(MAX_CANDIDATES_PER_WORKSPACE);
                candidates.extend(orders.map(|&order| ServiceOrder { quantum, order }));
            }
            candidates.sort_unstable();
            order.extend(
                candidates
                    .iter()
                    .take(MAX_CANDIDATES_PER_CLASS)
                    .map(|candidate| candidate.order.position),
            );
        }
        order
    }

    /// Returns the request at a position.
    #[must_use]
    pub fn get(&self, position: QueuePosition) -> Option<&QueuedRequest> {
        self.queued.get(&position)
    }

    /// Records that a request behind this one was served; it counts `times`.
    pub fn record_bypass(&mut self, position: QueuePosition, times: u32) {
        if let Some(queued) = self.queued.get_mut(&position) {
            queued.bypassed += times;
        }
    }

    /// Removes the request at a position and charges `tokens` to its workspace.
    pub fn dequeue_and_charge(
        &mut self,
        position: QueuePosition,
        tokens: f64,
    ) -> Option<QueuedRequest> {
        let queued = self.remove_at(position)?;
        let start = self.virtual_start(&queued.request.workspace);
        self.virtual_time = self.virtual_time.max(start);
        let workspace = queued.request.workspace.clone();
        self.virtual_finish.insert(workspace, start + tokens);
        self.prune_idle_workspaces();
        Some(queued)
    }

    /// Adjusts a workspace's charge by `tokens` once the true size of a request is known.
    pub fn adjust_charge(&mut self, workspace: &WorkspaceId, tokens: f64) {
        if let Some(finish) = self.virtual_finish.get_mut(workspace) {
            *finish += tokens;
        }
    }

    /// Virtual start of a workspace's next request. An idle workspace starts at the present virtual
    /// time and gets no credit for the time it was idle.
    fn virtual_start(&self, workspace: &WorkspaceId) -> f64 {
        let finish = self
            .virtual_finish
            .get(workspace)
            .copied()
            .unwrap_or_default();
        finish.max(self.virtual_time)
    }

    fn prune_idle_workspaces(&mut self) {
        if self.virtual_finish.len() > RETAINED_WORKSPACES {
            let now = self.virtual_time;
            self.virtual_finish.retain(|_, finish| *finish > now);
        }
    }

    fn remove_at(&mut self, position: QueuePosition) -> Option<QueuedRequest> {
        let queued = self.queued.remove(&position)?;
        let key = RequestKey {
            entry: queued.entry.clone(),
            permit_request: queued.request.permit_request,
        };
        self.positions.remove(&key);
        self.remove_from_class(position, &queued);
        Some(queued)
    }

    fn add_to_class(&mut self, position: QueuePosition, queued: &QueuedRequest) {
        let order = DeadlineOrder {
            deadline: queued.deadline,
            position,
        };
        self.classes[queued.effective_class as usize]
            .entry(queued.request.workspace.clone())
            .or_default()
            .insert(order);
        self.class_lengths[queued.effective_class as usize] += 1;
    }

    fn remove_from_class(&mut self, position: QueuePosition, queued: &QueuedRequest) {
        let order = DeadlineOrder {
            deadline: queued.deadline,
            position,
        };
        let class = &mut self.classes[queued.effective_class as usize];
        if let Some(orders) = class.get_mut(&queued.request.workspace) {
            orders.remove(&order);
            if orders.is_empty() {
                class.remove(&queued.request.workspace);
            }
        }
        self.class_lengths[queued.effective_class as usize] -= 1;
    }
}
