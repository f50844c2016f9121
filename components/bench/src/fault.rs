//! The faults that a randomised run makes.

use serde::Deserialize;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// An instance is killed, and started again later.
    KillInstance,
    /// An instance is frozen for a while.
    PauseInstance,
    /// An instance is stopped as planned, and started again.
    StopInstance,
    /// An instance is cut off from the platform.
    CutOffInstance,
    /// An engine's connections break.
    CutEngine,
    /// An engine's open connections fall silent.
    SilenceEngine,
    /// An engine drops everything and comes back cold.
    CrashEngine,
    /// An engine turns cold without a word.
    ColdEngine,
    /// An engine stands still.
    StallEngine,
    /// An engine says that it leaves, and stays after all.
    LeaveEngine,
    /// An engine's next answers break off.
    BreakEngineAnswers,
    /// A service's connections break.
    CutService,
    /// A service's open connections fall silent.
    SilenceService,
    /// A service turns cold without a word.
    ColdService,
    /// A service drops everything and comes back cold.
    CrashService,
    /// A service's next calls break while they are read.
    BreakServiceCalls,
    /// A service's next answers break off.
    BreakServiceAnswers,
    /// The table is down.
    TableDown,
    /// The table is slow.
    TableSlow,
    /// The table's next answers are lost after the effect.
    LoseAnswers,
    /// The directory is down.
    DirectoryDown,
    /// Operators take a data centre out and in again.
    DataCentreOut,
}

impl Fault {
    /// Those that must not cut any request short.
    pub const GENTLE: [Self; 8] = [
        Self::StopInstance,
        Self::CutOffInstance,
        Self::LeaveEngine,
        Self::TableDown,
        Self::TableSlow,
        Self::LoseAnswers,
        Self::DirectoryDown,
        Self::DataCentreOut,
    ];

    /// Those of targets and links, which take no time to make, so that another may come on top.
    pub const HARSH: [Self; 12] = [
        Self::CutEngine,
        Self::SilenceEngine,
        Self::CrashEngine,
        Self::ColdEngine,
        Self::StallEngine,
        Self::BreakEngineAnswers,
        Self::CutService,
        Self::SilenceService,
        Self::ColdService,
        Self::CrashService,
        Self::BreakServiceCalls,
        Self::BreakServiceAnswers,
    ];

    /// All of them.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let own = [Self::KillInstance, Self::PauseInstance];
        [&own[..], &Self::GENTLE, &Self::HARSH].concat()
    }
}
