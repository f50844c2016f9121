//! Makes claims in the table service and writes their outcomes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use stores::{PlatformError, Row, RowKey, Table, Write};
use timer::Timer;
use types::{Incarnation, InstanceId};

use crate::{
    api::{ClaimError, ClaimOutcome, KeyedCall},
    finalize::finalize,
    group::GroupCommitter,
    liveness::Liveness,
    open::{MAX_OPEN_TIME, OpenClaim, OpenClaims},
    row::{ClaimRow, ClaimState, row_key},
    sweep::ExpirySweep,
};

/// First pause between two polls for the outcome of another claimant; it doubles each time.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two polls.
const MAX_POLL_PAUSE: Duration = Duration::from_millis(500);
/// Rejected attempts to write a claim after which the table service counts as unavailable.
const MAX_REJECTED_ATTEMPTS: usize = 3;
/// Attempts, at least one with a lost answer, after which resolving the claim is left to the
/// background task.
const MAX_LOST_ATTEMPTS: usize = 3;
/// Time after which no further attempt to write a claim is made, because the caller waits.
const CLAIM_WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Time between two rounds of the background task.
const FINALIZE_PERIOD: Duration = Duration::from_millis(250);

/// Makes and finishes the claims of one instance.
///
/// Locks: `open` is held for short sections only and never across an await.
pub struct ClaimManager {
    me: InstanceId,
    incarnation: Incarnation,
    table: Arc<dyn Table>,
    group: Arc<GroupCommitter>,
    liveness: Arc<dyn Liveness>,
    timer: Timer,
    open: Mutex<OpenClaims>,
    claim_counter: AtomicU64,
}

/// Result of writing a claim.
enum WriteOutcome {
    /// The claim is in the table.
    Written,
    /// The table has the row of another claim.
    Taken,
    /// The table service rejected every attempt; nothing was written.
    Unavailable,
    /// An answer was lost and the result could not be determined: the claim may take effect now or
    /// later.
    Unresolved,
}

/// Status of a key.
enum KeyStatus {
    /// The key is free. A claim is written conditionally on version `base` of the row; 0 if there
    /// is no row.
    Free { base: u64 },
    /// The call has a final outcome.
    Resolved(ClaimOutcome),
    /// The call is running.
    Running,
}

