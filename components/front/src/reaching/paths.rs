//! Records to which targets connections open, and probes those to which they don't.
//!
//! A connection that opens proves the path in both directions; a failed one says nothing about the
//! target. No caller's request is used to find out whether a lost path works again.

use std::{io::ErrorKind, sync::Arc, time::Duration};

use events::{Event, emit};
use net::{Connecting, Unsent};
use reach::{ABSENCE_TIME, Path, Regained};
use smol::net::TcpStream;
use timer::{Timer, boot_time, lateness};
use types::{Moment, ServiceId, TargetId, millis};
use view::Target;

use crate::{
    instances::wire::Reachability,
    reaching::entry,
    state::{Front, elapsed_since},
};

/// Timeout for connecting to a target. Targets are a few milliseconds away, and a lost SYN packet is
/// retransmitted only after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two rounds of probes.
const PROBE_ROUND: Duration = Duration::from_millis(100);
/// How long ago another target may have been reached to show that this instance's network works.
const CONTACT_LOOKBACK: Duration = Duration::from_millis(300);
/// Other targets that are tried to find out whether this instance's network is the reason.
const MAX_OTHERS: usize = 2;
/// Targets whose paths are verified at once after one was found to be cut.
const MAX_VERIFIED: usize = 24;
/// Targets that are probed in one round.
const PROBES_PER_ROUND: usize = 4;

impl Front {
    /// How to send requests to a target.
    #[must_use]
    pub fn path(&self, target: &Target) -> Path {
        self.paths
            .lock()
            .path(boot_time(), &target.id, target.started_at)
    }

    /// Whether a service has targets that accept work, and no instance reaches any of them.
    #[must_use]
    pub fn reaches_none(&self, service: &ServiceId) -> bool {
        let targets = self.view.usable_targets(service);
        !targets.is_empty() && targets.iter().all(|it| self.path(it) == Path::Down)
    }

    /// The targets of a service that no instance reaches.
    #[must_use]
    pub fn down_targets(&self, service: &ServiceId) -> Vec<TargetId> {
        if !self.paths.lock().any_lost() {
            return Vec::new();
        }
        let targets = self.view.usable_targets(service).into_iter();
        let down = targets.filter(|target| self.path(target) == Path::Down);
        down.map(|target| Arc::clone(&target.id)).collect()
    }

    /// Records that a target has accepted a connection, or has answered.
    pub fn record_contact(&self, target: &Target) {
        let now = boot_time();
        let mut paths = self.paths.lock();
        let regained = paths.record_contact(now, &target.id, &target.service, target.started_at);
        let Some(Regained { after }) = regained else {
            return;
        };
        paths.probe_soon(now, &target.service);
        let lost = paths.lost_count();
        drop(paths);
        emit(&Event::TargetReached {
            target: Arc::clone(&target.id),
            after_ms: millis(after),
            lost,
        });
    }

    /// Records what a request that was not sent shows of the path to a target.
    pub fn record_unsent(&self, target: &Target, unsent: &Unsent) {
        match unsent.connecting() {
            // It may be at its connection limit.
            Connecting::Opened => self.record_contact(target),
            Connecting::Refused => self.record_no_connection(target, unsent.reason(), true),
            Connecting::Unopened => self.record_no_connection(target, unsent.reason(), false),
        }
    }

    /// Records that a connection to a target has failed to open. It's no evidence if this process was too late
    /// itself to notice that it opened.
    pub fn record_no_connection(&self, target: &Target, reason: &Arc<str>, is_refused: bool) {
        let now = boot_time();
        self.metrics.failed_connections.inc();
        if lateness::was_late_since(now.saturating_sub(CONNECT_TIMEOUT)) {
            return;
        }
        if !is_refused {
            // Connections from before may hang without an error.
            self.client.close_connections(target.addr);
        }
        let mut paths = self.paths.lock();
        let is_new =
            paths.record_no_connection(now, &target.id, &target.service, target.started_at);
        let lost = paths.lost_count();
        let others = paths.last_contact_with_another(&target.id, &target.service);
        drop(paths);
        if is_new {
            emit(&Event::TargetUnreached {
                target: Arc::clone(&target.id),
                reason: Arc::clone(reason),
                others_ms: others.map_or(-1, |at| signed_millis(elapsed_since(at))),
                lost,
            });
        }
    }

    /// Records that another instance has reached a target. Verifies the paths to other targets if this shows for
    /// the first time that the one from here is cut.
    pub fn record_reached_by_another(self: &Arc<Self>, target: &Target) {
        let is_cut = self
            .paths
            .lock()
            .record_relayed(boot_time(), &target.id, true);
        if is_cut {
            verify_others(self, target);
        }
    }

