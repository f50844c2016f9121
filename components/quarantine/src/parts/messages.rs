//! Evidence and verdicts that instances exchange about parts of prompts.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};
use types::{ServiceId, bounded};

use crate::{
    fingerprint::Fingerprint,
    verdict::{TargetIncarnation, VerdictKind},
};

/// Evidence that a target crashed while it was running a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartEvidence {
    /// The service of the target.
    pub service: ServiceId,
    /// The parts of the request's prompt that other requests may share; none if it has proved sound.
    pub parts: Vec<Fingerprint>,
    /// The target process that crashed.
    pub incarnation: TargetIncarnation,
    /// Time since the connection to the target was lost.
    #[serde(deserialize_with = "bounded")]
    pub age: Duration,
    /// Upper bound on the time for which the target had been running the request by then.
    #[serde(deserialize_with = "bounded")]
    pub ran_for: Duration,
    /// The request as a whole, which may have crashed the target by itself.
    #[serde(default)]
    pub request: Option<Fingerprint>,
}

/// A crash that counts against a part, as it is sent to other instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CountedCrash {
    /// The target process that crashed.
    pub incarnation: TargetIncarnation,
    /// Time since then.
    #[serde(deserialize_with = "bounded")]
    pub age: Duration,
    /// Upper bound on the time for which the target had been running a request with the part.
    #[serde(deserialize_with = "bounded")]
    pub ran_for: Duration,
    /// What else may be the cause: the other parts that were suspect, and whole requests.
    pub companions: BTreeSet<Fingerprint>,
}

/// A run that proved sound, as it is sent to other instances. Its number and id identify it: its age grows
/// with each delay on the way, and must not count as that of another run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SoundRun {
    /// Higher than that of the sound runs that its instance knew of.
    pub number: u64,
    /// Tells runs with the same number apart.
    pub id: u64,
    /// Time since it began.
    #[serde(deserialize_with = "bounded")]
    pub age: Duration,
}

/// A verdict on one part, as it is sent to other instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartVerdict {
    /// The service.
    pub service: ServiceId,
    /// The part.
    pub part: Fingerprint,
    /// Incremented each time that the part is rejected again after a rejection has expired.
    pub round: u32,
    /// Whether requests with the part may be sent.
    pub kind: VerdictKind,
    /// The latest crashes that count against the part.
    pub crashes: Vec<CountedCrash>,
    /// Targets whose crashes no longer count against the part.
    pub void_crashes: BTreeSet<TargetIncarnation>,
    /// The latest run with the part that proved sound.
    pub sound_run: Option<SoundRun>,
    /// Time until the verdict expires.
    #[serde(deserialize_with = "bounded")]
    pub remaining: Duration,
}
