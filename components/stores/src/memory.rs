//! An in-memory table for tests that can inject the faults of the table service.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
    sync::Arc,
    time::Duration,
};

use async_trait::async_trait;
use parking_lot::Mutex;
use timer::Timer;

use crate::api::{PlatformError, Row, RowKey, Table, Write};

/// What happens to an upcoming commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The commit succeeds if its conditions hold.
    None,
    /// The commit takes effect, and its answer is lost.
    AnswerLost,
    /// The commit does not reach the table, and the caller gets no answer.
    CommitLost,
    /// The answer is lost, and the commit takes effect only when
    /// [`MemoryTable::apply_late_commits`] is called, if its conditions hold then.
    Late,
    /// The service rejects the commit because it is busy.
    Throttled,
}

/// An in-memory table.
#[derive(Default)]
pub struct MemoryTable {
    timer: Timer,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowKey, Row>,
    faults: VecDeque<Fault>,
    late_commits: VecDeque<Vec<Write>>,
    down: bool,
    delay: Duration,
    commits: usize,
    reads: usize,
}

impl MemoryTable {
    /// Creates an empty table without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes all calls fail, or succeed again.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Delays each call.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    /// Sets what happens to the upcoming commits, in order.
    pub fn add_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().faults.extend(faults);
    }

    /// Removes the faults set for upcoming commits. Late commits stay pending.
    pub fn clear_faults(&self) {
        self.state.lock().faults.clear();
    }

    /// Applies the pending late commits whose conditions hold. Returns how many those were.
    pub fn apply_late_commits(&self) -> usize {
        let mut state = self.state.lock();
        let late_commits = std::mem::take(&mut state.late_commits);
        late_commits
            .into_iter()
            .filter(|writes| state.apply(writes).is_ok())
            .count()
    }

    /// Returns all rows in the order of their keys.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        self.state.lock().rows.values().cloned().collect()
    }

    /// Number of commits that reached the table so far, whatever their result.
    #[must_use]
    pub fn commits(&self) -> usize {
        self.state.lock().commits
    }

    /// Number of reads and lists that reached the table so far.
    #[must_use]
    pub fn reads(&self) -> usize {
        self.state.lock().reads
    }

    /// Waits for the delay that was set; fails if the table is down.
    async fn begin_call(&self) -> Result<(), PlatformError> {
        let (down, delay) = {
            let state = self.state.lock();
            (state.down, state.delay)
        };
        if !delay.is_zero() {
            self.timer.sleep(delay).await;
        }
        if down {
            return Err(PlatformError::Unavailable {
                reason: "the table is down".into(),
            });
        }
        Ok(())
    }
}

impl State {
    fn apply(&mut self, writes: &[Write]) -> Result<(), PlatformError> {
        if !writes.iter().all(|write| self.condition_holds(write)) {
            return Err(PlatformError::Conflict);
        }
        for write in writes {
            match write {
                Write::Insert { key, body } => self.put(key, 1, body),
                Write::Replace { key, version, body } => {
                    self.put(key, version.saturating_add(1), body)
                }
                Write::Delete { key, .. } => {
                    self.rows.remove(key);
                }
            }
        }
        Ok(())
    }

    fn condition_holds(&self, write: &Write) -> bool {
        match write {
            Write::Insert { key, .. } => !self.rows.contains_key(key),
            Write::Replace { key, version, .. } | Write::Delete { key, version } => {
                self.rows.get(key).is_some_and(|r| r.version == *version)
            }
        }
    }

    fn put(&mut self, key: &RowKey, version: u64, body: &Arc<str>) {
        let row = Row {
            key: key.clone(),
            version,
            body: Arc::clone(body),
        };
        self.rows.insert(key.clone(), row);
    }
}

fn answer_lost() -> PlatformError {
    PlatformError::Unknown {
        reason: "the answer was lost".into(),
    }
}

#[async_trait]
impl Table for MemoryTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.begin_call().await?;
        let mut state = self.state.lock();
        state.reads += 1;
        Ok(state.rows.get(key).cloned())
    }

    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.begin_call().await?;
        let mut state = self.state.lock();
        state.reads += 1;
        let from = Bound::Excluded(RowKey::new(partition, after));
        let rows = state.rows.range((from, Bound::Unbounded));
        let rows = rows.take_while(|(key, _)| &*key.partition == partition);
        Ok(rows.take(limit).map(|(_, row)| row.clone()).collect())
    }

    async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError> {
        self.begin_call().await?;
        let mut state = self.state.lock();
        state.commits += 1;
        match state.faults.pop_front().unwrap_or(Fault::None) {
            Fault::None => state.apply(writes),
            Fault::AnswerLost => {
                // The caller does not learn whether the conditions held.
                let _ = state.apply(writes);
                Err(answer_lost())
            }
            Fault::CommitLost => Err(answer_lost()),
            Fault::Late => {
                state.late_commits.push_back(writes.to_vec());
                Err(answer_lost())
            }
            Fault::Throttled => Err(PlatformError::Busy {
                reason: "throttled".into(),
            }),
        }
    }
}
