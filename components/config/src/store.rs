//! Reading the configuration from the table service, and committing changes.

use std::sync::Arc;

use stores::{PlatformError, Row, Table, Write};
use types::ConfigVersion;

use crate::{
    api::HistoryEntry,
    cache::VersionedTree,
    rows::{
        CHANGES, Head, NODES, StoredNode, body, change_key, change_sort, head_key, node_key,
        read_body,
    },
};

/// Rows read at once.
const PAGE: usize = 500;

/// Accepted changes that the table service keeps: a day and a half at 12,000 changes a day.
pub const HISTORY_KEPT: ConfigVersion = 20_000;
/// Old changes deleted at once.
const PRUNE_PAGE: usize = 50;

/// The configuration in the table service.
pub struct Store {
    table: Arc<dyn Table>,
}

impl Store {
    /// Keeps the configuration in this table.
    #[must_use]
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// The newest version; 0 before the first change.
    ///
    /// # Errors
    /// Tells why it can't be read.
    pub async fn head(&self) -> Result<Head, PlatformError> {
        match self.table.read(&head_key()).await? {
            Some(row) => read_body(&row),
            None => Ok(Head::default()),
        }
    }

    /// The accepted change that made a version.
    ///
    /// # Errors
    /// Tells why it can't be read.
    pub async fn change(
        &self,
        version: ConfigVersion,
    ) -> Result<Option<HistoryEntry>, PlatformError> {
        let row = self.table.read(&change_key(version)).await?;
        row.as_ref().map(read_body).transpose()
    }

    /// Accepted changes after a version, in order, at most `limit`.
    ///
    /// # Errors
    /// Tells why they can't be read.
    pub async fn changes(
        &self,
        after: ConfigVersion,
        limit: usize,
    ) -> Result<Vec<HistoryEntry>, PlatformError> {
        let after = change_sort(after);
        let rows = self.table.list(CHANGES, &after, limit).await?;
        rows.iter().map(read_body).collect()
    }

    /// The whole tree at one version.
    ///
    /// The nodes are read in pages while changes may go on, so the pages may mix versions. Each
    /// node read is at least as new as the head read before and at most as new as the head read
    /// after, and changes write nodes whole: putting the changes between the two heads over it
    /// gives the tree at the second head.
    ///
    /// # Errors
    /// Tells why it can't be read.
    pub async fn whole(&self) -> Result<VersionedTree, PlatformError> {
        let before = self.head().await?;
        let mut whole = self.nodes().await?;
        let after = self.head().await?;
        for entry in self.between(before.version, after.version).await? {
            whole
                .snapshot
                .write(&entry.change.path, entry.change.node.as_ref());
            whole.note(&entry);
        }
        whole.snapshot.version = after.version;
        Ok(whole)
    }

    async fn nodes(&self) -> Result<VersionedTree, PlatformError> {
        let mut whole = VersionedTree::default();
        let mut after: Arc<str> = "".into();
        loop {
            let rows = self.table.list(NODES, &after, PAGE).await?;
            for row in &rows {
                let stored: StoredNode = read_body(row)?;
                let path = &row.key.sort;
                whole.snapshot.nodes.insert(Arc::clone(path), stored.node);
                whole.node_versions.insert(Arc::clone(path), stored.changed);
            }
            match rows.last() {
                Some(last) if rows.len() == PAGE => after = Arc::clone(&last.key.sort),
                _ => return Ok(whole),
            }
        }
    }

    /// All changes after one version up to another.
    async fn between(
        &self,
        after: ConfigVersion,
        upto: ConfigVersion,
    ) -> Result<Vec<HistoryEntry>, PlatformError> {
        let mut all = Vec::new();
        let mut last = after;
        while last < upto {
            let page = self.changes(last, PAGE).await?;
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

    /// Deletes some of the history that is older than what is kept.
    ///
    /// # Errors
    /// Tells why it can't be done now.
    pub async fn prune(&self, newest: ConfigVersion) -> Result<(), PlatformError> {
        let Some(oldest) = newest.checked_sub(HISTORY_KEPT) else {
            return Ok(());
        };
        let rows = self.table.list(CHANGES, "", PRUNE_PAGE).await?;
        let end = change_sort(oldest);
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

    /// The writes that make `entry` the newest change.
    ///
    /// # Errors
    /// `Conflict` if its version is taken already, otherwise why the rows can't be read.
    pub async fn writes(&self, entry: &HistoryEntry) -> Result<Vec<Write>, PlatformError> {
        let head = self.table.read(&head_key()).await?;
        let newest = match &head {
            Some(row) => read_body::<Head>(row)?.version,
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
                body: body(entry)?,
            },
        ];
        writes.extend(node_write(node.as_ref(), entry)?);
        Ok(writes)
    }

    /// Commits writes.
    ///
    /// # Errors
    /// As the table service tells it.
    pub async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError> {
        self.table.commit(writes).await
    }
}

fn head_write(head: Option<&Row>, entry: &HistoryEntry) -> Result<Write, PlatformError> {
    let body = body(&Head {
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
    let body = body(&StoredNode {
        node: node.clone(),
        changed: entry.version,
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
