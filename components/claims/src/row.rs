//! The row that stores a claim in the table service.

use std::{
    fmt::Write as _,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use stores::{PlatformError, Row, RowKey};
use types::{Incarnation, InstanceId};

use crate::api::{KeyedCall, RecordedAnswer};

/// Number of partitions that claims are distributed over.
pub const PARTITIONS: u16 = 256;

/// State of a claimed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The claimant runs the call, or is about to.
    Claimed,
    /// The claimant has ended without an outcome, or has abandoned the call. A claimant that is
    /// still alive may replace this state.
    Unknown,
    /// The call certainly did not run; the next retry may run it.
    Released,
    /// The call ran and had this answer.
    Done(RecordedAnswer),
}

impl ClaimState {
    /// How final a state is: the finality of a claim never decreases.
    #[must_use]
    pub const fn finality(&self) -> u8 {
        match self {
            Self::Claimed => 0,
            Self::Unknown => 1,
            Self::Released | Self::Done(_) => 2,
        }
    }
}

/// A claim as stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Unique per claim; only the request that made the claim runs the call.
    pub id: Arc<str>,
    /// Digest of the call.
    pub digest: Arc<str>,
    /// The claimant.
    pub instance: InstanceId,
    /// Incarnation of the claimant.
    pub incarnation: Incarnation,
    /// When the row was last written, in seconds since 1970 by the writer's clock.
    #[serde(rename = "at")]
    pub written_at: u64,
    /// State of the call.
    pub state: ClaimState,
}

impl ClaimRow {
    /// Parses a row.
    ///
    /// # Errors
    /// `Malformed` if the row is not a claim.
    pub fn read(row: &Row) -> Result<Self, PlatformError> {
        serde_json::from_str(&row.body).map_err(|e| PlatformError::Malformed {
            reason: format!("row {}: {e}", row.key).into(),
        })
    }

    /// The content of the row, with the current time.
    #[must_use]
    pub fn body(&self) -> Arc<str> {
        let stamped = Self {
            written_at: now_seconds(),
            ..self.clone()
        };
        // Can't fail: the claim has only text keys and plain values.
        serde_json::to_string(&stamped).unwrap_or_default().into()
    }

    /// The same claim in another state.
    #[must_use]
    pub fn with_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }
}

/// Key of the row for a call's claim. Only a hash of the idempotency key is stored.
#[must_use]
pub fn row_key(call: &KeyedCall) -> RowKey {
    let mut hasher = Sha256::new();
    // Hashing the length first keeps different pairs of workspace and key from forming the same
    // text.
    hasher.update((call.workspace.len() as u64).to_be_bytes());
    hasher.update(call.workspace.as_bytes());
    hasher.update(call.key.as_bytes());
    let mut hash = String::new();
    for byte in hasher.finalize() {
        // Writing to a string can't fail.
        let _ = write!(hash, "{byte:02x}");
    }
    RowKey::new(&partition_with_prefix(&hash[..2]), &hash)
}

/// Name of the partition with this number.
#[must_use]
pub fn partition_name(number: u16) -> String {
    partition_with_prefix(&format!("{:02x}", number % PARTITIONS))
}

fn partition_with_prefix(prefix: &str) -> String {
    format!("claim/{prefix}")
}

/// Seconds since 1970 by this machine's clock.
#[must_use]
pub fn now_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}
