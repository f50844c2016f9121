//! A planned stop: what is served until when, and what the process leaves behind.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use events::{Event, emit};
use smol::{Task, Timer, future};
use timer::boot_time;
use types::Moment;

use crate::{callers::refusal::millis, state::Front};

/// After an order to stop new connections are still taken for this long: the balancer needs two
/// questions, a second apart, to leave this instance out.
const LINGER: Duration = Duration::from_millis(2_600);
/// Part of the time at most in which new connections are taken.
const LINGER_PART: f64 = 0.5;
/// Time for the last messages to other instances to leave: owners learn that places are free.
const LAST_NOTES: Duration = Duration::from_millis(50);
/// Part of the grace that is not used: a signal is noticed late, and the last messages come after
/// the last answer.
const RESERVE: Duration = Duration::from_millis(100);
/// Part of the rest in which requests are served to their ends.
const SERVE_PART: f64 = 0.97;
/// Part of the rest after which even answers to those that are given up have left.
const ANSWER_PART: f64 = 0.99;
/// Time between two looks at the clock that counts suspension; sleeps don't.
const TICK: Duration = Duration::from_millis(100);

/// When the steps of a stop are due, counted from its beginning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSchedule {
    /// New connections are taken until then.
    pub linger: Duration,
    /// Requests are served to their ends until then; what is left is given up.
    pub serve: Duration,
    /// The answers to what is given up have left by then.
    pub answer: Duration,
}

impl DrainSchedule {
    /// The schedule for a grace, after which the process is killed.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        let usable = grace.saturating_sub(RESERVE);
        Self {
            linger: LINGER.min(usable.mul_f64(LINGER_PART)),
            serve: usable.mul_f64(SERVE_PART),
            answer: usable.mul_f64(ANSWER_PART),
        }
    }
}

/// The server of callers.
pub struct CallerServer {
    /// Its switch to take no further connections.
    pub stop: Arc<AtomicBool>,
    /// Connections that are open.
    pub open: Arc<AtomicUsize>,
    /// Ends with the last connection.
    pub task: Task<()>,
}

/// Serves what there is to its end, and what still comes while the balancer learns of the stop.
///
/// It is over once the last connection of a caller has ended: a look at the requests that are open
/// says nothing about the next moment, in which one more may be read.
pub async fn drain(front: &Front, callers: &mut CallerServer) {
    let began = boot_time();
    let due = DrainSchedule::new(front.bounds.read().grace);
    emit(&Event::Draining {
        open: front.open_requests.count(),
    });
    front.shutdown.begin(began + due.serve);
    until(began + due.linger).await;
    callers.stop.store(true, Ordering::Release);
    emit(&Event::DrainClosing {
        connections: callers.open.load(Ordering::Acquire),
        open: front.open_requests.count() + front.generations.count(),
    });
    if !ended(&mut callers.task, began + due.serve).await {
        front.shutdown.abort();
        ended(&mut callers.task, began + due.answer).await;
    }
    Timer::after(LAST_NOTES).await;
}

/// Waits for the end of a task until a moment; tells whether it has come.
async fn ended(task: &mut Task<()>, moment: Moment) -> bool {
    if task.is_finished() {
        return true;
    }
    let end = async {
        task.await;
        true
    };
    let late = async {
        until(moment).await;
        false
    };
    future::or(end, late).await
}

/// Waits until a moment. A machine that was suspended meanwhile has that much less time.
async fn until(moment: Moment) {
    loop {
        let left = moment.saturating_sub(boot_time());
        if left.is_zero() {
            return;
        }
        Timer::after(left.min(TICK)).await;
    }
}

/// Logs what the process leaves behind: connections of callers, and requests without an answer.
pub fn log_stopped(front: &Front, callers: &CallerServer) {
    let unanswered = front.open_requests.list();
    for (id, held) in &unanswered {
        emit(&Event::RequestUnanswered {
            id: Arc::clone(id),
            held_ms: millis(*held),
        });
    }
    let connections = callers.open.load(Ordering::Acquire);
    if connections == 0 {
        emit(&Event::Stopped);
        return;
    }
    emit(&Event::StoppedShort {
        connections,
        unanswered: unanswered.len(),
        cut: front.generations.count(),
    });
}
