//! The order of asks that wait at an owner.
//!
//! Class goes first. Within a class workspaces share by tokens, not by count: start-time fair
//! queueing, where the workspace with the smallest virtual start goes next. Starts that lie
//! within one quantum of tokens count as equal, and among those the earliest deadline goes
//! first; so deadlines decide between workspaces that got about the same, and always within
//! a workspace. Background asks that have waited long count as normal, so that they end.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{AskId, Class, InstanceId, Moment, Tokens, WorkspaceId};
use wire::Ask;

/// Tokens by which two workspaces may differ and still count as served alike.
const QUANTUM: f64 = 4096.0;
/// Background asks that have waited this long in all count as normal.
const BACKGROUND_PROMOTION_AGE: Duration = Duration::from_secs(20);
/// Asks of one workspace and class that are looked at in one pass.
const MAX_CANDIDATES_PER_WORKSPACE: usize = 4;
/// Asks of one class that are looked at in one pass.
const MAX_CANDIDATES_PER_CLASS: usize = 12;
/// Served workspaces that are remembered while none of their asks waits.
const RETAINED_WORKSPACES: usize = 1024;

/// Tokens that a message may name; larger figures are cut to this, so that sums can't overflow.
pub const MAX_TOKENS: Tokens = 1 << 32;

/// Number of a waiting ask within its line.
pub type QueuePosition = u64;

/// An ask that waits.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Who asks.
    pub entry: InstanceId,
    /// What it asks for.
    pub ask: Ask,
    /// When it came here.
    pub queued_at: Moment,
    /// When the caller's patience ends, on this process's clock.
    pub deadline: Moment,
    /// Asks behind it that were served because it didn't fit anywhere.
    pub bypassed: u32,
    /// Its class now; a background ask that has waited long counts as normal.
    pub effective_class: Class,
}

impl QueuedRequest {
    /// Takes an ask that has just come.
    #[must_use]
    pub fn new(entry: &InstanceId, ask: &Ask, now: Moment) -> Self {
        let mut ask = ask.clone();
        ask.prompt = ask.prompt.min(MAX_TOKENS);
        ask.max_output = ask.max_output.min(MAX_TOKENS);
        Self {
            entry: entry.clone(),
            queued_at: now,
            deadline: now.saturating_add(ask.within),
            bypassed: 0,
            effective_class: ask.class,
            ask,
        }
    }
}

/// Which ask of which entry.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RequestKey {
    entry: InstanceId,
    ask: AskId,
}

/// Where an ask stands among those of its workspace and class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct DeadlineOrder {
    deadline: Moment,
    place: QueuePosition,
}

/// Where an ask stands among those of its class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ServiceOrder {
    quantum: u64,
    order: DeadlineOrder,
}

type ClassQueue = BTreeMap<WorkspaceId, BTreeSet<DeadlineOrder>>;

/// Asks that wait for one shard.
#[derive(Debug, Default)]
pub struct WaitQueue {
    next: QueuePosition,
    waiting: BTreeMap<QueuePosition, QueuedRequest>,
    positions: BTreeMap<RequestKey, QueuePosition>,
    classes: [ClassQueue; 3],
    class_lengths: [usize; 3],
    virtual_finish: BTreeMap<WorkspaceId, f64>,
    virtual_time: f64,
}

impl WaitQueue {
    /// Starts empty.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// How many asks wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many asks of a class wait.
    #[must_use]
    pub const fn len_of(&self, class: Class) -> usize {
        self.class_lengths[class as usize]
    }

    /// Entries that wait, each once.
    #[must_use]
    pub fn entries(&self) -> BTreeSet<InstanceId> {
        self.positions.keys().map(|key| key.entry.clone()).collect()
    }

    /// Adds an ask; an earlier one with the same number of the same entry is replaced.
    pub fn push(&mut self, waiting: QueuedRequest) {
        self.remove(&waiting.entry.clone(), waiting.ask.ask);
        let place = self.next;
        self.next += 1;
        let key = RequestKey {
            entry: waiting.entry.clone(),
            ask: waiting.ask.ask,
        };
        self.positions.insert(key, place);
        self.add_to_class(place, &waiting);
        self.waiting.insert(place, waiting);
    }

    /// Takes an ask out.
    pub fn remove(&mut self, entry: &InstanceId, ask: AskId) -> Option<QueuedRequest> {
        let key = RequestKey {
            entry: entry.clone(),
            ask,
        };
        let place = *self.positions.get(&key)?;
        self.remove_at(place)
    }

    /// Takes out all asks for which `gone` holds.
    pub fn drain_if(&mut self, mut gone: impl FnMut(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let places: Vec<QueuePosition> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| gone(waiting))
            .map(|(place, _)| *place)
            .collect();
        places
            .into_iter()
            .filter_map(|place| self.remove_at(place))
            .collect()
    }

