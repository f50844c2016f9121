//! A table in memory for tests, with the faults of the real one on command.

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

/// What happens to a coming commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing out of the ordinary.
    None,
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// It is lost on the way, and so is its answer.
    CommitLost,
    /// Its answer is lost; it takes effect only at
    /// [`MemoryTable::apply_late_commits`], if its conditions hold then.
    Late,
    /// The service refuses it because it is busy.
    Throttled,
}

/// A table in memory.
#[derive(Default)]
pub struct MemoryTable {
    timer: Timer,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowKey, Row>,
    faults: VecDeque<Fault>,
    late: VecDeque<Vec<Write>>,
    down: bool,
    delay: Duration,
    commits: usize,
    reads: usize,
}

impl MemoryTable {
    /// An empty table that works.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the table down, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Delays each call.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().delay = delay;
    }

    /// Decides what happens to the coming commits, in order.
    pub fn add_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().faults.extend(faults);
    }

    /// Forgets the faults decided for coming commits; late commits stay under way.
    pub fn clear_faults(&self) {
        self.state.lock().faults.clear();
    }

    /// Lets all late commits take effect whose conditions hold; tells how many did.
    pub fn apply_late_commits(&self) -> usize {
        let mut state = self.state.lock();
        let late = std::mem::take(&mut state.late);
        late.into_iter()
            .filter(|writes| state.apply(writes).is_ok())
            .count()
    }

    /// All rows, in order.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        self.state.lock().rows.values().cloned().collect()
    }

    /// Commits that reached the table so far, whatever became of them.
    #[must_use]
    pub fn commits(&self) -> usize {
        self.state.lock().commits
    }

    /// Reads and lists that reached the table so far.
    #[must_use]
    pub fn reads(&self) -> usize {
        self.state.lock().reads
    }

    async fn arrive(&self) -> Result<(), PlatformError> {
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
        if !writes.iter().all(|write| self.holds(write)) {
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

    fn holds(&self, write: &Write) -> bool {
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

fn lost() -> PlatformError {
    PlatformError::Unknown {
        reason: "the answer was lost".into(),
    }
}

#[async_trait]
impl Table for MemoryTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.arrive().await?;
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
        self.arrive().await?;
        let mut state = self.state.lock();
        state.reads += 1;
        let from = Bound::Excluded(RowKey::new(partition, after));
        let rows = state.rows.range((from, Bound::Unbounded));
        let rows = rows.take_while(|(key, _)| &*key.partition == partition);
        Ok(rows.take(limit).map(|(_, row)| row.clone()).collect())
    }

    async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError> {
        self.arrive().await?;
        let mut state = self.state.lock();
        state.commits += 1;
        match state.faults.pop_front().unwrap_or(Fault::None) {
            Fault::None => state.apply(writes),
            Fault::AnswerLost => {
                // Whether its conditions held stays unknown to the caller.
                let _ = state.apply(writes);
                Err(lost())
            }
            Fault::CommitLost => Err(lost()),
            Fault::Late => {
                state.late.push_back(writes.to_vec());
                Err(lost())
            }
            Fault::Throttled => Err(PlatformError::Busy {
                reason: "throttled".into(),
            }),
        }
    }
}
