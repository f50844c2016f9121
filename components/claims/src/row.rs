//! The row that keeps a claim in the table service.

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

/// Partitions that claims are spread over.
pub const PARTITIONS: u16 = 256;

/// What is known of a claimed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The claimant runs it, or is about to.
    Claimed,
    /// The claimant is gone and told no outcome. The claimant itself may still replace this.
    Unknown,
    /// It provably did not run; the next repeat may run it.
    Released,
    /// It ran, and this was the answer.
    Done(RecordedAnswer),
}

impl State {
    /// How final a state is: a claim only moves up.
    #[must_use]
    pub const fn rank(&self) -> u8 {
        match self {
            Self::Claimed => 0,
            Self::Unknown => 1,
            Self::Released | Self::Done(_) => 2,
        }
    }
}

/// A claim as kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Unique per claim; only its maker runs the call.
    pub id: Arc<str>,
    /// Hash of the call.
    pub digest: Arc<str>,
    /// The claimant.
    pub instance: InstanceId,
    /// Which life of the claimant.
    pub incarnation: Incarnation,
    /// When it was last written, in seconds since 1970 by the writer's clock.
    #[serde(rename = "at")]
    pub written_at: u64,
    /// What is known.
    pub state: State,
}

impl ClaimRow {
    /// Reads a row.
    ///
    /// # Errors
    /// Tells that the row is no claim.
    pub fn read(row: &Row) -> Result<Self, PlatformError> {
        serde_json::from_str(&row.body).map_err(|e| PlatformError::Malformed {
            reason: format!("row {}: {e}", row.key).into(),
        })
    }

    /// The row's content, stamped now.
    #[must_use]
    pub fn body(&self) -> Arc<str> {
        let stamped = Self {
            written_at: now_seconds(),
            ..self.clone()
        };
        // Text keys and plain values only: this can't fail.
        serde_json::to_string(&stamped).unwrap_or_default().into()
    }

    /// The same claim in another state.
    #[must_use]
    pub fn with_state(&self, state: State) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }
}

/// Where a call's claim is kept. The key itself is not stored, only its hash.
#[must_use]
pub fn row_key(call: &KeyedCall) -> RowKey {
    let mut hasher = Sha256::new();
    // With its length first, no two pairs of workspace and key run together to the same text.
    hasher.update((call.workspace.len() as u64).to_be_bytes());
    hasher.update(call.workspace.as_bytes());
    hasher.update(call.key.as_bytes());
    let mut hash = String::new();
    for byte in hasher.finalize() {
        // Writing to a string can't fail.
        let _ = write!(hash, "{byte:02x}");
    }
    RowKey::new(&partition_of(&hash[..2]), &hash)
}

/// Name of a partition by number.
#[must_use]
pub fn partition(number: u16) -> String {
    partition_of(&format!("{:02x}", number % PARTITIONS))
}

fn partition_of(first: &str) -> String {
    format!("claim/{first}")
}

/// Seconds since 1970 by this machine's clock.
#[must_use]
pub fn now_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}
