//! Evidence and verdicts that instances exchange about requests that crash targets.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{TargetId, bounded};

use crate::fingerprint::Fingerprint;

/// One run of a target's process, from its start to its end.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TargetIncarnation {
    /// The target.
    pub target: TargetId,
    /// Start of the process in Unix milliseconds, if the target reported it.
    #[serde(rename = "born")]
    pub started_at: Option<u64>,
}

/// Evidence that a target crashed while it was running a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The target process that crashed.
    #[serde(rename = "life")]
    pub incarnation: TargetIncarnation,
    /// Time since the connection to the target was lost.
    #[serde(deserialize_with = "bounded")]
    pub age: Duration,
    /// Upper bound on the time for which the target had been running the request by then.
    #[serde(rename = "ran", deserialize_with = "bounded")]
    pub ran_for: Duration,
    /// Targets that lost earlier runs of the same attempt. This run began after those were lost, so
    /// their crashes have no common cause with this one; the times alone can't tell, since reports
    /// are delayed by different amounts.
    #[serde(default)]
    pub earlier: Vec<TargetIncarnation>,
}

/// Whether a request may be sent to targets. Within one round a later variant overrides an earlier
/// one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum VerdictKind {
    /// Targets have crashed while running the request, but too few to blame the request. It is
    /// still sent, and an instance that gets a complete answer to it reports that.
    Suspected,
    /// The request is not sent to any target.
    Rejected,
    /// A target has completed the request without crashing.
    Cleared,
}

/// A verdict on one request, as it is sent to other instances.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Incremented each time that the request is suspected or rejected again; a verdict of a later
    /// round overrides those of earlier rounds.
    pub round: u32,
    /// Whether the request may be sent.
    #[serde(rename = "standing")]
    pub kind: VerdictKind,
    /// Time until the verdict expires.
    #[serde(rename = "left", deserialize_with = "bounded")]
    pub remaining: Duration,
}
