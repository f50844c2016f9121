//! Group commit: writes that come while others are under way go together.

use std::{collections::HashSet, sync::Arc};

use parking_lot::Mutex;
use smol::channel::{Sender, bounded};
use stores::{PlatformError, RowKey, Table, Write};

/// Most writes in one commit.
pub const GROUP_LIMIT: usize = 25;
/// Commits under way at once.
const IN_FLIGHT: usize = 4;

/// Commits single writes of many requests in groups.
///
/// A write that finds a free slot is sent at once, so a lone request waits for nobody; under load
/// the slots are taken and writes gather. Fates stay apart: a group that fails a condition is
/// committed again one by one.
pub struct Group {
    table: Arc<dyn Table>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    waiting: Vec<Item>,
    in_flight: usize,
}

struct Item {
    write: Write,
    answer: Sender<Result<(), PlatformError>>,
}

impl Group {
    /// Commits to this table.
    #[must_use]
    pub fn new(table: Arc<dyn Table>) -> Arc<Self> {
        Arc::new(Self {
            table,
            state: Mutex::default(),
        })
    }

    /// Commits one write, perhaps together with others.
    ///
    /// # Errors
    /// As the table service tells it for this write.
    pub async fn commit(self: &Arc<Self>, write: Write) -> Result<(), PlatformError> {
        let (answer, rx) = bounded(1);
        let start = {
            let mut state = self.state.lock();
            state.waiting.push(Item { write, answer });
            let free = state.in_flight < IN_FLIGHT;
            state.in_flight += usize::from(free);
            free
        };
        if start {
            workers::spawn(Arc::clone(self).drain()).detach();
        }
        rx.recv().await.unwrap_or_else(|_| {
            Err(PlatformError::Unknown {
                reason: "the commit was dropped".into(),
            })
        })
    }

    /// Commits group after group until none waits.
    async fn drain(self: Arc<Self>) {
        loop {
            let group = {
                let mut state = self.state.lock();
                let group = take_group(&mut state.waiting);
                if group.is_empty() {
                    state.in_flight -= 1;
                    return;
                }
                group
            };
            self.commit_group(group).await;
        }
    }

    async fn commit_group(&self, group: Vec<Item>) {
        let writes: Vec<Write> = group.iter().map(|i| i.write.clone()).collect();
        let result = self.table.commit(&writes).await;
        if result == Err(PlatformError::Conflict) && group.len() > 1 {
            for item in group {
                let result = self.table.commit(std::slice::from_ref(&item.write)).await;
                answer(&item, result);
            }
            return;
        }
        for item in &group {
            answer(item, result.clone());
        }
    }
}

fn answer(item: &Item, result: Result<(), PlatformError>) {
    // Whoever asked may have gone away; there is room for one answer.
    let _ = item.answer.try_send(result);
}

/// Takes the first writes, no two of them for one row: the service refuses such a commit.
fn take_group(waiting: &mut Vec<Item>) -> Vec<Item> {
    let mut rows: HashSet<RowKey> = HashSet::new();
    let mut group = Vec::new();
    let mut rest = Vec::new();
    for item in waiting.drain(..) {
        if group.len() < GROUP_LIMIT && rows.insert(key(&item.write).clone()) {
            group.push(item);
        } else {
            rest.push(item);
        }
    }
    *waiting = rest;
    group
}

const fn key(write: &Write) -> &RowKey {
    match write {
        Write::Insert { key, .. } | Write::Replace { key, .. } | Write::Delete { key, .. } => key,
    }
}
