//! Finds out why no events of a generation arrive.
//!
//! Three cases look the same from the stream alone: the engine is slow or prefills a prompt again,
//! the engine has crashed, or the connection is dead while the engine continues. In the first case
//! the relay must wait; in the second no event will ever come; in the third the generation can be
//! recovered from the engine's memory. An engine that does not answer proves nothing, because the
//! link of this instance may be down. So a generation is given up only if its engine is no longer
//! listed either.

use std::{sync::Arc, time::Duration};

use timer::boot_time;
use types::Moment;

use crate::{adapters::EngineReport, generations::active::GenerationHandle, signals, state::Front};

/// Time without events after which the engine is asked for a report: five times the longest gap
/// between events that callers accept, 180 ms. Events usually arrive every 36 ms.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two requests for a report while a stream stays idle.
const REPORT_PERIOD: Duration = Duration::from_millis(900);
/// Time for an engine to answer with its report; it normally takes a few milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Consecutive observations that must agree before anything is done. A report may be half a second
/// old, and a request for one may be lost.
const CONFIRMATIONS: u32 = 2;

/// Why a stream is idle, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Diagnosis {
    /// Not known yet, or the engine is slow: keep waiting.
    Wait,
    /// The engine continues, but its events don't arrive: resume the generation elsewhere.
    ConnectionLost,
    /// The engine has crashed.
    EngineGone,
}

/// One observation of the engine of an idle stream.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Whether the engine is still listed.
    pub listed: bool,
    /// The engine's report, if it answered.
    pub report: Option<&'a EngineReport>,
    /// Events of the generation that have been received, from all engines.
    pub events_received: u64,
}

/// Idle state of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleMonitor {
    /// When the last bytes arrived.
    idle_since: Moment,
    requested_at: Option<Moment>,
    /// Consecutive reports with more events than have been received.
    reports_ahead: u32,
    /// Consecutive requests that an engine which is not listed did not answer.
    unanswered: u32,
}

impl IdleMonitor {
    /// Creates the state of a stream whose idle time begins at `now`.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            idle_since: now,
            requested_at: None,
            reports_ahead: 0,
            unanswered: 0,
        }
    }

    /// Resets the state because bytes have arrived.
    pub const fn reset(&mut self, now: Moment) {
        *self = Self::new(now);
    }

    /// When the engine is to be asked for its next report.
    #[must_use]
    pub fn next_report_at(&self) -> Moment {
        self.requested_at
            .map_or(self.idle_since + IDLE_TIMEOUT, |at| at + REPORT_PERIOD)
    }

    /// Postpones the next request for a report.
    pub const fn postpone(&mut self, now: Moment) {
        self.requested_at = Some(now);
    }

    /// Adds an observation of the engine of a generation, and returns the diagnosis.
    pub fn observe(&mut self, now: Moment, id: &str, observation: &Observation<'_>) -> Diagnosis {
        self.requested_at = Some(now);
        let reported = observation
            .report
            .and_then(|report| report.generations.iter().find(|it| *it.generation == *id));
        // A report is older than what has been received since it was requested, so events that it
        // counts beyond that are lost and not merely delayed.
        let ahead = reported.is_some_and(|it| it.events > observation.events_received);
        let may_be_gone = observation.report.is_none() && !observation.listed;
        self.reports_ahead = if ahead { self.reports_ahead + 1 } else { 0 };
        self.unanswered = if may_be_gone { self.unanswered + 1 } else { 0 };
        if self.reports_ahead >= CONFIRMATIONS {
            return Diagnosis::ConnectionLost;
        }
        if self.unanswered >= CONFIRMATIONS {
            return Diagnosis::EngineGone;
        }
        Diagnosis::Wait
    }
}

/// Requests a report from the engine of an idle stream, and returns the diagnosis.
pub async fn diagnose(
    front: &Arc<Front>,
    generation: &GenerationHandle,
    monitor: &mut IdleMonitor,
) -> Diagnosis {
    let target = generation.target();
    // Without a request, no answer proves nothing.
    if front.pause_left(&target).is_some() {
        monitor.postpone(boot_time());
        return Diagnosis::Wait;
    }
    let report = signals::request_report(front, &target, REPORT_TIMEOUT).await;
    let observation = Observation {
        listed: front.view.target(&target.id).is_some(),
        report: report.as_ref().ok(),
        events_received: generation.events_received(),
    };
    monitor.observe(boot_time(), &generation.id, &observation)
}
