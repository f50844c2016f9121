//! Graceful shutdown: how long requests are still served, and what is logged at the end.

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
use types::{Moment, millis};

use crate::state::Front;

/// How long new connections are still accepted after the order to stop. The load balancer needs two
/// failed health checks, a second apart, to stop using this instance.
const ACCEPT_TIME: Duration = Duration::from_millis(2_600);
/// Upper bound for the time in which new connections are accepted, as a fraction of the grace
/// period.
const ACCEPT_FRACTION: f64 = 0.5;
/// Time for the last messages to other instances: owners learn from them that capacity is free.
const LAST_MESSAGES_TIME: Duration = Duration::from_millis(50);
/// Part of the grace period that is not used: the signal is noticed with a delay, and the last
/// messages are sent after the last answer.
const RESERVE: Duration = Duration::from_millis(100);
/// Fraction of the rest in which requests are served to completion.
const SERVE_FRACTION: f64 = 0.97;
/// Fraction of the rest after which the answers to aborted requests have been sent too.
const ANSWER_FRACTION: f64 = 0.99;
/// Longest sleep while waiting for a deadline. The clock counts the time in which the machine is
/// suspended, while sleeps don't.
const TICK: Duration = Duration::from_millis(100);

/// Deadlines of a shutdown, relative to its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSchedule {
    /// Until when new connections are accepted.
    pub accept: Duration,
    /// Until when requests are served to completion; the rest is aborted then.
    pub serve: Duration,
    /// Until when the answers to aborted requests have been sent.
    pub answer: Duration,
}

impl DrainSchedule {
    /// The schedule for a grace period, after which the process is killed.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        let usable = grace.saturating_sub(RESERVE);
        Self {
            accept: ACCEPT_TIME.min(usable.mul_f64(ACCEPT_FRACTION)),
            serve: usable.mul_f64(SERVE_FRACTION),
            answer: usable.mul_f64(ANSWER_FRACTION),
        }
    }
}

/// The running server of callers' connections.
pub struct CallerServer {
    /// Set to stop accepting connections.
    pub stop: Arc<AtomicBool>,
    /// Number of open connections.
    pub open: Arc<AtomicUsize>,
    /// Ends when the last connection is closed.
    pub task: Task<()>,
}

/// Serves the open requests to completion, and those that still arrive until the load balancer
/// stops using this instance.
///
/// Ends once the last connection of a caller is closed. The number of open requests would be no
/// criterion, because one more may be read at any moment.
pub async fn drain(front: &Front, callers: &mut CallerServer) {
    let started = boot_time();
    let schedule = DrainSchedule::new(front.bounds.read().grace);
    emit(&Event::Draining {
        open: front.open_requests.count(),
    });
    front.shutdown.begin(started + schedule.serve);
    sleep_until(started + schedule.accept).await;
    callers.stop.store(true, Ordering::Release);
    emit(&Event::DrainClosing {
        connections: callers.open.load(Ordering::Acquire),
        open: front.open_requests.count() + front.generations.count(),
    });
    if !wait_for_end(&mut callers.task, started + schedule.serve).await {
        front.shutdown.abort();
        wait_for_end(&mut callers.task, started + schedule.answer).await;
    }
    wait_for_others(front, started + schedule.answer).await;
    Timer::after(LAST_MESSAGES_TIME).await;
}

/// Waits for a task until a deadline; returns whether the task has ended.
async fn wait_for_end(task: &mut Task<()>, deadline: Moment) -> bool {
    if task.is_finished() {
        return true;
    }
    let end = async {
        task.await;
        true
    };
    let late = async {
        sleep_until(deadline).await;
        false
    };
    future::or(end, late).await
}

/// Waits until the requests of other instances that pass through this one have ended.
async fn wait_for_others(front: &Front, deadline: Moment) {
    while front.others_requests.count() > 0 && boot_time() < deadline {
        Timer::after(TICK.min(LAST_MESSAGES_TIME)).await;
    }
}

/// Waits until a deadline. Time in which the machine is suspended counts.
async fn sleep_until(deadline: Moment) {
    loop {
        let left = deadline.saturating_sub(boot_time());
        if left.is_zero() {
            return;
        }
        Timer::after(left.min(TICK)).await;
    }
}

/// Logs the end of the shutdown, with connections that are still open and requests without an
/// answer.
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
