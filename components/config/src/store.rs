//! Reads the configuration from the table service and commits changes to it.

use std::sync::Arc;

use stores::{PlatformError, Row, Table, Write};
use types::ConfigVersion;

use crate::{
    api::HistoryEntry,
    cache::VersionedTree,
    rows::{
        CHANGE_PARTITION, Head, NODE_PARTITION, StoredNode, change_key, change_sort_key, decode,
        encode, head_key, node_key,
    },
};

/// Rows read in one page.
const PAGE_ROWS: usize = 500;

/// Accepted changes that the table service retains: a day and a half at 12,000 changes a day.
pub const RETAINED_HISTORY: ConfigVersion = 20_000;
/// Old changes deleted in one commit.
const PRUNE_ROWS: usize = 50;

/// The configuration in the table service.
pub struct Store {
    table: Arc<dyn Table>,
}

impl Store {
    /// Stores the configuration in `table`.
    #[must_use]
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Reads the newest version; 0 before the first change.
    ///
    /// # Errors
    /// Why the row can't be read.
    pub async fn read_head(&self) -> Result<Head, PlatformError> {
        match self.table.read(&head_key()).await? {
            Some(row) => decode(&row),
            None => Ok(Head::default()),
        }
    }

    /// Reads the accepted change that created a version.
    ///
    /// # Errors
    /// Why the row can't be read.
    pub async fn read_change(
        &self,
        version: ConfigVersion,
    ) -> Result<Option<HistoryEntry>, PlatformError> {
        let row = self.table.read(&change_key(version)).await?;
        row.as_ref().map(decode).transpose()
    }

    /// Reads accepted changes after a version, in order, at most `limit`.
    ///
    /// # Errors
    /// Why the rows can't be read.
    pub async fn read_changes(
        &self,
        after: ConfigVersion,
        limit: usize,
    ) -> Result<Vec<HistoryEntry>, PlatformError> {
        let after = change_sort_key(after);
        let rows = self.table.list(CHANGE_PARTITION, &after, limit).await?;
        rows.iter().map(decode).collect()
    }

    /// Reads the full tree at one version.
    ///
    /// Nodes are read in pages while changes may be committed, so the pages may mix versions. Each
    /// node read is at least as new as the head read before and at most as new as the head read
    /// after, and a change replaces its node as a whole. Applying the changes between the two heads
    /// therefore gives the tree at the second head.
    ///
    /// # Errors
    /// Why the rows can't be read.
    pub async fn read_tree(&self) -> Result<VersionedTree, PlatformError> {
        let before = self.read_head().await?;
        let mut tree = self.read_nodes().await?;
        let after = self.read_head().await?;
        for entry in self.changes_between(before.version, after.version).await? {
            tree.snapshot
                .write(&entry.change.path, entry.change.node.as_ref());
            tree.record_version(&entry);
        }
        tree.snapshot.version = after.version;
        Ok(tree)
    }

    async fn read_nodes(&self) -> Result<VersionedTree, PlatformError> {
        let mut tree = VersionedTree::default();
        let mut after: Arc<str> = "".into();
        loop {
            let rows = self.table.list(NODE_PARTITION, &after, PAGE_ROWS).await?;
            for row in &rows {
                let stored: StoredNode = decode(row)?;
                let path = &row.key.sort;
                tree.snapshot.nodes.insert(Arc::clone(path), stored.node);
                tree.node_versions.insert(Arc::clone(path), stored.version);
            }
            match rows.last() {
                Some(last) if rows.len() == PAGE_ROWS => after = Arc::clone(&last.key.sort),
                _ => return Ok(tree),
            }
        }
    }

    /// Reads all changes after one version up to another.
    async fn changes_between(
        &self,
        after: ConfigVersion,
        upto: ConfigVersion,
    ) -> Result<Vec<HistoryEntry>, PlatformError> {
        let mut all = Vec::new();
        let mut last = after;
        while last < upto {
            let page = self.read_changes(last, PAGE_ROWS).await?;
            let Some(newest) = page.last() else {
                return Err(PlatformError::Malformed {
                    reason: format!("no change row between version {last} and {upto}").into(),
                });
            };
            last = newest.version;
            all.extend(page.into_iter().filter(|e| e.version <= upto));
        }
        Ok(all)
    }

    /// Deletes one page of history beyond `RETAINED_HISTORY`.
    ///
    /// # Errors
    /// Why the rows can't be read or deleted.
    pub async fn prune(&self, newest: ConfigVersion) -> Result<(), PlatformError> {
        let Some(oldest) = newest.checked_sub(RETAINED_HISTORY) else {
            return Ok(());
        };
        let rows = self.table.list(CHANGE_PARTITION, "", PRUNE_ROWS).await?;
        let end = change_sort_key(oldest);
        let old = rows.into_iter().take_while(|row| *row.key.sort <= *end);
        let deletes: Vec<Write> = old
            .map(|row| Write::Delete {
                key: row.key,
                version: row.version,
            })
            .collect();
        if deletes.is_empty() {
            return Ok(());
        }
        self.table.commit(&deletes).await
    }

    /// Builds the writes that commit `entry` as the newest change.
    ///
    /// # Errors
    /// `Conflict` if its version already exists, otherwise why the rows can't be read.
    pub async fn prepare_writes(&self, entry: &HistoryEntry) -> Result<Vec<Write>, PlatformError> {
        let head = self.table.read(&head_key()).await?;
        let newest = match &head {
            Some(row) => decode::<Head>(row)?.version,
            None => 0,
        };
        if newest.checked_add(1) != Some(entry.version) {
            return Err(PlatformError::Conflict);
        }
        let key = node_key(&entry.change.path);
        let node = self.table.read(&key).await?;
        let mut writes = vec![
            head_write(head.as_ref(), entry)?,
            Write::Insert {
                key: change_key(entry.version),
                body: encode(entry)?,
            },
        ];
        writes.extend(node_write(node.as_ref(), entry)?);
        Ok(writes)
    }

    /// Commits writes to the table service.
    ///
    /// # Errors
    /// As returned by the table service.
    pub async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError> {
        self.table.commit(writes).await
    }
}

fn head_write(head: Option<&Row>, entry: &HistoryEntry) -> Result<Write, PlatformError> {
    let body = encode(&Head {
        version: entry.version,
        id: Arc::clone(&entry.id),
    })?;
    let key = head_key();
    Ok(match head {
        Some(row) => Write::Replace {
            key,
            version: row.version,
            body,
        },
        None => Write::Insert { key, body },
    })
}

fn node_write(row: Option<&Row>, entry: &HistoryEntry) -> Result<Option<Write>, PlatformError> {
    let key = node_key(&entry.change.path);
    let Some(node) = &entry.change.node else {
        return Ok(row.map(|row| Write::Delete {
            key,
            version: row.version,
        }));
    };
    let body = encode(&StoredNode {
        node: node.clone(),
        version: entry.version,
    })?;
    Ok(Some(match row {
        Some(row) => Write::Replace {
            key,
            version: row.version,
            body,
        },
        None => Write::Insert { key, body },
    }))
}
