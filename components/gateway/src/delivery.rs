//! Carrying a stream to its end, also when its caller goes away.

use std::{sync::Arc, time::Duration};

use ::quarantine::Fingerprint;
use events::Event;
use futures_lite::future;
use relay::{ActiveStream, StreamEnd, StreamError, TokenSink};
use targets::Piece;
use types::{ServiceKind, WorkspaceId};

use crate::{
    admission::WorkOutcome, attempt, gateway::Core, in_flight::InFlightGuard, metrics::Outcome,
    refusals, streams::Superseded, writer::Writer,
};

/// How long a generation runs on for a caller that went away, so that it can come back. After
/// that it is cancelled, because its memory is needed.
pub const GRACE: Duration = Duration::from_secs(10);

/// A stream that is carried to a caller.
pub struct Carried {
    /// The gateway.
    pub core: Arc<Core>,
    /// The generation.
    pub running: ActiveStream,
    /// Who asked.
    pub workspace: WorkspaceId,
    /// What stays the same of the request when it is sent again, where it is known: not where its
    /// caller goes on with the stream of another instance.
    pub fingerprint: Option<Fingerprint>,
    /// The way to the caller.
    pub writer: Writer,
    /// Counts it as in flight; `None` once the request as such is over here.
    pub flight: Option<InFlightGuard>,
}

impl Carried {
    fn note(&self, outcome: Outcome) {
        if let Some(flight) = &self.flight {
            flight.note(outcome);
        }
    }

    fn finished(&self) -> WorkOutcome {
        WorkOutcome::Finished {
            produced: self.running.produced(),
            first: self.running.time_to_first_token().unwrap_or_default(),
            took: self.running.elapsed(),
        }
    }
}

/// How carrying ended.
enum Stop {
    /// The generation ended, or its caller went away.
    End(StreamEnd),
    /// The caller goes on with it over another connection.
    Superseded,
}

/// Carries a stream until its end.
pub async fn carry(mut carried: Carried, piece: Option<Piece>) {
    let core = Arc::clone(&carried.core);
    let target = carried.running.target().id.clone();
    let held = core.streams.hold(&target, carried.running.id());
    let stop = pump(&mut carried, piece, held.superseded()).await;
    if !matches!(stop, Stop::End(StreamEnd::Closed)) {
        drop(held);
        return finish(carried, stop, false).await;
    }
    let stop = linger(&mut carried, held.superseded()).await;
    drop(held);
    finish(carried, stop, true).await;
}

async fn pump(carried: &mut Carried, piece: Option<Piece>, superseded: Superseded) -> Stop {
    let Carried {
        running, writer, ..
    } = carried;
    let work = async {
        let written = match piece {
            Some(Piece::Tokens { first, data, .. }) => writer.write_tokens(first, data).await,
            Some(Piece::End) => return Stop::End(StreamEnd::Finished),
            None => Ok(()),
        };
        match written {
            Ok(()) => Stop::End(running.forward_to(writer).await),
            Err(_) => Stop::End(StreamEnd::Closed),
        }
    };
    or_superseded(work, superseded).await
}

/// Reads on for an absent caller, for a while.
async fn linger(carried: &mut Carried, superseded: Superseded) -> Stop {
    let timer = carried.core.timer;
    let grace = carried.core.grace;
    let read = async {
        match read_on(carried).await {
            Ok(()) => Stop::End(StreamEnd::Finished),
            // Whether the link broke or the engine did, the caller may still come back.
            Err(_) => future::pending().await,
        }
    };
    let over = async {
        timer.sleep(grace).await;
        Stop::End(StreamEnd::Closed)
    };
    or_superseded(future::or(read, over), superseded).await
}

/// Reads a stream to its end for its account only. A broken link is not mended: maybe it broke
/// because the caller goes on at another instance, and resuming here would take it from there.
async fn read_on(carried: &mut Carried) -> Result<(), StreamError> {
    let Carried {
        running, writer, ..
    } = carried;
    running.disable_resume();
    while let Piece::Tokens { .. } = running.next().await? {
        writer.note(running.produced());
    }
    Ok(())
}

async fn or_superseded(work: impl Future<Output = Stop>, superseded: Superseded) -> Stop {
    let other = async {
        superseded.wait().await;
        Stop::Superseded
    };
    future::or(other, work).await
}

async fn finish(carried: Carried, stop: Stop, left: bool) {
    tell_resumes(&carried.core, &carried.running);
    match stop {
        Stop::End(StreamEnd::Finished) => finished(carried, left).await,
        Stop::End(StreamEnd::Failed(broken)) => broke_off(carried, &broken).await,
        Stop::End(StreamEnd::Closed) => cancelled(carried).await,
        Stop::Superseded => superseded(carried).await,
    }
}

/// Counts and logs the new connections that a stream needed.
pub fn tell_resumes(core: &Core, running: &ActiveStream) {
    let times = running.resume_count();
    if times == 0 {
        return;
    }
    core.metrics.resumed(times);
    events::emit(&Event::LinkReplaced {
        target: running.target().id.clone(),
        times,
    });
}

async fn finished(mut carried: Carried, left: bool) {
    if let Some(fingerprint) = &carried.fingerprint {
        carried.core.quarantine.record_success(fingerprint);
    }
    let outcome = carried.finished();
    // First, as a slow caller may take a while to read the rest.
    carried.writer.finish(outcome);
    let gone = left || carried.writer.done().await.is_err();
    carried.note(if gone { Outcome::Left } else { Outcome::Whole });
}

async fn broke_off(mut carried: Carried, broken: &StreamError) {
    let produced = carried.running.produced();
    if let Some(fingerprint) = carried.fingerprint {
        let (core, target) = (&carried.core, carried.running.target());
        let sent = core
            .admission
            .now()
            .saturating_sub(carried.running.elapsed());
        core.look_into(fingerprint, ServiceKind::Model, target, sent);
    }
    let refusal = refusals::partial(&format!("{broken}; {produced} tokens were produced"));
    carried.writer.finish(WorkOutcome::Failed);
    carried.core.metrics.refused(&refusal.code);
    carried.note(Outcome::Partial);
    events::emit(&Event::AnswerCut {
        workspace: carried.workspace.clone(),
        target: carried.running.target().id.clone(),
        reason: broken.to_string().into(),
    });
    // If the caller has gone as well there is nobody left to tell.
    let _ = carried.writer.partial(&refusal).await;
}

async fn cancelled(carried: Carried) {
    let Carried {
        running,
        mut writer,
        flight,
        ..
    } = carried;
    let outcome = attempt::cancelled(running).await;
    writer.finish(outcome);
    drop(flight);
}

/// The caller goes on over another connection, but the generation still takes up memory under
/// the permit that is held here. So it is read on until its end, and the permit with it; the
/// request as such is over here, and a shutdown does not wait for it.
async fn superseded(mut carried: Carried) {
    carried.writer.close();
    carried.flight = None;
    let ended = read_on(&mut carried).await;
    let outcome = match ended {
        Ok(()) => carried.finished(),
        Err(_) => WorkOutcome::Failed,
    };
    carried.writer.finish(outcome);
    carried.running.detach();
}
