//! What targets say of themselves in the heads of their answers.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use types::millis;
use view::Target;

use crate::{
    adapters::{EngineReport, KvCopyOutcome, KvCopyRequest, TargetSignals},
    state::{Front, elapsed_since},
};

/// Records what a target has said of itself in an answer.
pub fn observe(front: &Front, target: &Target, signals: TargetSignals) {
    if signals.is_leaving {
        front.metrics.said_leaving.inc();
        let read = front.view.targets_read_at().unwrap_or_default();
        emit(&Event::TargetSaidLeaving {
            target: Arc::clone(&target.id),
            started_at: target.started_at.unwrap_or_default(),
            listing_age_ms: millis(elapsed_since(read)),
        });
    }
    if let Some(pause) = signals.pause {
        front.metrics.pauses.inc();
        emit(&Event::TargetPaused {
            target: Arc::clone(&target.id),
            pause_ms: millis(pause),
        });
    }
}

/// Requests an engine's report, and records what the engine says of itself.
///
/// # Errors
/// Returns why there is no report.
pub async fn request_report(
    front: &Front,
    engine: &Target,
    timeout: Duration,
) -> Result<EngineReport, Arc<str>> {
    let answer = front.engines.report(engine.addr, timeout).await;
    observe(front, engine, answer.signals);
    answer.value
}

/// Sends a copy request to the engine that runs the generation, and records what the engine says of
/// itself.
pub async fn copy_kv(front: &Front, source: &Target, request: &KvCopyRequest<'_>) -> KvCopyOutcome {
    let answer = front.engines.copy_kv(request).await;
    observe(front, source, answer.signals);
    answer.value
}
