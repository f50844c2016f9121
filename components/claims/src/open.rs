//! Claims of this instance that are not finalized in the table service yet.

use std::{collections::HashMap, time::Duration};

use stores::RowKey;
use types::Moment;

use crate::row::{ClaimRow, ClaimState};

/// Most claims whose outcome the table service has not accepted yet. Beyond this, no further keys
/// are claimed: a claim that had to be dropped would block its key.
pub const MAX_PENDING_CLAIMS: usize = 20_000;
/// Most bytes of answers retained while the table service does not accept them.
pub const MAX_PENDING_BYTES: usize = 16 * 1024 * 1024;
/// Longest time that a claim may be running; it exceeds the duration of any request, so an older
/// claim has been lost track of.
pub const MAX_OPEN_TIME: Duration = Duration::from_secs(2 * 3600);

/// A claim of this instance that is not finalized yet.
#[derive(Clone, Debug)]
pub struct OpenClaim {
    /// Key of the claim's row.
    pub key: RowKey,
    /// The row as it should be in the table.
    pub row: ClaimRow,
    /// The row version that the write of the claim is conditional on; 0 if there was no row.
    pub base: u64,
    /// When the claim was made.
    pub since: Moment,
}

/// Claims of this instance by the key of their row.
#[derive(Default)]
pub struct OpenClaims {
    running: HashMap<RowKey, OpenClaim>,
    /// A key may have an abandoned claim and a later one at the same time.
    pending: HashMap<RowKey, Vec<OpenClaim>>,
    pending_count: usize,
    pending_bytes: usize,
}

impl OpenClaims {
    /// Adds a claim whose call this instance runs.
    pub fn insert_running(&mut self, open: OpenClaim) {
        self.running.insert(open.key.clone(), open);
    }

    /// The running claim with this key.
    #[must_use]
    pub fn running(&self, key: &RowKey) -> Option<&OpenClaim> {
        self.running.get(key)
    }

    /// Moves a running claim to the pending ones with its outcome; `None` if there is no running
    /// claim with this key.
    pub fn finish(&mut self, key: &RowKey, state: ClaimState) -> Option<OpenClaim> {
        let mut open = self.running.remove(key)?;
        open.row.state = state;
        self.add_pending(open.clone());
        Some(open)
    }

    /// Adds a claim that has to be finalized. Its answer is dropped if the pending answers exceed
    /// `MAX_PENDING_BYTES`.
    pub fn add_pending(&mut self, mut open: OpenClaim) {
        let size = answer_size(&open.row.state);
        if self.pending_bytes + size > MAX_PENDING_BYTES {
            open.row.state = crate::answer::without_body(&open.row.state);
        }
        self.pending_bytes += answer_size(&open.row.state);
        self.pending_count += 1;
        self.pending.entry(open.key.clone()).or_default().push(open);
    }

    /// Removes a claim that has been finalized.
    pub fn remove_finalized(&mut self, finalized: &OpenClaim) {
        let Some(list) = self.pending.get_mut(&finalized.key) else {
            return;
        };
        let Some(position) = list.iter().position(|open| open.row.id == finalized.row.id) else {
            return;
        };
        let open = list.remove(position);
        if list.is_empty() {
            self.pending.remove(&finalized.key);
        }
        self.pending_count -= 1;
        self.pending_bytes -= answer_size(&open.row.state);
    }

    /// The answered call with this key whose outcome the table service has not accepted yet.
    #[must_use]
    pub fn outcome(&self, key: &RowKey) -> Option<&ClaimRow> {
        let at_key = self.pending.get(key)?.iter();
        let mut done = at_key.filter(|open| matches!(open.row.state, ClaimState::Done(_)));
        done.next().map(|open| &open.row)
    }

    /// All claims that have to be finalized.
    #[must_use]
    pub fn pending(&self) -> Vec<OpenClaim> {
        self.pending.values().flatten().cloned().collect()
    }

    /// Keys of running claims older than `limit`.
    #[must_use]
    pub fn overdue(&self, now: Moment, limit: Duration) -> Vec<RowKey> {
        let old = |open: &&OpenClaim| now.saturating_sub(open.since) > limit;
        let all = self.running.values();
        all.filter(old).map(|open| open.key.clone()).collect()
    }

    /// Whether no further claim may be made.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.pending_count >= MAX_PENDING_CLAIMS
    }

    /// Number of running claims, number of pending claims, and bytes of pending answers.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.running.len(), self.pending_count, self.pending_bytes)
    }
}

fn answer_size(state: &ClaimState) -> usize {
    match state {
        ClaimState::Done(answer) => answer.body.len(),
        _ => 0,
    }
}
