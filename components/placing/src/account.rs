//! What is known to run on one engine.

use std::{collections::BTreeSet, time::Duration};

use types::{DataCentreId, InstanceId, Moment, RouteId, ServiceId, TargetId, Tokens};

use crate::{length::Length, memory::Holder, message::RunId, pace::Pace};

/// An engine that may get work, as listings and configuration describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The engine.
    pub id: TargetId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Generations that it runs at once.
    pub slots: u32,
    /// Its memory.
    pub memory: Tokens,
    /// Time to copy one token's memory over its link, within a data centre.
    pub token_copy: Duration,
}

/// One generation on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The entry that holds its caller.
    pub entry: InstanceId,
    /// Its service.
    pub service: ServiceId,
    /// The engine.
    pub target: TargetId,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Its route.
    pub route: RouteId,
    /// Tokens of the longest answer allowed.
    pub longest: Tokens,
    /// What is expected of its length.
    pub length: Length,
    /// Rank, the lowest first.
    pub rank: u32,
    /// When it was granted.
    pub granted: Moment,
    /// When its first event was expected, as it was granted.
    pub due: Moment,
    /// When its first event came.
    pub started: Option<Moment>,
    /// Tokens made, as known at `counted`.
    pub made: Tokens,
    /// When they were counted.
    pub counted: Moment,
    /// When its entry last confirmed it.
    pub confirmed: Moment,
    /// The engine that its memory is being copied to.
    pub copying_to: Option<TargetId>,
}

impl Run {
    /// Tokens made by now, estimated.
    #[must_use]
    pub fn made_by(&self, now: Moment, pace: Pace) -> Tokens {
        if self.started.is_none() {
            return 0;
        }
        self.made + pace.made_in(now.saturating_sub(self.counted))
    }

    /// How late its first event is, if its entry has said since that it still waits for it. An
    /// entry that is gone waits for nothing.
    #[must_use]
    pub fn lateness(&self, now: Moment) -> Duration {
        if self.started.is_some() || self.confirmed <= self.due {
            return Duration::ZERO;
        }
        now.saturating_sub(self.due)
    }

    /// What it holds and will hold.
    #[must_use]
    pub fn holder(&self, now: Moment, pace: Pace) -> Holder {
        Holder {
            prompt: self.prompt,
            made: self.made_by(now, pace),
            length: self.length,
        }
    }

    /// Time that it still runs, estimated.
    #[must_use]
    pub fn rest(&self, now: Moment, pace: Pace) -> Duration {
        pace.time_for(self.length.rest(self.made_by(now, pace)))
    }
}

/// What an engine says of itself. It is old when it arrives.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Tokens that its generations hold.
    pub held: Tokens,
    /// Generations in its queue.
    pub waiting: u32,
}

/// What is known to run on one engine.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// What it said itself, and when that came.
    pub report: Option<(Moment, Report)>,
    /// Its generations.
    pub runs: BTreeSet<RunId>,
    /// Copies that come in, or wait here to be used.
    pub copies: BTreeSet<RunId>,
    /// When it has read all prompts that it was given.
    pub busy_until: Moment,
    /// When a first event came from it last.
    pub last_start: Moment,
    /// It gets nothing until then.
    pub doubted_until: Moment,
}
