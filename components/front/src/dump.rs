//! The state of an instance, for people.

use std::time::Duration;

use placing::GenerationId;
use serde::Serialize;
use types::{ConfigVersion, DataCentreId, InstanceId, TargetId};

use crate::{
    callers::refusal::millis,
    state::{Front, elapsed_since},
};

/// The state of an instance; it holds no keys.
#[derive(Debug, Serialize)]
pub struct Dump {
    instance: InstanceId,
    ready: bool,
    rules: Option<ConfigVersion>,
    /// Age of what is known of the configuration, in milliseconds.
    rules_age_ms: Option<u64>,
    /// Age of what is known of the targets, in milliseconds.
    targets_age_ms: Option<u64>,
    targets: Vec<TargetState>,
    members: Vec<InstanceId>,
    /// Requests that were read and have no answer yet.
    open: Vec<OpenState>,
    generations: Vec<placing::ActiveGeneration>,
    /// Engines in the account that this instance keeps.
    account: Vec<placing::EngineLoad>,
}

#[derive(Debug, Serialize)]
struct TargetState {
    id: TargetId,
    data_centre: DataCentreId,
    takes_work: bool,
    aside: bool,
}

#[derive(Debug, Serialize)]
struct OpenState {
    id: GenerationId,
    held_ms: u64,
}

impl Front {
    /// Its state.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let now = timer::boot_time();
        let choice = self.selector.lock();
        let state = |target: &std::sync::Arc<view::Target>| TargetState {
            id: target.id.clone(),
            data_centre: target.data_centre.clone(),
            takes_work: self.view.accepts_work(target),
            aside: choice.is_ejected(now, &target.id),
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
                .map(OpenState::from)
                .collect(),
            generations: self.generations.snapshots(),
            account: self.placement.owner.lock().loads(now),
        }
    }
}

impl From<(GenerationId, Duration)> for OpenState {
    fn from((id, held): (GenerationId, Duration)) -> Self {
        Self {
            id,
            held_ms: millis(held),
        }
    }
}
