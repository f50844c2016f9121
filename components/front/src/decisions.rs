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
    pub parts: Parts,
}

/// Parts of the decisions that can be switched off alone.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of its own, and any of them goes with any other"
)]
pub struct Parts {
    /// An owner is asked for engines; else each instance decides by its own account.
    pub asks_owner: bool,
    /// Generations are moved off engines that leave.
    pub moves: bool,
    /// A stream that falls silent is looked into.
    pub judges_silence: bool,
    /// A stream that was lost is fetched from its engine's memory.
    pub fetches_lost: bool,
    /// An instance that stops sends long generations elsewhere.
    pub sends_elsewhere: bool,
    /// Requests that have not run, or may run again, are sent a second time.
    pub sends_again: bool,
    /// Plain calls go to targets near by first.
    pub prefers_near: bool,
    /// Targets that failed plain calls are put aside for a while.
    pub sets_aside: bool,
    /// The strongest instances own accounts and read the store.
    pub strong_first: bool,
    /// The store is followed through two readers; else each instance reads it itself.
    pub reads_for_others: bool,
    /// Patience with a lost store follows a schedule; else it is always as long.
    pub patience_varies: bool,
}

impl Default for Parts {
    fn default() -> Self {
        Self {
            asks_owner: true,
            moves: true,
            judges_silence: true,
            fetches_lost: true,
            sends_elsewhere: true,
            sends_again: true,
            prefers_near: true,
            sets_aside: true,
            strong_first: true,
            reads_for_others: true,
            patience_varies: true,
        }
    }
}
