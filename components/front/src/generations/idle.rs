//! Judges a generation whose stream has fallen silent.
//!
//! Three things look the same to the caller: an engine that is slow or reads a prompt anew, one
//! that is dead, and a connection that has gone silent while its engine goes on. The first must be
//! waited for, the second never answers, and the third can be saved from the engine's memory. An
//! engine that does not answer proves nothing, for it may be our own link; so a generation is only
//! given up once the engine's listing is gone as well.

use std::time::Duration;

use timer::boot_time;
use types::Moment;

use crate::{adapters::EngineReport, generations::active::GenerationHandle, state::Front};

/// IdleMonitor after which the engine is asked: five times the longest pause that callers' sheets
/// allow, 180 ms. Events come every 36 ms as a rule.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two questions about one stream.
const ASK_EVERY: Duration = Duration::from_millis(900);
/// Time for an engine to say what it holds; it answers at once, within milliseconds.
pub const REPORT_PATIENCE: Duration = Duration::from_millis(250);
/// Findings in a row that must be the same before anything is done: a report may be half a second
/// old, and a question may be lost.
const AGREE: u32 = 2;

/// What to do about a silent stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Diagnosis {
    /// Wait on.
    Wait,
    /// The engine goes on, and its events don't arrive: take the generation elsewhere.
    ConnectionLost,
    /// The engine is gone.
    EngineGone,
}

/// What is known of the engine of a silent stream.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Whether it is still listed.
    pub listed: bool,
    /// What it said, if it answered.
    pub report: Option<&'a EngineReport>,
    /// Events that have arrived from all engines of this generation.
    pub heard: u64,
}

/// One stream's silence.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleMonitor {
    since: Moment,
    asked: Option<Moment>,
    /// Reports in a row that told of events which have not arrived.
    ahead: u32,
    /// Questions in a row that an engine which is not listed left without an answer.
    unanswered: u32,
}

impl IdleMonitor {
    /// Begins to listen.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            since: now,
            asked: None,
            ahead: 0,
            unanswered: 0,
        }
    }

    /// Notes that something arrived.
    pub const fn heard(&mut self, now: Moment) {
        *self = Self::new(now);
    }

    /// When the engine is to be asked next.
    #[must_use]
    pub fn ask_at(&self) -> Moment {
        self.asked
            .map_or(self.since + IDLE_TIMEOUT, |at| at + ASK_EVERY)
    }

    /// Judges what was found out about the engine of `run`.
    pub fn judge(&mut self, now: Moment, run: &str, evidence: &Observation<'_>) -> Diagnosis {
        self.asked = Some(now);
        let made = evidence
            .report
            .and_then(|report| report.generations.iter().find(|it| *it.generation == *run));
        // A report is older than what arrived after it; more events in it can't be on their way.
        let ahead = made.is_some_and(|it| it.events > evidence.heard);
        let dead = evidence.report.is_none() && !evidence.listed;
        self.ahead = if ahead { self.ahead + 1 } else { 0 };
        self.unanswered = if dead { self.unanswered + 1 } else { 0 };
        if self.ahead >= AGREE {
            return Diagnosis::ConnectionLost;
        }
        if self.unanswered >= AGREE {
            return Diagnosis::EngineGone;
        }
        Diagnosis::Wait
    }
}

/// Finds out about the engine of a silent generation, and judges.
pub async fn diagnose(
    front: &Front,
    live: &GenerationHandle,
    silence: &mut IdleMonitor,
) -> Diagnosis {
    let target = live.target();
    let report = front.engines.report(target.addr, REPORT_PATIENCE).await;
    let evidence = Observation {
        listed: front.view.target(&target.id).is_some(),
        report: report.as_ref().ok(),
        heard: live.events_received(),
    };
    silence.judge(boot_time(), &live.run, &evidence)
}
