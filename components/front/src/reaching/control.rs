//! Control requests to engines that another instance can't connect to: reports and copies.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use reach::Path;
use view::Target;

use crate::{
    adapters::{EngineAnswer, EngineReport, KvCopyOutcome, KvCopyRequest, TargetSignals},
    instances::wire::{Message, Reply},
    reaching::{entry, paths},
    signals,
    state::Front,
};

/// Requests an engine's report for another instance; none if the engine was not reached from here.
pub async fn report(
    front: &Arc<Front>,
    engine: &str,
    started_at: Option<u64>,
    timeout: Duration,
) -> Option<EngineAnswer<EngineReport>> {
    let engine = reachable(front, engine, started_at)?;
    let EngineAnswer { value, signals } = front.engines.report(engine.addr, timeout).await;
    signals::observe(front, &engine, signals);
    if value.is_err() {
        paths::verify_soon(front, &engine);
    }
    let value = value.ok()?;
    Some(EngineAnswer { value, signals })
}

/// Sends an engine a copy request for another instance; none if the request was not sent.
pub async fn copy_kv<'a>(
    front: &Arc<Front>,
    source: &str,
    started_at: Option<u64>,
    request: impl FnOnce(SocketAddr) -> KvCopyRequest<'a>,
) -> Option<EngineAnswer<KvCopyOutcome>> {
    let source = reachable(front, source, started_at)?;
    let answer = front.engines.copy_kv(&request(source.addr)).await;
    signals::observe(front, &source, answer.signals);
    if let KvCopyOutcome::Unreached { reason, is_refused } = &answer.value {
        front.record_no_connection(&source, reason, *is_refused);
        return None;
    }
    Some(answer)
}

/// An engine that this instance can connect to as far as is known, and that asks for no pause.
fn reachable(front: &Front, engine: &str, started_at: Option<u64>) -> Option<Arc<Target>> {
    let engine = front.view.target(engine)?;
    let is_same = engine.started_at == started_at;
    let is_free = front.pause_left(&engine).is_none();
    (is_same && is_free && front.path(&engine) == Path::Direct).then_some(engine)
}

/// Requests a report through other instances.
///
/// # Errors
/// Returns why there is no report.
pub async fn report_through_others(
    front: &Arc<Front>,
    engine: &Target,
    timeout: Duration,
) -> EngineAnswer<Result<EngineReport, Arc<str>>> {
    let message = Message::EngineReport {
        target: Arc::clone(&engine.id),
        started_at: engine.started_at,
        timeout,
    };
    let accept = |reply| match reply {
        Reply::EngineReport(answer) => answer,
        _ => None,
    };
    match entry::control(front, &message, timeout, accept).await {
        Some(EngineAnswer { value, signals }) => {
            front.record_reached_by_another(engine);
            EngineAnswer {
                value: Ok(value),
                signals,
            }
        }
        None => EngineAnswer {
            value: Err("no instance reaches the engine".into()),
            signals: TargetSignals::default(),
        },
    }
}

/// Sends a copy request through another instance. A final copy stops the generation, so it is sent to
/// one instance only: whether a second one would find the generation running is not known. None if no instance
/// has sent it.
pub async fn copy_through_others(
    front: &Arc<Front>,
    source: &Target,
    request: &KvCopyRequest<'_>,
) -> Option<EngineAnswer<KvCopyOutcome>> {
    let message = Message::CopyKv {
        target: Arc::clone(&source.id),
        started_at: source.started_at,
        generation: request.generation.into(),
        to: request.to,
        is_final: request.is_final,
        timeout: request.timeout,
    };
    let unknown = EngineAnswer {
        value: KvCopyOutcome::Unknown {
            reason: "no answer through another instance".into(),
        },
        signals: TargetSignals::default(),
    };
    let accept = |reply| match reply {
        Some(Reply::KvCopied(Some(answer))) => Some(answer),
        // The engine was not reached, and nothing was sent.
        Some(_) => None,
        None => Some(unknown.clone()),
    };
    let answer = entry::control_with(front, &message, request.timeout, accept).await?;
    if !matches!(answer.value, KvCopyOutcome::Unknown { .. }) {
        front.record_reached_by_another(source);
    }
    Some(answer)
}
