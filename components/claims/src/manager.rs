//! Making and ending claims in the table service.

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
    group::Group,
    liveness::Liveness,
    open::{OPEN_LIMIT, Open, OpenClaims},
    row::{ClaimRow, State, row_key},
    sweep::ExpirySweep,
};

/// First pause between two looks for another claimant's outcome; it doubles.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two looks.
const LOOK_PAUSE_LIMIT: Duration = Duration::from_millis(500);
/// Tries of a claim that the table service did not take, before it counts as down.
const DOWN_TRIES: usize = 3;
/// Tries of a claim whose answer was lost, before its settling is left to the background.
const LOST_TRIES: usize = 3;
/// Time after which no further try is made: the caller's patience is worth more.
const TRY_TIME: Duration = Duration::from_secs(4);
/// Pause between such tries.
const TRY_PAUSE: Duration = Duration::from_millis(30);
/// Time between two rounds of settling.
const SETTLE_PERIOD: Duration = Duration::from_millis(250);

/// Makes and ends the claims of one instance.
///
/// Locks: `open` is held shortly and never over an await.
pub struct ClaimManager {
    me: InstanceId,
    incarnation: Incarnation,
    table: Arc<dyn Table>,
    group: Arc<Group>,
    alive: Arc<dyn Liveness>,
    timer: Timer,
    open: Mutex<OpenClaims>,
    count: AtomicU64,
}

/// What a try to write a claim came to.
enum Tried {
    /// The claim stands, at this version of the row.
    Stands,
    /// Somebody else's row stands there.
    Taken,
    /// The table service took nothing.
    Down,
    /// The answer was lost and could not be settled: the claim may stand, now or later.
    Lost,
}

/// What a look at a claim's row says.
enum Look {
    /// Nobody has it; claim it by a write against this version, 0 for no row.
    Free { base: u64 },
    /// It has come to this.
    Ended(ClaimOutcome),
    /// Somebody runs it.
    Running,
}

