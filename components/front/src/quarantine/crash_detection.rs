//! Finds out whether a target ended while it ran a request.
//!
//! A cut connection alone does not tell: a reset, a lost link and a planned leaving look the same at
//! first. A target has ended if it refuses connections right after the cut, or if its listing goes or
//! is another life's without any word that it leaves.

use std::{collections::HashMap, io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration};

use ::quarantine::{Evidence, Fingerprint, TargetIncarnation};
use events::{Event, emit};
use parking_lot::Mutex;
use placing::GenerationId;
use smol::net::TcpStream;
use timer::{Timer, boot_time};
use types::{Moment, TargetId};
use view::Target;

use crate::{callers::call::Call, quarantine::aggregation, state::Front};

/// Time to connect to a target that may have ended.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Connections in a row that a target refuses if it has ended. One that has too many connections
/// may refuse a single one.
const REFUSALS: u32 = 2;
/// Pause between two such connections.
const CONNECT_AGAIN: Duration = Duration::from_millis(250);
/// Time for the listing of a target that has ended to lapse, and for word of it to arrive.
const LISTING_PATIENCE: Duration = Duration::from_millis(5_000);
/// Time between two looks at the listing.
const LOOK_AGAIN: Duration = Duration::from_millis(250);
/// How long an end is remembered for other requests that the target ran.
const REMEMBERED: Duration = Duration::from_secs(10);

/// Targets that have ended lately.
#[derive(Debug, Default)]
pub struct RecentCrashes {
    lately: Mutex<HashMap<(TargetId, Option<u64>), Moment>>,
}

impl RecentCrashes {
    fn remember(&self, now: Moment, target: &Target) {
        let mut lately = self.lately.lock();
        lately.retain(|_, at| now.saturating_sub(*at) < REMEMBERED);
        lately.insert(key(target), now);
    }

    fn knows(&self, target: &Target) -> bool {
        self.lately.lock().contains_key(&key(target))
    }
}

fn key(target: &Target) -> (TargetId, Option<u64>) {
    (Arc::clone(&target.id), target.born)
}

/// What the listings say of a target that was sent a request.
enum Listed {
    Same,
    Leaving,
    Gone,
    Reborn,
}

/// Looks into whether a target has ended whose connection was lost while it ran a request, which was
/// sent at `sent`; `events` of its answer had come. Does not keep the caller waiting.
pub fn look_into(front: &Arc<Front>, call: &Call, target: &Arc<Target>, sent: Moment, events: u64) {
    // One that was about to leave has left.
    if matches!(listed(front, target), Listed::Leaving | Listed::Gone) {
        return;
    }
    let loss = Loss::new(call, sent, events);
    let (front, target) = (Arc::clone(front), Arc::clone(target));
    let look = async move {
        if has_ended(&front, &target).await {
            loss.blame(&front, &target);
        }
    };
    workers::spawn(look).detach();
}

/// Notes that a target has ended while it ran a request, which was sent at `sent`; `events` of its
/// answer had come.
pub fn ended_under(front: &Arc<Front>, call: &Call, target: &Target, sent: Moment, events: u64) {
    Loss::new(call, sent, events).blame(front, target);
}

/// A request that was lost with its connection. Its body is not kept.
struct Loss {
    id: GenerationId,
    fingerprint: Fingerprint,
    sent: Moment,
    lost: Moment,
    events: u64,
}

impl Loss {
    /// A request that is lost now.
    fn new(call: &Call, sent: Moment, events: u64) -> Self {
        Self {
            id: Arc::clone(&call.request.id),
            fingerprint: call.fingerprint,
            sent,
            lost: boot_time(),
            events,
        }
    }

    /// Holds the end of its target against the request.
    fn blame(self, front: &Arc<Front>, target: &Target) {
        front.recent_crashes.remember(boot_time(), target);
        emit(&Event::TargetEnded {
            id: self.id,
            fingerprint: self.fingerprint.to_string().into(),
            target: Arc::clone(&target.id),
            events: self.events,
        });
        let incarnation = TargetIncarnation {
            target: Arc::clone(&target.id),
            started_at: target.born,
        };
        let evidence = Evidence {
            fingerprint: self.fingerprint,
            incarnation,
            age: boot_time().saturating_sub(self.lost),
            ran_for: self.lost.saturating_sub(self.sent),
        };
        aggregation::found(front, evidence);
    }
}

async fn has_ended(front: &Front, target: &Target) -> bool {
    if front.recent_crashes.knows(target) || refuses(target.addr).await {
        return true;
    }
    let until = boot_time() + LISTING_PATIENCE;
    while boot_time() < until {
        match listed(front, target) {
            Listed::Same => smol::Timer::after(LOOK_AGAIN).await,
            Listed::Leaving => return false,
            Listed::Gone | Listed::Reborn => return true,
        };
    }
    false
}

fn listed(front: &Front, target: &Target) -> Listed {
    match front.view.target(&target.id) {
        None => Listed::Gone,
        Some(now) if now.born != target.born => Listed::Reborn,
        Some(now) if !now.takes_work() => Listed::Leaving,
        Some(_) => Listed::Same,
    }
}

/// Whether nothing listens at an address.
async fn refuses(addr: SocketAddr) -> bool {
    for number in 1..=REFUSALS {
        let connected = Timer::new()
            .within(CONNECT_LIMIT, TcpStream::connect(addr))
            .await;
        let refused = matches!(connected, Some(Err(e)) if e.kind() == ErrorKind::ConnectionRefused);
        if !refused {
            return false;
        }
        if number < REFUSALS {
            smol::Timer::after(CONNECT_AGAIN).await;
        }
    }
    true
}
