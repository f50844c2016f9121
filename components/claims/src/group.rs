//! Group commit: writes that arrive while others are in flight are committed together.

use std::{collections::HashSet, sync::Arc};

use parking_lot::Mutex;
use smol::channel::{Sender, bounded};
use stores::{PlatformError, RowKey, Table, Write};

/// Most writes in one commit.
pub const MAX_GROUP_WRITES: usize = 25;
/// Most commits in flight at once.
const MAX_IN_FLIGHT: usize = 4;

/// Commits single writes of many requests in groups.
///
/// A write that finds a free slot is committed at once, so a lone request does not wait; under load
/// all slots are in use and writes accumulate. Failures are kept apart: the writes of a group that
/// fails a condition are committed again one by one.
pub struct GroupCommitter {
    table: Arc<dyn Table>,
    queue: Mutex<Queue>,
}

#[derive(Default)]
struct Queue {
    waiting: Vec<PendingWrite>,
    in_flight: usize,
}

struct PendingWrite {
    write: Write,
    reply: Sender<Result<(), PlatformError>>,
}

impl GroupCommitter {
    /// Creates a committer for `table`.
    #[must_use]
    pub fn new(table: Arc<dyn Table>) -> Arc<Self> {
        Arc::new(Self {
            table,
            queue: Mutex::default(),
        })
    }

    /// Commits one write, possibly together with others.
    ///
    /// # Errors
    /// As returned by the table service for this write.
    pub async fn commit(self: &Arc<Self>, write: Write) -> Result<(), PlatformError> {
        let (reply, rx) = bounded(1);
        let has_free_slot = {
            let mut queue = self.queue.lock();
            queue.waiting.push(PendingWrite { write, reply });
            let has_free_slot = queue.in_flight < MAX_IN_FLIGHT;
            queue.in_flight += usize::from(has_free_slot);
            has_free_slot
        };
        if has_free_slot {
            workers::spawn(Arc::clone(self).drain()).detach();
        }
        rx.recv().await.unwrap_or_else(|_| {
            Err(PlatformError::Unknown {
                reason: "the commit was dropped".into(),
            })
        })
    }

    /// Commits one group after the other until the queue is empty.
    async fn drain(self: Arc<Self>) {
        loop {
            let group = {
                let mut queue = self.queue.lock();
                let group = next_group(&mut queue.waiting);
                if group.is_empty() {
                    queue.in_flight -= 1;
                    return;
                }
                group
            };
            self.commit_group(group).await;
        }
    }

    async fn commit_group(&self, group: Vec<PendingWrite>) {
        let writes: Vec<Write> = group.iter().map(|i| i.write.clone()).collect();
        let result = self.table.commit(&writes).await;
        if result == Err(PlatformError::Conflict) && group.len() > 1 {
            for item in group {
                let result = self.table.commit(std::slice::from_ref(&item.write)).await;
                reply(&item, result);
            }
            return;
        }
        for item in &group {
            reply(item, result.clone());
        }
    }
}

fn reply(item: &PendingWrite, result: Result<(), PlatformError>) {
    // The channel has room for the one answer; the receiver may have been dropped.
    let _ = item.reply.try_send(result);
}

/// Removes the first writes from the queue, no two of them for the same row, since the table
/// service rejects such a commit.
fn next_group(waiting: &mut Vec<PendingWrite>) -> Vec<PendingWrite> {
    let mut rows: HashSet<RowKey> = HashSet::new();
    let mut group = Vec::new();
    let mut rest = Vec::new();
    for item in waiting.drain(..) {
        if group.len() < MAX_GROUP_WRITES && rows.insert(key(&item.write).clone()) {
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
