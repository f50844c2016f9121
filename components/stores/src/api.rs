//! The platform's services as celerystand uses them: a table, an object store and a directory.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use types::Listing;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// A condition of the commit did not hold. Nothing was written.
    #[display("a condition of the commit did not hold; nothing was written")]
    Conflict,
    /// The platform responds but accepts no more calls at present. The call had no effect.
    #[display("the platform takes no more calls at present: {reason}")]
    Busy {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The platform could not be reached or rejected the call. The call had no effect and may be
    /// retried.
    #[display("the platform did not take the call: {reason}")]
    Unavailable {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The response was lost: a write may have taken effect.
    #[display("the platform's answer was lost: {reason}")]
    Unknown {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The response could not be decoded.
    #[display("the platform's answer is not understood: {reason}")]
    Malformed {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
}

/// Key of a row. The rows of a partition can be listed, ordered by `sort`.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{partition}/{sort}")]
pub struct RowKey {
    /// The partition key.
    pub partition: Arc<str>,
    /// The sort key, unique within the partition.
    pub sort: Arc<str>,
}

impl RowKey {
    /// Creates a key from its two parts.
    #[must_use]
    pub fn new(partition: &str, sort: &str) -> Self {
        Self {
            partition: partition.into(),
            sort: sort.into(),
        }
    }
}

/// A row of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// The row's key.
    pub key: RowKey,
    /// Incremented by each write; 1 for a new row.
    pub version: u64,
    /// The content as JSON text.
    pub body: Arc<str>,
}

/// One write of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Writes a row that must not exist yet.
    Insert {
        /// The row's key.
        key: RowKey,
        /// The content.
        body: Arc<str>,
    },
    /// Replaces a row that must have this version.
    Replace {
        /// The row's key.
        key: RowKey,
        /// The version that the row must have.
        version: u64,
        /// The new content.
        body: Arc<str>,
    },
    /// Deletes a row that must have this version.
    Delete {
        /// The row's key.
        key: RowKey,
        /// The version that the row must have.
        version: u64,
    },
}

/// The transactional table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row. The read sees every commit that was answered before it.
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError>;

    /// Lists at most `limit` rows of a partition with a sort key greater than `after`, in the order
    /// of their sort keys.
    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError>;

    /// Applies all writes, or none if a condition does not hold.
    async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError>;
}

/// The object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Writes a whole object.
    async fn put(&self, key: &str, body: Bytes) -> Result<(), PlatformError>;

    /// Reads a whole object; `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError>;
}

/// The platform's list of live and leaving instances and targets. The list lags behind the actual state.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Reads the list.
    async fn list(&self) -> Result<Listing, PlatformError>;
}
