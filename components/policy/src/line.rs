//! The order of asks that wait at an owner.

use std::collections::BTreeMap;

use types::{AskId, Class, InstanceId, Moment, WorkspaceId};
use wire::Ask;

/// An ask that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Who asks.
    pub entry: InstanceId,
    /// What it asks for.
    pub ask: Ask,
    /// When it came here.
    pub since: Moment,
    /// When the caller's patience ends, on this process's clock.
    pub deadline: Moment,
}

/// Place of a waiting ask: class, deadline, order of arrival.
pub type Place = (Class, Moment, u64);

/// Asks that wait for one shard.
#[derive(Debug, Default)]
pub struct Line {
    next: u64,
    waiting: BTreeMap<Place, Waiting>,
    served: BTreeMap<WorkspaceId, f64>,
}

impl Line {
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

    /// How many asks wait that go before a new one of this class.
    #[must_use]
    pub fn ahead(&self, class: Class) -> usize {
        self.waiting.keys().filter(|place| place.0 <= class).count()
    }

    /// Adds an ask; one with the same number of the same entry is replaced.
    pub fn push(&mut self, waiting: Waiting) {
        self.remove(&waiting.entry.clone(), waiting.ask.ask);
        let place = (waiting.ask.class, waiting.deadline, self.next);
        self.next += 1;
        self.waiting.insert(place, waiting);
    }

    /// Takes an ask out.
    pub fn remove(&mut self, entry: &InstanceId, ask: AskId) -> Option<Waiting> {
        let place = *self
            .waiting
            .iter()
            .find(|(_, w)| w.ask.ask == ask && w.entry == *entry)?
            .0;
        self.waiting.remove(&place)
    }

    /// Takes out all asks for which `gone` holds.
    pub fn drain_if(&mut self, mut gone: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let places: Vec<Place> = self
            .waiting
            .iter()
            .filter(|(_, w)| gone(w))
            .map(|(place, _)| *place)
            .collect();
        places
            .into_iter()
            .filter_map(|place| self.waiting.remove(&place))
            .collect()
    }

    /// Takes out the youngest background ask.
    pub fn displace(&mut self) -> Option<Waiting> {
        let place = *self
            .waiting
            .iter()
            .filter(|(place, _)| place.0 == Class::Background)
            .max_by_key(|(place, _)| place.2)?
            .0;
        self.waiting.remove(&place)
    }

    /// The places in the order in which they should be served.
    #[must_use]
    pub fn order(&self) -> Vec<Place> {
        self.waiting.keys().copied().collect()
    }

    /// The ask at a place.
    #[must_use]
    pub fn get(&self, place: &Place) -> Option<&Waiting> {
        self.waiting.get(place)
    }

    /// Takes the ask at a place out and charges its workspace with `tokens`.
    pub fn serve(&mut self, place: &Place, tokens: f64) -> Option<Waiting> {
        let waiting = self.waiting.remove(place)?;
        *self
            .served
            .entry(waiting.ask.workspace.clone())
            .or_default() += tokens;
        Some(waiting)
    }
}
