//! What celerystand needs of the platform.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use types::Listing;

/// Why a call to the platform brought nothing.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// A condition of a commit did not hold; nothing was written.
    #[display("a condition of the commit did not hold; nothing was written")]
    Conflict,
    /// The platform answers, but takes no more calls at present; this one had no effect.
    #[display("the platform takes no more calls at present: {reason}")]
    Busy {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The call certainly had no effect; it may be tried again.
    #[display("the platform did not take the call: {reason}")]
    Unavailable {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The answer was lost: a write may have taken effect.
    #[display("the platform's answer was lost: {reason}")]
    Unknown {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The platform's answer makes no sense.
    #[display("the platform's answer is not understood: {reason}")]
    Malformed {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
}

/// Key of a row: rows of one partition are listed together, in order of `sort`.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{partition}/{sort}")]
pub struct RowKey {
    /// The partition.
    pub partition: Arc<str>,
    /// The place within it.
    pub sort: Arc<str>,
}

impl RowKey {
    /// Makes a key.
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
    /// Its key.
    pub key: RowKey,
    /// Grows by one with each write; 1 when new.
    pub version: u64,
    /// Its content, JSON text.
    pub body: Arc<str>,
}

/// One write of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Writes a row that must not exist yet.
    Insert {
        /// Its key.
        key: RowKey,
        /// Its content.
        body: Arc<str>,
    },
    /// Replaces a row that must have this version.
    Replace {
        /// Its key.
        key: RowKey,
        /// The version it must have.
        version: u64,
        /// Its new content.
        body: Arc<str>,
    },
    /// Deletes a row that must have this version.
    Delete {
        /// Its key.
        key: RowKey,
        /// The version it must have.
        version: u64,
    },
}

/// The transactional table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row, seeing every commit that was answered before.
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError>;

    /// Lists a partition's rows with `sort` greater than `after`, at most `limit`, in order.
    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError>;

    /// Writes all rows or none.
    async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError>;
}

/// The object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Writes an object whole.
    async fn put(&self, key: &str, body: Bytes) -> Result<(), PlatformError>;

    /// Reads an object whole.
    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError>;
}

/// The platform's list of live and leaving instances and targets; it lags.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Reads the list.
    async fn list(&self) -> Result<Listing, PlatformError>;
}
