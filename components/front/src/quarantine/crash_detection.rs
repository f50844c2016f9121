//! Finds out whether a target crashed while it was running a request.
//!
//! A lost connection alone is no proof: a reset, a network fault and a planned departure look the
//! same at first, and a target at its connection limit refuses new ones. A target has crashed if nothing
//! reaches it for a time, from here and from another instance, or if its listing disappears while connections
//! to it don't open, or shows another incarnation, although the target was not marked as leaving. What this
//! instance alone sees may be its own network.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ::quarantine::{Evidence, Fingerprint, PartEvidence, TargetIncarnation};
use events::{Event, emit};
use parking_lot::Mutex;
use placing::GenerationId;
use reach::Path;
use timer::boot_time;
use types::{Moment, ServiceId, TargetId};
use view::Target;

use crate::{
    callers::call::Call,
    quarantine::{
        aggregation,
        parts::{self, Progress},
    },
    reaching::{paths, presence},
    state::Front,
};

/// Time for the listing of a crashed target to expire, and for the change to arrive here.
const LISTING_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time between two checks of the listing.
const LISTING_POLL_PERIOD: Duration = Duration::from_millis(250);
/// How long a crash is remembered for other requests that the target was running.
const CRASH_RETENTION: Duration = Duration::from_secs(10);

/// Incarnations of targets that have crashed recently.
#[derive(Debug, Default)]
pub struct RecentCrashes {
    crashed_at: Mutex<HashMap<(TargetId, Option<u64>), Moment>>,
}

impl RecentCrashes {
    fn insert(&self, now: Moment, target: &Target) {
        let mut crashed_at = self.crashed_at.lock();
        crashed_at.retain(|_, at| now.saturating_sub(*at) < CRASH_RETENTION);
        crashed_at.insert(key(target), now);
    }

    fn contains(&self, target: &Target) -> bool {
        self.crashed_at.lock().contains_key(&key(target))
    }
}

fn key(target: &Target) -> (TargetId, Option<u64>) {
    (Arc::clone(&target.id), target.started_at)
}

/// State of the listing of a target, compared with the one when the request was sent.
enum ListingState {
    Unchanged,
    Leaving,
    Unlisted,
    Restarted,
}

/// Finds out in the background whether a target has crashed whose connection was lost while it was
/// running a request, and reports that. The request was sent at `sent_at`.
pub fn investigate(
    front: &Arc<Front>,
    call: &Call,
    target: &Arc<Target>,
    sent_at: Moment,
    progress: Progress,
) {
    // A target that was leaving has left.
    if matches!(
        listing_state(front, target),
        ListingState::Leaving | ListingState::Unlisted
    ) {
        return;
    }
    let request = LostRequest::new(call, target, sent_at, progress);
    let (front, target) = (Arc::clone(front), Arc::clone(target));
    let investigation = async move {
        // A target that falls over for want of room does so whatever runs there.
        if !front.was_overloaded(&target) && has_crashed(&front, &target, request.lost_at).await {
            request.report_crash(&front, &target);
        }
    };
    workers::spawn(investigation).detach();
}

/// Reports that a target has crashed while it was running a request, which was sent at `sent_at`.
pub fn report_crash(
    front: &Arc<Front>,
    call: &Call,
    target: &Target,
    sent_at: Moment,
    progress: Progress,
) {
    LostRequest::new(call, target, sent_at, progress).report_crash(front, target);
}

/// A request whose connection was lost while a target was running it. Its body is not retained.
struct LostRequest {
    id: GenerationId,
    fingerprint: Fingerprint,
    service: ServiceId,
    shared_parts: Arc<[Fingerprint]>,
    part_names: Arc<str>,
    sent_at: Moment,
    lost_at: Moment,
    progress: Progress,
    incarnation: TargetIncarnation,
    /// Targets that lost earlier runs of the request.
    earlier: Vec<TargetIncarnation>,
}

impl LostRequest {
    /// Creates the record of a request that a target loses now.
    fn new(call: &Call, target: &Target, sent_at: Moment, progress: Progress) -> Self {
        let incarnation = TargetIncarnation {
            target: Arc::clone(&target.id),
            started_at: target.started_at,
        };
        let mut lost_runs = call.lost_runs.lock();
        let earlier = lost_runs.clone();
        lost_runs.push(incarnation.clone());
        Self {
            incarnation,
            earlier,
            id: Arc::clone(&call.request.id),
            fingerprint: call.fingerprint,
            service: Arc::clone(&call.service.name),
            shared_parts: Arc::clone(&call.shared_parts),
            part_names: call.part_names(),
            sent_at,
            lost_at: boot_time(),
            progress,
        }
    }

    /// Reports the crash of the target as evidence against the request.
    fn report_crash(self, front: &Arc<Front>, target: &Target) {
        front.recent_crashes.insert(boot_time(), target);
        emit(&Event::TargetEnded {
            id: self.id,
            fingerprint: self.fingerprint.to_string().into(),
            parts: Arc::clone(&self.part_names),
            target: Arc::clone(&target.id),
            events: self.progress.events,
        });
        let age = boot_time().saturating_sub(self.lost_at);
        let ran_for = self.lost_at.saturating_sub(self.sent_at);
        // A request can crash its target by itself at any time, a part of its prompt only at the start.
        let suspects = if self.progress.is_sound(self.lost_at) {
            Vec::new()
        } else {
            self.shared_parts.to_vec()
        };
        let evidence = PartEvidence {
            service: self.service,
            parts: suspects,
            incarnation: self.incarnation.clone(),
            age,
            ran_for,
            request: Some(self.fingerprint),
        };
        parts::report_evidence(front, &evidence);
        let evidence = Evidence {
            fingerprint: self.fingerprint,
            incarnation: self.incarnation,
            age,
            ran_for,
            earlier: self.earlier,
        };
        aggregation::report_evidence(front, evidence);
    }
}

/// Whether a target has crashed; takes up to [`LISTING_TIMEOUT`].
async fn has_crashed(front: &Arc<Front>, target: &Target, lost_at: Moment) -> bool {
    if front.recent_crashes.contains(target) {
        return true;
    }
    let until = boot_time() + LISTING_TIMEOUT;
    // One that accepts connections has not ended; from then on its entry alone can tell.
    let mut is_reached = false;
    while boot_time() < until {
        match listing_state(front, target) {
            ListingState::Unchanged => {
                // A lost path is probed anyway.
                if !is_reached && front.path(target) == Path::Direct {
                    is_reached = paths::verify(front, target).await;
                }
                if !is_reached
                    && presence::has_ended(front, target).await
                    && presence::is_down_for_others(front, target, lost_at).await
                {
                    return true;
                }
                smol::Timer::after(LISTING_POLL_PERIOD).await;
            }
            ListingState::Leaving => return false,
            ListingState::Unlisted => return !paths::verify(front, target).await,
            ListingState::Restarted => return true,
        }
    }
    false
}

fn listing_state(front: &Front, target: &Target) -> ListingState {
    match front.view.target(&target.id) {
        None => ListingState::Unlisted,
        Some(now) if now.started_at != target.started_at => ListingState::Restarted,
        Some(now) if !now.accepts_work() => ListingState::Leaving,
        Some(_) => ListingState::Unchanged,
    }
}
