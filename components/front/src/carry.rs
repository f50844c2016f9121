//! Carries one generation over to another engine, on its owner's order.

use std::{sync::Arc, time::Duration};

use async_channel::bounded;
use events::{Event, emit};
use placing::{Carried, Carry};
use timer::{Timer, boot_time};
use types::Moment;
use view::Target;

use crate::{
    face::{Copied, CopyOrder, Resume},
    live::{Live, Order},
    metrics::CarryEnding,
    refuse::millis,
    state::Front,
};

/// Time for the first copy. One of 6,000 tokens takes 0.33 s on a free link, twice that between
/// data centres; an engine that leaves is gone in two seconds.
const COPY_PATIENCE: Duration = Duration::from_millis(1_800);
/// Time for the final copy, which holds what came since the first one began: a few dozen tokens.
const LAST_PATIENCE: Duration = Duration::from_millis(700);
/// Time for the generation to go on at the other engine.
const SPLICE_PATIENCE: Duration = Duration::from_millis(1_600);

/// Why a generation was not carried over.
struct Failure {
    outcome: Carried,
    reason: Arc<str>,
}

impl Failure {
    fn new(outcome: Carried, reason: impl Into<Arc<str>>) -> Self {
        Self {
            outcome,
            reason: reason.into(),
        }
    }
}

/// Carries a generation over.
pub async fn carry(front: &Front, order: &Carry) -> Carried {
    let Some(live) = front.live.get(&order.run) else {
        return Carried::Nothing;
    };
    let source = live.target();
    if source.id != order.from || !live.begin_carry() {
        return Carried::Nothing;
    }
    let from = boot_time();
    let result = perform(front, &live, &source, order).await;
    live.end_carry();
    let outcome = match result {
        Ok(stopped) => {
            let now = boot_time();
            emit(&Event::GenerationCarried {
                id: Arc::clone(&order.run),
                from: Arc::clone(&order.from),
                to: Arc::clone(&order.to),
                copy_ms: millis(stopped.saturating_sub(from)),
                pause_ms: millis(now.saturating_sub(stopped)),
            });
            Carried::Done
        }
        Err(failure) => {
            emit(&Event::CarryFailed {
                id: Arc::clone(&order.run),
                from: Arc::clone(&order.from),
                to: Arc::clone(&order.to),
                reason: failure.reason,
            });
            failure.outcome
        }
    };
    count(front, outcome);
    outcome
}

fn count(front: &Front, outcome: Carried) {
    let outcome = match outcome {
        Carried::Done => "done",
        Carried::NoRoom => "no_room",
        Carried::Nothing => "nothing",
        Carried::Lost => "lost",
    };
    let ending = CarryEnding { outcome };
    front.metrics.carries.get_or_create(&ending).inc();
}

/// Copies, stops, and goes on; tells when the engine was told to stop.
async fn perform(
    front: &Front,
    live: &Live,
    source: &Arc<Target>,
    order: &Carry,
) -> Result<Moment, Failure> {
    let to = front
        .view
        .target(&order.to)
        .ok_or_else(|| Failure::new(Carried::NoRoom, "the destination is not listed"))?;
    let first = CopyOrder {
        run: &order.run,
        from: source.addr,
        to: to.addr,
        last: false,
        patience: COPY_PATIENCE,
    };
    let copy = whole(front.engines.copy(&first).await)?;
    live.copied(Arc::clone(&to), resume(source, copy));
    let stopped = boot_time();
    if !live.order(Order::Expect) {
        return Err(Failure::new(Carried::Nothing, "it has ended"));
    }
    let last = CopyOrder {
        last: true,
        patience: LAST_PATIENCE,
        ..first
    };
    match front.engines.copy(&last).await {
        Copied::Whole { copy } => {
            splice(live, &to, resume(source, copy)).await?;
            Ok(stopped)
        }
        Copied::NoRoom { copy: Some(copy) } => {
            // It has stopped, and can only go on where it was.
            splice(live, source, resume(source, copy)).await?;
            Err(Failure::new(Carried::NoRoom, "no room for the final copy"))
        }
        other => {
            // Fails only where the relay has ended.
            let _ = live.order(Order::Forget);
            whole(other).map(|_| stopped)
        }
    }
}

fn resume(source: &Target, copy: Arc<str>) -> Resume {
    Resume {
        source: source.addr,
        copy,
        after: None,
    }
}

/// The name of a whole copy.
fn whole(copied: Copied) -> Result<Arc<str>, Failure> {
    match copied {
        Copied::Whole { copy } => Ok(copy),
        Copied::NoRoom { .. } => Err(Failure::new(Carried::NoRoom, "no room for the copy")),
        Copied::NoRun => Err(Failure::new(Carried::Nothing, "it does not run there")),
        Copied::Busy => Err(Failure::new(Carried::Nothing, "it is being copied already")),
        Copied::Unknown { reason } => Err(Failure::new(Carried::Lost, reason)),
    }
}

async fn splice(live: &Live, target: &Arc<Target>, resume: Resume) -> Result<(), Failure> {
    let (tx, rx) = bounded(1);
    let order = Order::Resume {
        target: Arc::clone(target),
        resume,
        done: tx,
    };
    if !live.order(order) {
        return Err(Failure::new(Carried::Nothing, "it has ended"));
    }
    let done = Timer::new().within(SPLICE_PATIENCE, rx.recv()).await;
    match done {
        Some(Ok(true)) => Ok(()),
        _ => Err(Failure::new(
            Carried::Lost,
            "it does not go on from its copy",
        )),
    }
}
