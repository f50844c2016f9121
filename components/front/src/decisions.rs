//! The file of decisions: switches for features, and the tuning of placement.

use placing::Tuning;
use serde::Deserialize;

/// The decisions that operators can override. Everything has a default.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Decisions {
    /// Tuning of the placement of generations.
    pub placing: Tuning,
    /// Switches for all other features.
    #[serde(rename = "parts")]
    pub features: Features,
}

/// Features that can be switched off individually. All are on by default.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the switches are independent of each other"
)]
pub struct Features {
    /// Owners place generations; else each instance places its own with its own data.
    #[serde(rename = "asks_owner")]
    pub owner_placement: bool,
    /// Generations are migrated off engines that are about to stop.
    #[serde(rename = "moves")]
    pub migration: bool,
    /// A stream without events for some time is checked at its engine.
    #[serde(rename = "judges_silence")]
    pub idle_detection: bool,
    /// A generation whose stream was lost is resumed from its engine's memory.
    #[serde(rename = "fetches_lost")]
    pub stream_recovery: bool,
    /// While an instance shuts down, it refuses generations that would not complete in time, so that
    /// their callers retry at another one.
    #[serde(rename = "sends_elsewhere")]
    pub drain_offload: bool,
    /// Requests that have not run, or may run twice, are retried.
    #[serde(rename = "sends_again")]
    pub retries: bool,
    /// Plain calls prefer targets of the same data centre.
    #[serde(rename = "prefers_near")]
    pub locality: bool,
    /// Targets that failed plain calls are ejected for a while.
    #[serde(rename = "sets_aside")]
    pub ejection: bool,
    /// Instances with more capacity are preferred as owners and readers.
    #[serde(rename = "strong_first")]
    pub capacity_order: bool,
    /// The store is followed through two readers; else each instance reads it itself.
    #[serde(rename = "reads_for_others")]
    pub shared_reads: bool,
    /// Requests to targets that this instance can't connect to are sent through other instances.
    #[serde(rename = "sends_through_others")]
    pub relaying: bool,
    /// An instance that is short of processor time closes connections beyond its limit unread.
    #[serde(rename = "limits_intake")]
    pub intake_limit: bool,
    /// Timeouts of calls to an unavailable store follow a schedule; else they are constant.
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
            relaying: true,
            intake_limit: true,
            adaptive_timeouts: true,
        }
    }
}