    /// Takes out the asks of a class that will not be served before their deadline, if one is
    /// served every `between` and the earliest deadline goes first. They give their places to
    /// those behind them.
    pub fn drain_unservable(
        &mut self,
        now: Moment,
        class: Class,
        between: Duration,
    ) -> Vec<QueuedRequest> {
        let mut turns: Vec<DeadlineOrder> = self.classes[class as usize]
            .values()
            .flatten()
            .copied()
            .collect();
        turns.sort_unstable();
        let mut wait = Duration::ZERO;
        let mut hopeless = Vec::new();
        for turn in turns {
            if now + wait > turn.deadline {
                hopeless.push(turn.place);
            } else {
                wait += between;
            }
        }
        hopeless
            .into_iter()
            .filter_map(|place| self.remove_at(place))
            .collect()
    }

    /// Takes out the youngest ask of the least urgent class below `class`.
    pub fn evict_less_urgent(&mut self, class: Class) -> Option<QueuedRequest> {
        let place = *self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.effective_class > class)
            .max_by_key(|(place, waiting)| (waiting.effective_class, **place))?
            .0;
        self.remove_at(place)
    }

    /// Lets background asks that have waited long count as normal.
    pub fn promote_aged(&mut self, now: Moment) {
        let aged: Vec<QueuePosition> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.effective_class == Class::Background)
            .filter(|(_, w)| {
                w.ask.waited.saturating_add(now.saturating_sub(w.queued_at))
                    >= BACKGROUND_PROMOTION_AGE
            })
            .map(|(place, _)| *place)
            .collect();
        for place in aged {
            let Some(mut waiting) = self.waiting.remove(&place) else {
                continue;
            };
            self.remove_from_class(place, &waiting);
            waiting.effective_class = Class::Normal;
            self.add_to_class(place, &waiting);
            self.waiting.insert(place, waiting);
        }
    }

    /// The first places in the order in which they should be served.
    #[must_use]
    pub fn service_order(&self) -> Vec<QueuePosition> {
        let mut order = Vec::new();
        for class in &self.classes {
            let mut ranks: Vec<ServiceOrder> = Vec::new();
            for (workspace, turns) in class {
                let quantum = (self.virtual_start(workspace) / QUANTUM) as u64;
                let turns = turns.iter().take(MAX_CANDIDATES_PER_WORKSPACE);
                ranks.extend(turns.map(|&order| ServiceOrder { quantum, order }));
            }
            ranks.sort_unstable();
            order.extend(
                ranks
                    .iter()
                    .take(MAX_CANDIDATES_PER_CLASS)
                    .map(|rank| rank.order.place),
            );
        }
        order
    }

    /// The ask at a place.
    #[must_use]
    pub fn get(&self, place: QueuePosition) -> Option<&QueuedRequest> {
        self.waiting.get(&place)
    }

    /// Takes note that an ask behind this one was served.
    pub fn record_bypass(&mut self, place: QueuePosition, times: u32) {
        if let Some(waiting) = self.waiting.get_mut(&place) {
            waiting.bypassed += times;
        }
    }

    /// Takes the ask at a place out and charges its workspace with `tokens`.
    pub fn dequeue_and_charge(
        &mut self,
        place: QueuePosition,
        tokens: f64,
    ) -> Option<QueuedRequest> {
        let waiting = self.remove_at(place)?;
        let start = self.virtual_start(&waiting.ask.workspace);
        self.virtual_time = self.virtual_time.max(start);
        let workspace = waiting.ask.workspace.clone();
        self.virtual_finish.insert(workspace, start + tokens);
        self.prune_idle_workspaces();
        Some(waiting)
    }

    /// Corrects what a workspace was charged once the true size is known.
    pub fn adjust_charge(&mut self, workspace: &WorkspaceId, tokens: f64) {
        if let Some(finish) = self.virtual_finish.get_mut(workspace) {
            *finish += tokens;
        }
    }

    /// Virtual start of a workspace's next ask. A workspace that was idle starts now: it gets no
    /// credit for the time it asked for nothing.
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

    fn remove_at(&mut self, place: QueuePosition) -> Option<QueuedRequest> {
        let waiting = self.waiting.remove(&place)?;
        let key = RequestKey {
            entry: waiting.entry.clone(),
            ask: waiting.ask.ask,
        };
        self.positions.remove(&key);
        self.remove_from_class(place, &waiting);
        Some(waiting)
    }

    fn add_to_class(&mut self, place: QueuePosition, waiting: &QueuedRequest) {
        let turn = DeadlineOrder {
            deadline: waiting.deadline,
            place,
        };
        self.classes[waiting.effective_class as usize]
            .entry(waiting.ask.workspace.clone())
            .or_default()
            .insert(turn);
        self.class_lengths[waiting.effective_class as usize] += 1;
    }

    fn remove_from_class(&mut self, place: QueuePosition, waiting: &QueuedRequest) {
        let turn = DeadlineOrder {
            deadline: waiting.deadline,
            place,
        };
        let class = &mut self.classes[waiting.effective_class as usize];
        if let Some(turns) = class.get_mut(&waiting.ask.workspace) {
            turns.remove(&turn);
            if turns.is_empty() {
                class.remove(&waiting.ask.workspace);
            }
        }
        self.class_lengths[waiting.effective_class as usize] -= 1;
    }
}
