//! Whether a target that can't be asked has ended.
//!
//! That nothing could be sent shows little: a target at its connection limit refuses or resets new connections
//! and works on what it has. What opens a connection, sends an event or answers lives.

use std::{sync::Arc, time::Duration};

use reach::{ABSENCE_TIME, Absence};
use timer::{Timer, boot_time};
use types::Moment;
use view::Target;

use crate::{
    instances::wire::{Message, Reachability, Reply},
    reaching::{entry, paths},
    signals,
    state::Front,
};

/// Time for other instances to check a target: two connections of each that is asked.
const CHECK_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for further instances to reply after one that does not reach the target either.
const OTHERS_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for an engine to answer with its report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two looks at a target.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

impl Front {
    /// Since when nothing has shown that a target lives.
    #[must_use]
    pub fn absence(&self, target: &Target) -> Absence {
        let absence = self.paths.lock().absence(&target.id, target.started_at);
        absence.after(self.generations.last_event_from(&target.id))
    }
}

/// Whether a target has ended: its entry names another start, or nothing has reached it for [`ABSENCE_TIME`],
/// from here or from another instance.
pub async fn has_ended(front: &Arc<Front>, target: &Target) -> bool {
    let listed = front.view.target(&target.id);
    if listed.is_some_and(|listed| listed.started_at != target.started_at) {
        return true;
    }
    front.absence(target).shows_end(boot_time()) && !lives_for_others(front, target).await
}

/// Whether other instances show that a target lives which this one does not reach. Those with a stream from it
/// know, whichever they are, so several are asked.
async fn lives_for_others(front: &Arc<Front>, target: &Target) -> bool {
    let replies = entry::ask_several(front, &check_message(target), CHECK_TIMEOUT);
    let timer = Timer::new();
    let mut until = CHECK_TIMEOUT;
    loop {
        let left = until.saturating_sub(timer.now());
        let Some(Ok(reply)) = timer.within(left, replies.recv()).await else {
            return false;
        };
        match reply {
            Some(Reply::TargetChecked(Reachability::Reached)) => {
                front.record_reached_by_another(target);
                return true;
            }
            Some(Reply::TargetChecked(Reachability::Heard { age })) => {
                front.record_heard_by_another(target, age);
                if !front.absence(target).shows_end(boot_time()) {
                    return true;
                }
            }
            Some(Reply::TargetChecked(Reachability::NotReached)) => {
                until = until.min(timer.now() + OTHERS_TIMEOUT);
            }
            _ => {}
        }
    }
}

/// Whether an engine lives after one of its streams has ended: it reports, or opens a connection while it may not
/// be asked. One at its connection limit gets time for that.
pub async fn outlives_its_stream(front: &Arc<Front>, engine: &Arc<Target>) -> bool {
    let until = boot_time() + ABSENCE_TIME;
    loop {
        let lives = if front.pause_left(engine).is_some() {
            paths::verify(front, engine).await
        } else {
            let report = signals::request_report(front, engine, REPORT_TIMEOUT).await;
            report.is_ok()
        };
        if lives {
            return true;
        }
        if boot_time() >= until || has_ended(front, engine).await {
            return false;
        }
        smol::Timer::after(LOOK_PERIOD).await;
    }
}

/// Whether a target that refuses connections from here is really down: another instance is refused too,
/// while it reaches other targets. Without other instances, this one must reach another target itself.
pub async fn is_down_for_others(front: &Arc<Front>, target: &Target, since: Moment) -> bool {
    if front.peers.responsive_members().len() == 1 {
        return front.reached_another(target, since);
    }
    check_through_another(front, target).await == Some(Reachability::NotReached)
}

/// Whether another instance connects to a target; none if no other one can tell.
async fn check_through_another(front: &Arc<Front>, target: &Target) -> Option<Reachability> {
    let accept = |reply| match reply {
        Reply::TargetChecked(Reachability::Unknown) => None,
        Reply::TargetChecked(reachability) => Some(reachability),
        _ => None,
    };
    let message = check_message(target);
    let reachability = entry::control(front, &message, CHECK_TIMEOUT, accept).await;
    match reachability {
        Some(Reachability::Reached) => front.record_reached_by_another(target),
        Some(Reachability::Heard { age }) => front.record_heard_by_another(target, age),
        _ => {}
    }
    reachability
}

fn check_message(target: &Target) -> Message {
    Message::CheckTarget {
        target: Arc::clone(&target.id),
        started_at: target.started_at,
    }
}
