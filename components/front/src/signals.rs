//! What targets say of themselves in the heads of their answers, and what that means for further
//! requests. All requests to targets pass the check here: first ones, retries, resumed generations,
//! copy requests and probes.
//!
//! A target that leaves gets no new work from the first answer on that says so, whether or not the
//! store or another instance says the same.

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use events::{Event, emit};
use timer::boot_time;
use types::millis;
use view::Target;

use crate::{
    adapters::{EngineAnswer, EngineReport, KvCopyOutcome, KvCopyRequest, TargetSignals},
    state::{Front, elapsed_since},
    store::follow,
};

/// Part of the limit for requests to a leaving target during which a generation may still be
/// resumed there; the rest is for the request to arrive.
const RESUME_FRACTION: f64 = 0.8;
/// What a request to a target is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// New work.
    NewWork,
    /// A generation that the target has in its memory, or the control of one.
    RunningWork,
}

/// Why nothing may be sent to a target.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Withheld {
    /// It is leaving or gone.
    #[display("it is leaving")]
    Leaving,
}

/// Records what a target has said of itself in an answer.
pub fn observe(front: &Arc<Front>, target: &Target, signals: TargetSignals) {
    if signals.is_leaving {
        observe_leaving(front, target);
    }
    if let Some(pause) = signals.pause {
        front.metrics.pauses.inc();
        emit(&Event::TargetPaused {
            target: Arc::clone(&target.id),
            pause_ms: millis(pause),
        });
    }
}

fn observe_leaving(front: &Arc<Front>, target: &Target) {
    front.metrics.said_leaving.inc();
    let read = front.view.targets_read_at().unwrap_or_default();
    if follow::mark_leaving(front, &target.id, target.started_at) {
        emit(&Event::TargetSaidLeaving {
            target: Arc::clone(&target.id),
            started_at: target.started_at.unwrap_or_default(),
            listing_age_ms: millis(elapsed_since(read)),
        });
    }
}

/// Why a request may not be sent to a target now, if it may not. To be asked right before sending.
#[must_use]
pub fn withheld(front: &Front, target: &Target, purpose: Purpose) -> Option<Withheld> {
    let now = boot_time();
    let since = front.view.departed_since(now, target)?;
    let limit = front.bounds.read().drain_limit.mul_f64(RESUME_FRACTION);
    let is_allowed = purpose == Purpose::RunningWork && now.saturating_sub(since) < limit;
    (!is_allowed).then_some(Withheld::Leaving)
}

/// Requests an engine's report, and records what the engine says of itself.
///
/// # Errors
/// Returns why there is no report.
pub async fn request_report(
    front: &Arc<Front>,
    engine: &Target,
    timeout: Duration,
) -> Result<EngineReport, Arc<str>> {
    let EngineAnswer { value, signals } = front.engines.report(engine.addr, timeout).await;
    // The address of an engine that has ended may be used by another one.
    if let Ok(report) = &value
        && report.started_at.is_some()
        && report.started_at != engine.started_at
    {
        return Err("another process answers at its address".into());
    }
    observe(front, engine, signals);
    value
}

/// Sends a copy request to the engine that runs the generation, and records what the engine says of
/// itself.
pub async fn copy_kv(
    front: &Arc<Front>,
    source: &Target,
    request: &KvCopyRequest<'_>,
) -> KvCopyOutcome {
    let EngineAnswer { value, signals } = front.engines.copy_kv(request).await;
    observe(front, source, signals);
    value
}
