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
const AGED: Duration = Duration::from_secs(20);
/// Asks of one workspace and class that are looked at in one pass.
const PER_WORKSPACE: usize = 4;
/// Asks of one class that are looked at in one pass.
const PER_CLASS: usize = 12;
/// Served workspaces that are remembered while none of their asks waits.
const REMEMBERED: usize = 1024;

/// Tokens that a message may name; larger figures are cut to this, so that sums can't overflow.
pub const TOKENS_MOST: Tokens = 1 << 32;

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
    pub since: Moment,
    /// When the caller's patience ends, on this process's clock.
    pub deadline: Moment,
    /// Asks behind it that were served because it didn't fit anywhere.
    pub bypassed: u32,
    /// Its class now; a background ask that has waited long counts as normal.
    pub rank: Class,
}

impl QueuedRequest {
    /// Takes an ask that has just come.
    #[must_use]
    pub fn new(entry: &InstanceId, ask: &Ask, now: Moment) -> Self {
        let mut ask = ask.clone();
        ask.prompt = ask.prompt.min(TOKENS_MOST);
        ask.max_output = ask.max_output.min(TOKENS_MOST);
        Self {
            entry: entry.clone(),
            since: now,
            deadline: now.saturating_add(ask.within),
            bypassed: 0,
            rank: ask.class,
            ask,
        }
    }
}

/// Which ask of which entry.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct AskKey {
    entry: InstanceId,
    ask: AskId,
}

/// Where an ask stands among those of its workspace and class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Turn {
    deadline: Moment,
    place: QueuePosition,
}

/// Where an ask stands among those of its class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    quantum: u64,
    turn: Turn,
}

type ClassQueue = BTreeMap<WorkspaceId, BTreeSet<Turn>>;

