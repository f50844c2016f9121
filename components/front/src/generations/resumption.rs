//! Decides what becomes of a generation whose engine fails on a route whose streams may be resumed.
//!
//! When engines crash under load, every caller who starts again from the first token adds a whole prompt
//! and a whole answer to the engines that are left. A stream that goes on after its last event costs
//! the prompt only, and its caller sees a pause.

use std::time::Duration;

/// Shortest time for which a caller waits in the middle of a stream, even where the objective is shorter.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// How an engine failed a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The connection was lost, or what came was no valid answer.
    ConnectionLost,
    /// The engine answers no longer and is not listed any more.
    EngineGone,
    /// The engine answered with a server error.
    ServerError,
    /// No answer came in time.
    TimedOut,
    /// The stream ended in the middle of an event, or may have ended too early.
    Truncated,
}

impl Cause {
    /// Its name in metrics and the log.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::EngineGone => "engine_gone",
            Self::ServerError => "server_error",
            Self::TimedOut => "timed_out",
            Self::Truncated => "truncated",
        }
    }
}

/// How much of the stream its caller has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Position {
    /// Nothing.
    Start,
    /// All events up to the one with this id.
    After(u64),
    /// Something that no id tells.
    Unknown,
}

/// Why a generation does not go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUp {
    /// The route does not allow it, or retries are switched off.
    NotResumable,
    /// The answer is no stream of events with ids, so no engine can be told where to go on.
    NoPosition,
    /// It has run on as many engines as the route allows.
    EnginesUsedUp,
    /// The caller waits no longer.
    NoTimeLeft,
    /// Engines have crashed while they ran it.
    Quarantined,
    /// The retry budget of the service is used up.
    BudgetUsedUp,
    /// No other engine went on with it.
    NoEngine,
}

impl GiveUp {
    /// Its name in metrics and the log.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NotResumable => "not_resumable",
            Self::NoPosition => "no_position",
            Self::EnginesUsedUp => "engines_used_up",
            Self::NoTimeLeft => "no_time_left",
            Self::Quarantined => "quarantined",
            Self::BudgetUsedUp => "budget_used_up",
            Self::NoEngine => "no_engine",
        }
    }
}

/// What becomes of a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Another engine runs it from the start.
    Restart,
    /// Another engine goes on after the event with this id.
    Resume {
        /// The last event that the caller has received.
        after: u64,
    },
    /// It ends here.
    GiveUp(GiveUp),
}

/// A generation that its engine has failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Interruption {
    /// Whether the route allows that a request is run again and its stream resumed.
    pub is_resumable: bool,
    /// How much the caller has received.
    pub position: Position,
    /// Engines that have run it, without those that went on from a copy of its memory.
    pub runs: u32,
    /// The most engines that may run it.
    pub max_runs: u32,
    /// Time until the answer must be complete.
    pub time_left: Duration,
    /// Whether the request is rejected because engines have crashed while they ran it.
    pub is_quarantined: bool,
}

impl Interruption {
    /// Decides what becomes of the generation. Takes a retry from the budget only if nothing else forbids
    /// it, so that requests that end anyway leave the budget to others.
    pub fn decide(&self, take_retry: impl FnOnce() -> bool) -> Decision {
        let obstacle = if !self.is_resumable {
            GiveUp::NotResumable
        } else if self.is_quarantined {
            GiveUp::Quarantined
        } else if self.runs >= self.max_runs {
            GiveUp::EnginesUsedUp
        } else if self.time_left.is_zero() {
            GiveUp::NoTimeLeft
        } else if self.position == Position::Unknown {
            GiveUp::NoPosition
        } else if !take_retry() {
            GiveUp::BudgetUsedUp
        } else {
            return match self.position {
                Position::After(after) => Decision::Resume { after },
                Position::Start | Position::Unknown => Decision::Restart,
            };
        };
        Decision::GiveUp(obstacle)
    }
}

/// How long a caller whose stream has stopped waits for it to go on: as long as it would for a first
/// event, and never longer than for the whole answer.
#[must_use]
pub fn patience(objective: Duration, time_left: Duration) -> Duration {
    objective.max(MIN_PATIENCE).min(time_left)
}
