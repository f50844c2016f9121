//! Claims of this instance that are not settled in the table service yet.

use std::{collections::HashMap, time::Duration};

use stores::RowKey;
use types::Moment;

use crate::row::{ClaimRow, State};

/// Claims with an outcome that the table service has not taken yet. Beyond this many, no further
/// keys are claimed: each one more would stay blocked if it were forgotten.
pub const PENDING_LIMIT: usize = 20_000;
/// Bytes of answers kept while the table service does not take them.
pub const PENDING_BYTES: usize = 16 * 1024 * 1024;
/// A claim open for longer than any request may take: whoever made it lost track of it.
pub const OPEN_LIMIT: Duration = Duration::from_secs(2 * 3600);

/// A claim of this instance.
#[derive(Clone, Debug)]
pub struct Open {
    /// Where it is kept.
    pub key: RowKey,
    /// As it should stand in the table service.
    pub row: ClaimRow,
    /// The version that the claiming write was made against; 0 if there was no row.
    pub base: u64,
    /// When it was made.
    pub since: Moment,
}

/// Claims of this instance by the place they are kept at.
#[derive(Default)]
pub struct OpenClaims {
    running: HashMap<RowKey, Open>,
    /// A key may have an abandoned claim and a later one at the same time.
    pending: HashMap<RowKey, Vec<Open>>,
    count: usize,
    bytes: usize,
}

impl OpenClaims {
    /// A claim that is this instance's to run.
    pub fn start(&mut self, open: Open) {
        self.running.insert(open.key.clone(), open);
    }

    /// The claim that runs at this place.
    #[must_use]
    pub fn running(&self, key: &RowKey) -> Option<&Open> {
        self.running.get(key)
    }

    /// Ends a running claim with an outcome, to be settled; `None` if none runs here.
    pub fn finish(&mut self, key: &RowKey, state: State) -> Option<Open> {
        let mut open = self.running.remove(key)?;
        open.row.state = state;
        self.add(open.clone());
        Some(open)
    }

    /// Takes in a claim that has to be settled.
    pub fn add(&mut self, mut open: Open) {
        let size = answer_size(&open.row.state);
        if self.bytes + size > PENDING_BYTES {
            open.row.state = crate::answer::without_body(&open.row.state);
        }
        self.bytes += answer_size(&open.row.state);
        self.count += 1;
        self.pending.entry(open.key.clone()).or_default().push(open);
    }

    /// The claim was settled.
    pub fn settled(&mut self, settled: &Open) {
        let Some(list) = self.pending.get_mut(&settled.key) else {
            return;
        };
        let Some(place) = list.iter().position(|open| open.row.id == settled.row.id) else {
            return;
        };
        let open = list.remove(place);
        if list.is_empty() {
            self.pending.remove(&settled.key);
        }
        self.count -= 1;
        self.bytes -= answer_size(&open.row.state);
    }

    /// The outcome of a call at this place that the table service has not taken yet.
    #[must_use]
    pub fn outcome(&self, key: &RowKey) -> Option<&ClaimRow> {
        let at_place = self.pending.get(key)?.iter();
        let mut done = at_place.filter(|open| matches!(open.row.state, State::Done(_)));
        done.next().map(|open| &open.row)
    }

    /// All that have to be settled.
    #[must_use]
    pub fn pending(&self) -> Vec<Open> {
        self.pending.values().flatten().cloned().collect()
    }

    /// Running claims older than `limit`.
    #[must_use]
    pub fn overdue(&self, now: Moment, limit: Duration) -> Vec<RowKey> {
        let old = |open: &&Open| now.saturating_sub(open.since) > limit;
        let all = self.running.values();
        all.filter(old).map(|open| open.key.clone()).collect()
    }

    /// Whether no further claim may be made.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.count >= PENDING_LIMIT
    }

    /// Counts of running and pending claims and bytes of pending answers.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.running.len(), self.count, self.bytes)
    }
}

fn answer_size(state: &State) -> usize {
    match state {
        State::Done(answer) => answer.body.len(),
        _ => 0,
    }
}