/// Asks that wait for one shard.
#[derive(Debug, Default)]
pub struct WaitQueue {
    next: QueuePosition,
    waiting: BTreeMap<QueuePosition, QueuedRequest>,
    places: BTreeMap<AskKey, QueuePosition>,
    classes: [ClassQueue; 3],
    lengths: [usize; 3],
    finish: BTreeMap<WorkspaceId, f64>,
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
        self.lengths[class as usize]
    }

    /// Entries that wait, each once.
    #[must_use]
    pub fn entries(&self) -> BTreeSet<InstanceId> {
        self.places.keys().map(|key| key.entry.clone()).collect()
    }

    /// Adds an ask; an earlier one with the same number of the same entry is replaced.
    pub fn push(&mut self, waiting: QueuedRequest) {
        self.remove(&waiting.entry.clone(), waiting.ask.ask);
        let place = self.next;
        self.next += 1;
        let key = AskKey {
            entry: waiting.entry.clone(),
            ask: waiting.ask.ask,
        };
        self.places.insert(key, place);
        self.enter(place, &waiting);
        self.waiting.insert(place, waiting);
    }

    /// Takes an ask out.
    pub fn remove(&mut self, entry: &InstanceId, ask: AskId) -> Option<QueuedRequest> {
        let key = AskKey {
            entry: entry.clone(),
            ask,
        };
        let place = *self.places.get(&key)?;
        self.take(place)
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
            .filter_map(|place| self.take(place))
            .collect()
    }

    /// Takes out the asks of a class that will not be served before their deadline, if one is
    /// served every `between` and the earliest deadline goes first. They give their places to
    /// those behind them.
    pub fn drain_hopeless(
        &mut self,
        now: Moment,
        class: Class,
        between: Duration,
    ) -> Vec<QueuedRequest> {
        let mut turns: Vec<Turn> = self.classes[class as usize]
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
            .filter_map(|place| self.take(place))
            .collect()
    }

    /// Takes out the youngest ask of the least urgent class below `class`.
    pub fn displace(&mut self, class: Class) -> Option<QueuedRequest> {
        let place = *self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.rank > class)
            .max_by_key(|(place, waiting)| (waiting.rank, **place))?
            .0;
        self.take(place)
    }

    /// Lets background asks that have waited long count as normal.
    pub fn age(&mut self, now: Moment) {
        let aged: Vec<QueuePosition> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.rank == Class::Background)
            .filter(|(_, w)| w.ask.waited.saturating_add(now.saturating_sub(w.since)) >= AGED)
            .map(|(place, _)| *place)
            .collect();
        for place in aged {
            let Some(mut waiting) = self.waiting.remove(&place) else {
                continue;
            };
            self.leave(place, &waiting);
            waiting.rank = Class::Normal;
            self.enter(place, &waiting);
            self.waiting.insert(place, waiting);
        }
    }

    /// The first places in the order in which they should be served.
    #[must_use]
    pub fn order(&self) -> Vec<QueuePosition> {
        let mut order = Vec::new();
        for class in &self.classes {
            let mut ranks: Vec<Rank> = Vec::new();
            for (workspace, turns) in class {
                let quantum = (self.start(workspace) / QUANTUM) as u64;
                let turns = turns.iter().take(PER_WORKSPACE);
                ranks.extend(turns.map(|&turn| Rank { quantum, turn }));
            }
            ranks.sort_unstable();
            order.extend(ranks.iter().take(PER_CLASS).map(|rank| rank.turn.place));
        }
        order
    }

    /// The ask at a place.
    #[must_use]
    pub fn get(&self, place: QueuePosition) -> Option<&QueuedRequest> {
        self.waiting.get(&place)
    }

    /// Takes note that an ask behind this one was served.
    pub fn bypass(&mut self, place: QueuePosition, times: u32) {
        if let Some(waiting) = self.waiting.get_mut(&place) {
            waiting.bypassed += times;
        }
    }

    /// Takes the ask at a place out and charges its workspace with `tokens`.
    pub fn serve(&mut self, place: QueuePosition, tokens: f64) -> Option<QueuedRequest> {
        let waiting = self.take(place)?;
        let start = self.start(&waiting.ask.workspace);
        self.virtual_time = self.virtual_time.max(start);
        let workspace = waiting.ask.workspace.clone();
        self.finish.insert(workspace, start + tokens);
        self.forget();
        Some(waiting)
    }

    /// Corrects what a workspace was charged once the true size is known.
    pub fn settle(&mut self, workspace: &WorkspaceId, tokens: f64) {
        if let Some(finish) = self.finish.get_mut(workspace) {
            *finish += tokens;
        }
    }

    /// Virtual start of a workspace's next ask. A workspace that was idle starts now: it gets no
    /// credit for the time it asked for nothing.
    fn start(&self, workspace: &WorkspaceId) -> f64 {
        let finish = self.finish.get(workspace).copied().unwrap_or_default();
        finish.max(self.virtual_time)
    }

    fn forget(&mut self) {
        if self.finish.len() > REMEMBERED {
            let now = self.virtual_time;
            self.finish.retain(|_, finish| *finish > now);
        }
    }

    fn take(&mut self, place: QueuePosition) -> Option<QueuedRequest> {
        let waiting = self.waiting.remove(&place)?;
        let key = AskKey {
            entry: waiting.entry.clone(),
            ask: waiting.ask.ask,
        };
        self.places.remove(&key);
        self.leave(place, &waiting);
        Some(waiting)
    }

    fn enter(&mut self, place: QueuePosition, waiting: &QueuedRequest) {
        let turn = Turn {
            deadline: waiting.deadline,
            place,
        };
        self.classes[waiting.rank as usize]
            .entry(waiting.ask.workspace.clone())
            .or_default()
            .insert(turn);
        self.lengths[waiting.rank as usize] += 1;
    }

    fn leave(&mut self, place: QueuePosition, waiting: &QueuedRequest) {
        let turn = Turn {
            deadline: waiting.deadline,
            place,
        };
        let class = &mut self.classes[waiting.rank as usize];
        if let Some(turns) = class.get_mut(&waiting.ask.workspace) {
            turns.remove(&turn);
            if turns.is_empty() {
                class.remove(&waiting.ask.workspace);
            }
        }
        self.lengths[waiting.rank as usize] -= 1;
    }
}
