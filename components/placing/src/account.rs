//! What is known to run on one engine.

use std::{collections::BTreeSet, time::Duration};

use types::{DataCentreId, InstanceId, Moment, RouteId, ServiceId, TargetId, Tokens};

use crate::{
    length::LengthEstimate, memory::Allocation, message::GenerationId, throughput::Throughput,
};

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
    pub token_copy_time: Duration,
}

/// One generation on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Generation {
    /// The entry that holds its caller.
    pub entry: InstanceId,
    /// Its service.
    pub service: ServiceId,
    /// The engine.
    pub target: TargetId,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Its route.
    pub route: RouteId,
    /// Tokens of the longest answer allowed.
    pub max_tokens: Tokens,
    /// What is expected of its length.
    pub length: LengthEstimate,
    /// Rank, the lowest first.
    pub priority: u32,
    /// When it was granted.
    pub granted_at: Moment,
    /// When its first event was expected, as it was granted.
    pub first_event_due: Moment,
    /// When its first event came.
    pub started_at: Option<Moment>,
    /// Tokens made, as known at `counted`.
    pub tokens_generated: Tokens,
    /// When they were counted.
    pub counted_at: Moment,
    /// When its entry last confirmed it.
    pub confirmed_at: Moment,
    /// The engine that its memory is being copied to.
    pub copying_to: Option<TargetId>,
}

impl Generation {
    /// Tokens made by now, estimated.
    #[must_use]
    pub fn generated_by(&self, now: Moment, throughput: Throughput) -> Tokens {
        if self.started_at.is_none() {
            return 0;
        }
        self.tokens_generated + throughput.tokens_in(now.saturating_sub(self.counted_at))
    }

    /// How late its first event is, if its entry has said since that it still waits for it. An
    /// entry that is gone waits for nothing.
    #[must_use]
    pub fn first_event_delay(&self, now: Moment) -> Duration {
        if self.started_at.is_some() || self.confirmed_at <= self.first_event_due {
            return Duration::ZERO;
        }
        now.saturating_sub(self.first_event_due)
    }

    /// What it holds and will hold.
    #[must_use]
    pub fn allocation(&self, now: Moment, throughput: Throughput) -> Allocation {
        Allocation {
            prompt_tokens: self.prompt_tokens,
            tokens_generated: self.generated_by(now, throughput),
            length: self.length,
        }
    }

    /// Time that it still runs, estimated.
    #[must_use]
    pub fn time_left(&self, now: Moment, throughput: Throughput) -> Duration {
        throughput.decode_time(
            self.length
                .expected_remaining(self.generated_by(now, throughput)),
        )
    }
}

/// What an engine says of itself. It is old when it arrives.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Tokens that its generations hold.
    pub tokens_held: Tokens,
    /// Generations in its queue.
    pub queued: u32,
}

/// What is known to run on one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineAccount {
    /// What it said itself, and when that came.
    pub report: Option<(Moment, LoadReport)>,
    /// Its generations.
    pub generations: BTreeSet<GenerationId>,
    /// Copies that come in, or wait here to be used.
    pub incoming_copies: BTreeSet<GenerationId>,
    /// When it has read all prompts that it was given.
    pub prefill_until: Moment,
    /// When a first event came from it last.
    pub last_first_event: Moment,
    /// It gets nothing until then.
    pub uncertain_until: Moment,
}