impl ClaimManager {
    /// Makes the claims of one life of an instance.
    #[must_use]
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        table: Arc<dyn Table>,
        alive: Arc<dyn Liveness>,
        timer: Timer,
    ) -> Self {
        Self {
            me,
            incarnation,
            group: Group::new(Arc::clone(&table)),
            table,
            alive,
            timer,
            open: Mutex::default(),
            count: AtomicU64::new(0),
        }
    }

    /// Settles what the table service did not take at once, and deletes old claims, for as long
    /// as the process lives.
    pub async fn run(&self) {
        let mut sweep = ExpirySweep::new(&self.me, Arc::clone(&self.table));
        loop {
            self.timer.sleep(SETTLE_PERIOD).await;
            self.give_up_overdue();
            self.settle_pending().await;
            sweep.step(self.timer.now()).await;
        }
    }

    /// Waits until nothing is left to be settled, at most this long; tells how much is.
    pub async fn drain(&self, patience: Duration) -> usize {
        let end = self.timer.now() + patience;
        loop {
            let (_, pending, _) = self.counts();
            if pending == 0 || self.timer.now() >= end {
                return pending;
            }
            self.settle_pending().await;
            self.timer.sleep(TRY_PAUSE).await;
        }
    }

    fn give_up_overdue(&self) {
        let mut open = self.open.lock();
        for key in open.overdue(self.timer.now(), OPEN_LIMIT) {
            open.finish(&key, State::Unknown);
        }
    }

    async fn settle_pending(&self) {
        let pending = self.open.lock().pending();
        for open in pending {
            match finalize(&*self.table, &self.group, &open).await {
                Ok(()) => self.open.lock().settled(&open),
                // The next one would fail as well; the next round tries again.
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
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        ClaimRow {
            id: format!("{}-{:x}-{count}", self.me, self.incarnation).into(),
            digest: Arc::clone(&call.digest),
            instance: Arc::clone(&self.me),
            incarnation: self.incarnation,
            written_at: 0,
            state: State::Claimed,
        }
    }

    /// Claims a key, or finds what became of it.
    ///
    /// # Errors
    /// Tells why neither could be done; nothing was sent on behalf of this request.
    pub async fn make(
        &self,
        call: &KeyedCall,
        patience: Duration,
    ) -> Result<ClaimOutcome, ClaimError> {
        let end = self.timer.now() + patience;
        let key = row_key(call);
        let mut pause = LOOK_PAUSE;
        // Most keys are new, so the first try is a write and not a look.
        let mut look = self
            .look_here(call, &key)?
            .unwrap_or(Look::Free { base: 0 });
        loop {
            match look {
                Look::Ended(claimed) => return Ok(claimed),
                Look::Free { base } => {
                    if self.claim_free(call, &key, base).await? {
                        return Ok(ClaimOutcome::Acquired);
                    }
                }
                Look::Running => {
                    if self.timer.now() >= end {
                        return Err(ClaimError::StillRunning);
                    }
                    let left = end.saturating_sub(self.timer.now());
                    self.timer.sleep(pause.min(left)).await;
                    pause = (pause * 2).min(LOOK_PAUSE_LIMIT);
                }
            }
            look = self.look(call, &key).await?;
        }
    }

    /// Claims a free key; tells whether it is ours now.
    async fn claim_free(
        &self,
        call: &KeyedCall,
        key: &RowKey,
        base: u64,
    ) -> Result<bool, ClaimError> {
        if self.open.lock().is_full() {
            return Err(ClaimError::StoreUnavailable);
        }
        let open = Open {
            key: key.clone(),
            row: self.new_row(call),
            base,
            since: self.timer.now(),
        };
        match self.try_claim(&open).await {
            Tried::Stands => {
                self.open.lock().start(open);
                Ok(true)
            }
            Tried::Taken => Ok(false),
            Tried::Down => Err(ClaimError::StoreUnavailable),
            Tried::Lost => {
                // It may stand, now or later, and nobody will run it: it must be released, or
                // each repeat of the key would wait for an outcome that never comes.
                let row = open.row.with_state(State::Released);
                self.open.lock().add(Open { row, ..open });
                Err(ClaimError::StoreUnavailable)
            }
        }
    }

    /// Writes a claim. A lost answer is settled by writing the same again: its condition lets at
    /// most one of the two take effect, and the id in the row tells whose claim stands.
    async fn try_claim(&self, open: &Open) -> Tried {
        let end = self.timer.now() + TRY_TIME;
        let mut lost = 0;
        let mut down = 0;
        loop {
            match self.group.commit(claim_write(open)).await {
                Ok(()) => return Tried::Stands,
                Err(PlatformError::Conflict) => match self.table.read(&open.key).await {
                    Ok(row) if is_of(row.as_ref(), open) => return Tried::Stands,
                    Ok(_) => return Tried::Taken,
                    Err(_) if lost == 0 => return Tried::Down,
                    Err(_) => return Tried::Lost,
                },
                Err(PlatformError::Busy { .. } | PlatformError::Unavailable { .. }) => down += 1,
                Err(PlatformError::Unknown { .. } | PlatformError::Malformed { .. }) => lost += 1,
            }
            let late = self.timer.now() >= end;
            if lost > 0 && (late || lost + down >= LOST_TRIES) {
                return Tried::Lost;
            }
            if lost == 0 && (late || down >= DOWN_TRIES) {
                return Tried::Down;
            }
            self.timer.sleep(TRY_PAUSE).await;
        }
    }

    /// What this instance knows of a key without asking the table service.
    fn look_here(&self, call: &KeyedCall, key: &RowKey) -> Result<Option<Look>, ClaimError> {
        let open = self.open.lock();
        let running = open.running(key).map(|open| &open.row);
        let Some(row) = running.or_else(|| open.outcome(key)) else {
            return Ok(None);
        };
        if row.digest != call.digest {
            return Err(ClaimError::OtherCall);
        }
        Ok(Some(match &row.state {
            State::Done(answer) => Look::Ended(ClaimOutcome::Completed(answer.clone())),
            _ => Look::Running,
        }))
    }

    async fn look(&self, call: &KeyedCall, key: &RowKey) -> Result<Look, ClaimError> {
        if let Some(look) = self.look_here(call, key)? {
            return Ok(look);
        }
        let down = |_| ClaimError::StoreUnavailable;
        let Some(row) = self.table.read(key).await.map_err(down)? else {
            return Ok(Look::Free { base: 0 });
        };
        let found = ClaimRow::read(&row).map_err(down)?;
        if found.digest != call.digest {
            return Err(ClaimError::OtherCall);
        }
        match found.state {
            State::Done(answer) => Ok(Look::Ended(ClaimOutcome::Completed(answer))),
            State::Unknown => Ok(Look::Ended(ClaimOutcome::Unknown)),
            State::Released => Ok(Look::Free { base: row.version }),
            State::Claimed => self.look_at_claimant(&row, &found).await,
        }
    }

    /// A claimant that is gone leaves an outcome that nobody knows: the call may have run. The
    /// row is marked so that all repeats get the same answer. Should the claimant come back, it
    /// may still put the true outcome in place of the mark, since nobody else runs the call.
    async fn look_at_claimant(&self, row: &Row, found: &ClaimRow) -> Result<Look, ClaimError> {
        let earlier_life = found.instance == self.me && found.incarnation < self.incarnation;
        let gone = earlier_life || self.alive.has_ended(&found.instance, found.incarnation);
        if !gone {
            return Ok(Look::Running);
        }
        let write = Write::Replace {
            key: row.key.clone(),
            version: row.version,
            body: found.with_state(State::Unknown).body(),
        };
        match self.group.commit(write).await {
            Ok(()) => Ok(Look::Ended(ClaimOutcome::Unknown)),
            // Somebody was faster; the next look tells what it is now.
            Err(PlatformError::Conflict) => Ok(Look::Running),
            Err(_) => Err(ClaimError::StoreUnavailable),
        }
    }

    /// Ends a claim: one try now, the rest in the background.
    pub async fn end(&self, call: &KeyedCall, state: State) {
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
            self.open.lock().settled(&open);
        }
    }

    /// Counts of running and pending claims and bytes of pending answers.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        self.open.lock().counts()
    }
}

fn claim_write(open: &Open) -> Write {
    let key = open.key.clone();
    let body = open.row.body();
    match open.base {
        0 => Write::Insert { key, body },
        version => Write::Replace { key, version, body },
    }
}

fn is_of(row: Option<&Row>, open: &Open) -> bool {
    let found = row.and_then(|row| ClaimRow::read(row).ok());
    found.is_some_and(|found| found.id == open.row.id)
}