impl ClaimManager {
    /// Creates the manager for one incarnation of an instance.
    #[must_use]
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        table: Arc<dyn Table>,
        liveness: Arc<dyn Liveness>,
        timer: Timer,
    ) -> Self {
        Self {
            me,
            incarnation,
            group: GroupCommitter::new(Arc::clone(&table)),
            table,
            liveness,
            timer,
            open: Mutex::default(),
            claim_counter: AtomicU64::new(0),
        }
    }

    /// Finalizes claims that the table service has not accepted yet and deletes expired claims, for
    /// as long as the process runs.
    pub async fn run(&self) {
        let mut sweep = ExpirySweep::new(&self.me, Arc::clone(&self.table));
        loop {
            self.timer.sleep(FINALIZE_PERIOD).await;
            self.abandon_overdue();
            self.finalize_pending().await;
            sweep.step(self.timer.now()).await;
        }
    }

    /// Waits up to `timeout` until all claims are finalized; returns how many are not.
    pub async fn drain(&self, timeout: Duration) -> usize {
        let deadline = self.timer.now() + timeout;
        loop {
            let (_, pending, _) = self.counts();
            if pending == 0 || self.timer.now() >= deadline {
                return pending;
            }
            self.finalize_pending().await;
            self.timer.sleep(RETRY_PAUSE).await;
        }
    }

    fn abandon_overdue(&self) {
        let mut open = self.open.lock();
        for key in open.overdue(self.timer.now(), MAX_OPEN_TIME) {
            open.finish(&key, ClaimState::Unknown);
        }
    }

    async fn finalize_pending(&self) {
        let pending = self.open.lock().pending();
        for open in pending {
            match finalize(&*self.table, &self.group, &open).await {
                Ok(()) => self.open.lock().remove_finalized(&open),
                // The next write would fail as well; the next round tries again.
                Err(
                    PlatformError::Busy { .. }
                    | PlatformError::Unavailable { .. }
                    | PlatformError::Unknown { .. },
                ) => return,
                Err(_) => {}
            }
        }
    }

    fn new_row(&self, call: &KeyedCall) -> ClaimRow {
        let count = self.claim_counter.fetch_add(1, Ordering::Relaxed);
        ClaimRow {
            id: format!("{}-{:x}-{count}", self.me, self.incarnation).into(),
            digest: Arc::clone(&call.digest),
            instance: Arc::clone(&self.me),
            incarnation: self.incarnation,
            written_at: 0,
            state: ClaimState::Claimed,
        }
    }

    /// Claims a key, or returns the outcome of an earlier call.
    ///
    /// # Errors
    /// Why neither was possible; the call was not sent on behalf of this request.
    pub async fn claim(
        &self,
        call: &KeyedCall,
        timeout: Duration,
    ) -> Result<ClaimOutcome, ClaimError> {
        let deadline = self.timer.now() + timeout;
        let key = row_key(call);
        let mut pause = POLL_PAUSE;
        // Most keys are new, so the first attempt writes without reading the row.
        let mut status = self
            .local_status(call, &key)?
            .unwrap_or(KeyStatus::Free { base: 0 });
        loop {
            match status {
                KeyStatus::Resolved(outcome) => return Ok(outcome),
                KeyStatus::Free { base } => {
                    if self.claim_free(call, &key, base).await? {
                        return Ok(ClaimOutcome::Acquired);
                    }
                }
                KeyStatus::Running => {
                    if self.timer.now() >= deadline {
                        return Err(ClaimError::StillRunning);
                    }
                    let left = deadline.saturating_sub(self.timer.now());
                    self.timer.sleep(pause.min(left)).await;
                    pause = (pause * 2).min(MAX_POLL_PAUSE);
                }
            }
            status = self.read_status(call, &key).await?;
        }
    }

    /// Claims a free key; returns whether this request owns the claim.
    async fn claim_free(
        &self,
        call: &KeyedCall,
        key: &RowKey,
        base: u64,
    ) -> Result<bool, ClaimError> {
        if self.open.lock().is_full() {
            return Err(ClaimError::StoreUnavailable);
        }
        let open = OpenClaim {
            key: key.clone(),
            row: self.new_row(call),
            base,
            since: self.timer.now(),
        };
        match self.try_claim(&open).await {
            WriteOutcome::Written => {
                self.open.lock().insert_running(open);
                Ok(true)
            }
            WriteOutcome::Taken => Ok(false),
            WriteOutcome::Unavailable => Err(ClaimError::StoreUnavailable),
            WriteOutcome::Unresolved => {
                // The claim may take effect now or later, and no request would run its call. It
                // must be released, or retries of the key would wait for an outcome that never
                // comes.
                let row = open.row.with_state(ClaimState::Released);
                self.open.lock().add_pending(OpenClaim { row, ..open });
                Err(ClaimError::StoreUnavailable)
            }
        }
    }

    /// Writes a claim. A lost answer is resolved by repeating the same write: its condition lets at
    /// most one of the two take effect, and the id in the row shows whose claim it is.
    async fn try_claim(&self, open: &OpenClaim) -> WriteOutcome {
        let deadline = self.timer.now() + CLAIM_WRITE_TIMEOUT;
        let mut lost_attempts = 0;
        let mut rejected_attempts = 0;
        loop {
            match self.group.commit(claim_write(open)).await {
                Ok(()) => return WriteOutcome::Written,
                Err(PlatformError::Conflict) => match self.table.read(&open.key).await {
                    Ok(row) if is_same_claim(row.as_ref(), open) => return WriteOutcome::Written,
                    Ok(_) => return WriteOutcome::Taken,
                    Err(_) if lost_attempts == 0 => return WriteOutcome::Unavailable,
                    Err(_) => return WriteOutcome::Unresolved,
                },
                Err(PlatformError::Busy { .. } | PlatformError::Unavailable { .. }) => {
                    rejected_attempts += 1
                }
                Err(PlatformError::Unknown { .. } | PlatformError::Malformed { .. }) => {
                    lost_attempts += 1
                }
            }
            let is_late = self.timer.now() >= deadline;
            if lost_attempts > 0
                && (is_late || lost_attempts + rejected_attempts >= MAX_LOST_ATTEMPTS)
            {
                return WriteOutcome::Unresolved;
            }
            if lost_attempts == 0 && (is_late || rejected_attempts >= MAX_REJECTED_ATTEMPTS) {
                return WriteOutcome::Unavailable;
            }
            self.timer.sleep(RETRY_PAUSE).await;
        }
    }

    /// Status of a key as far as this instance knows it without reading the table.
    fn local_status(
        &self,
        call: &KeyedCall,
        key: &RowKey,
    ) -> Result<Option<KeyStatus>, ClaimError> {
        let open = self.open.lock();
        let running = open.running(key).map(|open| &open.row);
        let Some(row) = running.or_else(|| open.outcome(key)) else {
            return Ok(None);
        };
        if row.digest != call.digest {
            return Err(ClaimError::OtherCall);
        }
        Ok(Some(match &row.state {
            ClaimState::Done(answer) => {
                KeyStatus::Resolved(ClaimOutcome::Completed(answer.clone()))
            }
            _ => KeyStatus::Running,
        }))
    }

    async fn read_status(&self, call: &KeyedCall, key: &RowKey) -> Result<KeyStatus, ClaimError> {
        if let Some(status) = self.local_status(call, key)? {
            return Ok(status);
        }
        let unavailable = |_| ClaimError::StoreUnavailable;
        let Some(row) = self.table.read(key).await.map_err(unavailable)? else {
            return Ok(KeyStatus::Free { base: 0 });
        };
        let found = ClaimRow::read(&row).map_err(unavailable)?;
        if found.digest != call.digest {
            return Err(ClaimError::OtherCall);
        }
        match found.state {
            ClaimState::Done(answer) => Ok(KeyStatus::Resolved(ClaimOutcome::Completed(answer))),
            ClaimState::Unknown => Ok(KeyStatus::Resolved(ClaimOutcome::Unknown)),
            ClaimState::Released => Ok(KeyStatus::Free { base: row.version }),
            ClaimState::Claimed => self.check_claimant(&row, &found).await,
        }
    }

    /// Checks whether the claimant has ended. If so, the call may or may not have run, and the row
    /// is marked as unknown so that all retries get the same answer. If the claimant turns out to
    /// be alive, it may still replace the mark by the true outcome, since no other request runs the
    /// call.
    async fn check_claimant(&self, row: &Row, found: &ClaimRow) -> Result<KeyStatus, ClaimError> {
        let is_earlier_incarnation =
            found.instance == self.me && found.incarnation < self.incarnation;
        let has_ended =
            is_earlier_incarnation || self.liveness.has_ended(&found.instance, found.incarnation);
        if !has_ended {
            return Ok(KeyStatus::Running);
        }
        let write = Write::Replace {
            key: row.key.clone(),
            version: row.version,
            body: found.with_state(ClaimState::Unknown).body(),
        };
        match self.group.commit(write).await {
            Ok(()) => Ok(KeyStatus::Resolved(ClaimOutcome::Unknown)),
            // The row was changed in the meantime; the next poll reads its new state.
            Err(PlatformError::Conflict) => Ok(KeyStatus::Running),
            Err(_) => Err(ClaimError::StoreUnavailable),
        }
    }

    /// Finishes a claim: one write now; if that fails, the background task retries it.
    pub async fn finish(&self, call: &KeyedCall, state: ClaimState) {
        let key = row_key(call);
        let Some(open) = self.open.lock().finish(&key, state) else {
            return;
        };
        let write = Write::Replace {
            key,
            version: open.base.saturating_add(1),
            body: open.row.body(),
        };
        if self.group.commit(write).await.is_ok() {
            self.open.lock().remove_finalized(&open);
        }
    }

    /// Number of running claims, number of pending claims, and bytes of pending answers.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        self.open.lock().counts()
    }
}

fn claim_write(open: &OpenClaim) -> Write {
    let key = open.key.clone();
    let body = open.row.body();
    match open.base {
        0 => Write::Insert { key, body },
        version => Write::Replace { key, version, body },
    }
}

fn is_same_claim(row: Option<&Row>, open: &OpenClaim) -> bool {
    let found = row.and_then(|row| ClaimRow::read(row).ok());
    found.is_some_and(|found| found.id == open.row.id)
}
