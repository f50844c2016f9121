//! Carrying a stream to its end, also when its caller goes away.

use std::{sync::Arc, time::Duration};

use futures_lite::future;
use relay::{Broken, End, Running, Sink};
use targets::Piece;
use types::{Class, Refusal};

use crate::{
    admission::Ending, flight::Flight, metrics::Outcome, parts::Core, refusals,
    streams::Superseded, writer::Writer,
};

/// How long a generation runs on for a caller that went away, so that it can come back. After
/// that it is cancelled, because its memory is needed.
pub const GRACE: Duration = Duration::from_secs(10);

/// A stream that is carried to a caller.
pub struct Carried {
    /// The gateway.
    pub core: Arc<Core>,
    /// Its urgency.
    pub class: Class,
    /// The generation.
    pub running: Running,
    /// The way to the caller.
    pub writer: Writer,
    /// Counts it as in flight.
    pub flight: Flight,
}

/// How carrying ended.
enum Stop {
    /// The generation ended, or its caller went away.
    End(End),
    /// The caller goes on with it over another connection.
    Superseded,
}

/// Carries a stream until its end.
pub async fn carry(mut carried: Carried, piece: Option<Piece>) {
    let core = Arc::clone(&carried.core);
    let target = carried.running.target().id.clone();
    let held = core.streams.hold(&target, carried.running.id());
    let mut stop = pump(&mut carried, piece, held.superseded()).await;
    let mut left = false;
    if stop.is_closed() {
        left = true;
        stop = linger(&mut carried, held.superseded()).await;
    }
    drop(held);
    finish(carried, stop, left).await;
}

impl Stop {
    const fn is_closed(&self) -> bool {
        matches!(self, Self::End(End::Closed))
    }
}

async fn pump(carried: &mut Carried, piece: Option<Piece>, superseded: Superseded) -> Stop {
    let Carried {
        running, writer, ..
    } = carried;
    let work = async {
        let written = match piece {
            Some(Piece::Tokens { first, data, .. }) => writer.tokens(first, data).await,
            Some(Piece::End) => return Stop::End(End::Finished),
            None => Ok(()),
        };
        match written {
            Ok(()) => Stop::End(running.pump(writer).await),
            Err(_) => Stop::End(End::Closed),
        }
    };
    or_superseded(work, superseded).await
}

/// Reads on for an absent caller. A broken link is not mended meanwhile: maybe it broke because
/// the caller goes on at another instance, and then resuming here would take it from there.
async fn linger(carried: &mut Carried, superseded: Superseded) -> Stop {
    let core = Arc::clone(&carried.core);
    let Carried {
        running, writer, ..
    } = carried;
    running.stay_passive();
    let read = async {
        loop {
            match running.next().await {
                Ok(Piece::Tokens { .. }) => writer.note(running.produced()),
                Ok(Piece::End) => return Stop::End(End::Finished),
                Err(_) => return future::pending().await,
            }
        }
    };
    let over = async {
        core.timer.sleep(GRACE).await;
        Stop::End(End::Closed)
    };
    or_superseded(future::or(read, over), superseded).await
}

async fn or_superseded(work: impl Future<Output = Stop>, superseded: Superseded) -> Stop {
    let other = async {
        superseded.wait().await;
        Stop::Superseded
    };
    future::or(other, work).await
}

async fn finish(carried: Carried, stop: Stop, left: bool) {
    let Carried {
        core,
        class,
        running,
        writer,
        flight,
    } = carried;
    let produced = running.produced();
    let first = running.first().unwrap_or_default();
    let took = running.took();
    core.metrics.resumed(running.resumes());
    let (ending, outcome) = match stop {
        Stop::End(End::Finished) => {
            let written = writer.done().await;
            let gone = left || written.is_err();
            let outcome = if gone { Outcome::Left } else { Outcome::Whole };
            let ending = Ending::Finished {
                produced,
                first,
                took,
            };
            (ending, outcome)
        }
        Stop::End(End::Broken(broken)) => {
            let refusal = partial(&broken, produced);
            core.metrics.refused(&refusal.code);
            // If the caller has gone as well there is nobody left to tell.
            let _ = writer.partial(&refusal).await;
            drop(running);
            (Ending::Failed, Outcome::Partial)
        }
        Stop::End(End::Closed) => {
            running.cancel().await;
            (Ending::Cancelled { produced }, Outcome::Left)
        }
        Stop::Superseded => {
            running.release();
            (Ending::Cancelled { produced }, Outcome::Left)
        }
    };
    writer.into_permit().end(ending);
    core.metrics.ended(class, outcome);
    drop(flight);
}

fn partial(broken: &Broken, produced: u64) -> Refusal {
    refusals::partial(&format!("{broken}; {produced} tokens were produced"))
}
