//! The state dump of an instance, for operators.

use std::time::Duration;

use placing::GenerationId;
use quarantine::{Fingerprint, PartVerdict, VerdictKind};
use serde::Serialize;
use types::{ConfigVersion, DataCentreId, InstanceId, ServiceId, TargetId, millis};

use crate::state::{Front, elapsed_since};

/// The state of an instance. It contains no keys.
#[derive(Debug, Serialize)]
pub struct Dump {
    instance: InstanceId,
    ready: bool,
    rules: Option<ConfigVersion>,
    /// Age of the cached configuration, in milliseconds.
    rules_age_ms: Option<u64>,
    /// Age of the cached targets, in milliseconds.
    targets_age_ms: Option<u64>,
    targets: Vec<TargetState>,
    members: Vec<InstanceId>,
    /// Requests that have no answer yet.
    open: Vec<OpenRequestState>,
    generations: Vec<placing::ActiveGeneration>,
    /// Verdicts on parts of prompts under which targets crashed.
    prompt_parts: Vec<PartState>,
    /// The engines that this instance keeps an account of as their owner.
    account: Vec<placing::EngineLoad>,
    /// Work that workspaces ask for and get, as this instance accounts for it as an owner.
    shares: Vec<placing::WorkspaceLoad>,
}

#[derive(Debug, Serialize)]
struct TargetState {
    id: TargetId,
    data_centre: DataCentreId,
    #[serde(rename = "takes_work")]
    accepts_work: bool,
    #[serde(rename = "aside")]
    is_ejected: bool,
    /// Time until the end of the pause that it has asked for, in milliseconds.
    pause_left_ms: Option<u64>,
}

#[derive(Debug, Serialize)]
struct PartState {
    service: ServiceId,
    /// Digest of the part.
    part: String,
    /// `Suspected`, `Rejected` or `Cleared`.
    verdict: VerdictKind,
    /// For each of the latest crashes that count, digests of the other parts that were suspect.
    crashes: Vec<Vec<String>>,
    /// Time until the verdict expires, in milliseconds.
    left_ms: u64,
}

impl From<PartVerdict> for PartState {
    fn from(verdict: PartVerdict) -> Self {
        let name = |part: &Fingerprint| format!("{:016x}", part.short());
        Self {
            part: name(&verdict.part),
            verdict: verdict.kind,
            crashes: verdict
                .crashes
                .iter()
                .map(|crash| crash.companions.iter().map(name).collect())
                .collect(),
            left_ms: millis(verdict.remaining),
            service: verdict.service,
        }
    }
}

#[derive(Debug, Serialize)]
struct OpenRequestState {
    id: GenerationId,
    held_ms: u64,
}

impl Front {
    /// The state dump of this instance.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let now = timer::boot_time();
        let verdicts = self.part_quarantine.lock().verdicts(now);
        let owner = self.placement.owner.lock();
        let (account, shares) = (owner.loads(now), owner.workspace_loads(now));
        drop(owner);
        let selector = self.selector.lock();
        let state = |target: &std::sync::Arc<view::Target>| TargetState {
            id: target.id.clone(),
            data_centre: target.data_centre.clone(),
            accepts_work: self.view.accepts_work(target),
            is_ejected: selector.is_ejected(now, &target.id),
            pause_left_ms: self.pause_left(target).map(millis),
        };
        Dump {
            instance: self.cfg.instance.clone(),
            ready: self.is_ready(),
            rules: self.view.rules().map(|rules| rules.version),
            rules_age_ms: self
                .view
                .rules_read_at()
                .map(|read| millis(elapsed_since(read))),
            targets_age_ms: self
                .view
                .targets_read_at()
                .map(|read| millis(elapsed_since(read))),
            targets: self.view.targets().values().map(state).collect(),
            members: self.peers.ids(),
            open: self
                .open_requests
                .list()
                .into_iter()
                .map(OpenRequestState::from)
                .collect(),
            generations: self.generations.snapshots(),
            prompt_parts: verdicts.into_iter().map(PartState::from).collect(),
            account,
            shares,
        }
    }
}

impl From<(GenerationId, Duration)> for OpenRequestState {
    fn from((id, held): (GenerationId, Duration)) -> Self {
        Self {
            id,
            held_ms: millis(held),
        }
    }
}
