//! What instances tell one another about requests under which targets ended.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::TargetId;

use crate::fingerprint::Fingerprint;

/// One life of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Life {
    /// The target.
    pub target: TargetId,
    /// When this life began, in Unix milliseconds, if it told.
    pub born: Option<u64>,
}

/// A target ended while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The life that ended.
    pub life: Life,
    /// How long ago its connection was lost.
    pub age: Duration,
    /// How long it had run the request then, at most.
    pub ran: Duration,
}

/// How a request is taken. Later ones overrule earlier ones of the same round.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Standing {
    /// Targets have ended under it, though too few to tell. Whoever serves it whole says so.
    Suspected,
    /// It is sent to no target.
    Rejected,
    /// A target has served it and lives.
    Cleared,
}

/// Word on how a request is taken.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Word {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Counts up each time that it is suspected or rejected anew; the later round holds.
    pub round: u32,
    /// How it is taken.
    pub standing: Standing,
    /// For how much longer.
    pub left: Duration,
}