    /// Records that another instance got an event of a target this long ago.
    pub fn record_heard_by_another(&self, target: &Target, age: Duration) {
        let at = boot_time().saturating_sub(age);
        self.paths.lock().record_heard(at, &target.id);
    }

    /// Whether another target of the service has been reached since a moment. A failure without that
    /// may be one of this instance's own network, and is no evidence about the target.
    #[must_use]
    pub fn reached_another(&self, target: &Target, since: Moment) -> bool {
        let paths = self.paths.lock();
        paths.reached_another(&target.id, &target.service, since)
    }
}

/// Connects to a target whose answer has not come, and records the outcome. Returns whether the
/// connection opened: the target was then reached, and is silent itself.
pub async fn verify(front: &Front, target: &Target) -> bool {
    match connect(target).await {
        Ok(()) => {
            front.record_contact(target);
            true
        }
        Err((reason, is_refused)) => {
            front.record_no_connection(target, &reason, is_refused);
            false
        }
    }
}

/// Verifies the path to a target in the background.
pub fn verify_soon(front: &Arc<Front>, target: &Arc<Target>) {
    let (front, target) = (Arc::clone(front), Arc::clone(target));
    workers::spawn(async move { verify(&front, &target).await }).detach();
}

/// Verifies the paths to the other targets in the background. The path to one target has been shown to be
/// cut, and requests over connections to the others that hang would be lost one by one.
pub fn verify_others(front: &Arc<Front>, cut: &Target) {
    let targets = front.view.targets();
    let mut others: Vec<&Arc<Target>> = targets.values().collect();
    others.retain(|target| target.id != cut.id && front.path(target) == Path::Direct);
    fastrand::shuffle(&mut others);
    for target in others.into_iter().take(MAX_VERIFIED) {
        verify_soon(front, target);
    }
}

/// Connects to a target for another instance, and if that fails to others, to find out whether the target
/// or this instance's own network is the reason.
pub async fn check(front: &Arc<Front>, target: &str, started_at: Option<u64>) -> Reachability {
    let target = front.view.target(target);
    let Some(target) = target.filter(|target| target.started_at == started_at) else {
        return Reachability::Unknown;
    };
    if verify(front, &target).await {
        return Reachability::Reached;
    }
    let last_event = front.generations.last_event_from(&target.id);
    if let Some(age) = last_event
        .map(elapsed_since)
        .filter(|age| *age < ABSENCE_TIME)
    {
        return Reachability::Heard { age };
    }
    if reaches_others(front, &target).await {
        Reachability::NotReached
    } else {
        Reachability::Unknown
    }
}

/// Whether this instance reaches other targets of a service while it does not reach one. If none was
/// reached lately, connects to some of which nothing else is known.
pub async fn reaches_others(front: &Arc<Front>, target: &Target) -> bool {
    let since = boot_time().saturating_sub(CONTACT_LOOKBACK);
    if front.reached_another(target, since) {
        return true;
    }
    let mut others = front.view.usable_targets(&target.service);
    others.retain(|other| other.id != target.id && front.path(other) == Path::Direct);
    fastrand::shuffle(&mut others);
    for other in others.into_iter().take(MAX_OTHERS) {
        if verify(front, &other).await {
            return true;
        }
    }
    false
}

/// Connects to a target. The error says why not, and whether the connection was refused.
async fn connect(target: &Target) -> Result<(), (Arc<str>, bool)> {
    let connected = Timer::new()
        .await_answer(CONNECT_TIMEOUT, TcpStream::connect(target.addr))
        .await;
    match connected {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(e)) => {
            let is_refused = e.kind() == ErrorKind::ConnectionRefused;
            let reason = format!("no connection to {}: {e}", target.addr);
            Err((reason.into(), is_refused))
        }
        Err(_) => {
            let addr = target.addr;
            let reason = format!("no connection to {addr} within {CONNECT_TIMEOUT:?}");
            Err((reason.into(), false))
        }
    }
}

/// Probes targets to which connections don't open; does not return.
pub async fn probe(front: Arc<Front>) {
    let mut ticks = Timer::new().every(PROBE_ROUND);
    loop {
        ticks.next().await;
        let due = {
            let mut paths = front.paths.lock();
            paths.take_due_probes(boot_time(), PROBES_PER_ROUND)
        };
        for target in due.iter().filter_map(|id| front.view.target(id)) {
            verify_soon(&front, &target);
            entry::find_relays_soon(&front, &target);
        }
    }
}

fn signed_millis(time: Duration) -> i64 {
    i64::try_from(millis(time)).unwrap_or(i64::MAX)
}
