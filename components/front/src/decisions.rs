//! Which parts of the decisions are in use, and the figures that placing rests on.

use placing::Tuning;
use serde::Deserialize;

/// What operators can set of the decisions. All of it has defaults.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Decisions {
    /// Figures and parts of placing generations.
    pub placing: Tuning,
    /// Parts of everything else.
    #[serde(rename = "parts")]
    pub features: Features,
}

/// Parts of the decisions that can be switched off alone.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of its own, and any of them goes with any other"
)]
pub struct Features {
    /// An owner is asked for engines; else each instance decides by its own account.
    #[serde(rename = "asks_owner")]
    pub owner_placement: bool,
    /// Generations are moved off engines that leave.
    #[serde(rename = "moves")]
    pub migration: bool,
    /// A stream that falls silent is looked into.
    #[serde(rename = "judges_silence")]
    pub idle_detection: bool,
    /// A stream that was lost is fetched from its engine's memory.
    #[serde(rename = "fetches_lost")]
    pub stream_recovery: bool,
    /// An instance that stops sends long generations elsewhere.
    #[serde(rename = "sends_elsewhere")]
    pub drain_offload: bool,
    /// Requests that have not run, or may run again, are sent a second time.
    #[serde(rename = "sends_again")]
    pub retries: bool,
    /// Plain calls go to targets near by first.
    #[serde(rename = "prefers_near")]
    pub locality: bool,
    /// Targets that failed plain calls are put aside for a while.
    #[serde(rename = "sets_aside")]
    pub ejection: bool,
    /// The strongest instances own accounts and read the store.
    #[serde(rename = "strong_first")]
    pub capacity_order: bool,
    /// The store is followed through two readers; else each instance reads it itself.
    #[serde(rename = "reads_for_others")]
    pub shared_reads: bool,
    /// Patience with a lost store follows a schedule; else it is always as long.
    #[serde(rename = "patience_varies")]
    pub adaptive_timeouts: bool,
}

impl Default for Features {
    fn default() -> Self {
        Self {
            owner_placement: true,
            migration: true,
            idle_detection: true,
            stream_recovery: true,
            drain_offload: true,
            retries: true,
            locality: true,
            ejection: true,
            capacity_order: true,
            shared_reads: true,
            adaptive_timeouts: true,
        }
    }
}
