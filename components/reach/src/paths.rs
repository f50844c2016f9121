//! The state of the path to each target.

use std::{collections::HashMap, time::Duration};

use types::{Moment, ServiceId, TargetId};

use crate::absence::{ABSENCE_TIME, Absence};

/// Time after a failed connection before the next probe of the same target.
const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// Longest time between two probes of a target. Each loss in a row doubles the time.
const MAX_PROBE_PERIOD: Duration = Duration::from_millis(1_200);
/// A path that has worked for this long is no longer considered unstable.
const STABLE_TIME: Duration = Duration::from_secs(10);
/// How long a target is not used after neither this instance nor another one could connect to it.
const DOWN_TIME: Duration = Duration::from_millis(1_000);

/// How to send requests to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// Over a connection of this instance.
    Direct,
    /// Through another instance: connections of this one don't open.
    Relayed,
    /// Not at all for now: neither this instance nor another one reaches it.
    Down,
}

/// A target to which connections open again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Regained {
    /// How long they did not.
    pub after: Duration,
}

/// What is known of the path to one target.
#[derive(Clone, Debug)]
struct TargetPath {
    service: ServiceId,
    /// Start of the process, in Unix milliseconds, if listed.
    started_at: Option<u64>,
    /// When it last accepted a connection or answered.
    contact_at: Option<Moment>,
    /// Since when connections don't open.
    lost_at: Option<Moment>,
    /// When a connection last did not open.
    failed_at: Moment,
    /// Losses without a stable time between them.
    losses: u32,
    regained_at: Moment,
    next_probe_at: Moment,
    /// Until when it is down.
    down_until: Moment,
    /// Another instance has reached it since the path was lost.
    is_cut: bool,
    /// When another instance last reached it, or got an event from it.
    relayed_at: Option<Moment>,
}

/// The paths from this instance to the targets.
#[derive(Debug, Default)]
pub struct Paths {
    targets: HashMap<TargetId, TargetPath>,
}

impl Paths {
    /// Records that a target has accepted a connection, or has answered. Returns whether that ends a
    /// time in which connections did not open.
    pub fn record_contact(
        &mut self,
        now: Moment,
        target: &TargetId,
        service: &ServiceId,
        started_at: Option<u64>,
    ) -> Option<Regained> {
        let path = self.entry(target, service, started_at);
        path.contact_at = Some(now);
        let lost_at = path.lost_at.take()?;
        path.regained_at = now;
        path.is_cut = false;
        path.down_until = Duration::ZERO;
        Some(Regained {
            after: now.saturating_sub(lost_at),
        })
    }

    /// Records that a connection to a target has failed to open. Returns whether the path was not lost
    /// before.
    pub fn record_no_connection(
        &mut self,
        now: Moment,
        target: &TargetId,
        service: &ServiceId,
        started_at: Option<u64>,
    ) -> bool {
        let path = self.entry(target, service, started_at);
        let is_new = path.lost_at.is_none();
        if is_new {
            path.lost_at = Some(now);
            if path.regained_at + STABLE_TIME < now {
                path.losses = 0;
            }
        }
        path.failed_at = now;
        path.losses = path.losses.saturating_add(1);
        let doubled = PROBE_PERIOD.saturating_mul(1 << (path.losses - 1).min(8));
        path.next_probe_at = now + doubled.min(MAX_PROBE_PERIOD);
        is_new
    }

    /// Records whether another instance has reached a target that this one does not reach. Returns
    /// whether this shows for the first time that only the path from here is cut.
    pub fn record_relayed(&mut self, now: Moment, target: &str, is_reached: bool) -> bool {
        let Some(path) = self.targets.get_mut(target) else {
            return false;
        };
        if path.lost_at.is_none() {
            return false;
        }
        if is_reached {
            path.relayed_at = Some(now);
            path.down_until = Duration::ZERO;
            return !std::mem::replace(&mut path.is_cut, true);
        }
        path.down_until = now + DOWN_TIME;
        false
    }

    /// Records that a target that this instance does not reach has sent something to another one. That opens no
    /// path to it.
    pub fn record_heard(&mut self, at: Moment, target: &str) {
        if let Some(path) = self.targets.get_mut(target) {
            path.relayed_at = path.relayed_at.max(Some(at));
        }
    }

    /// Since when neither this instance nor another one has reached a target, as far as is known.
    #[must_use]
    pub fn absence(&self, target: &str, started_at: Option<u64>) -> Absence {
        let path = self.targets.get(target);
        let path = path.filter(|path| path.started_at == started_at);
        path.map_or_else(Absence::default, |path| {
            Absence::new(path.lost_at).after(path.relayed_at)
        })
    }

    /// How to send requests to a target.
    #[must_use]
    pub fn path(&self, now: Moment, target: &str, started_at: Option<u64>) -> Path {
        let Some(path) = self.targets.get(target) else {
            return Path::Direct;
        };
        // Another process under the same id: nothing is known of it.
        if path.lost_at.is_none() || path.started_at != started_at {
            Path::Direct
        } else if path.down_until > now {
            Path::Down
        } else {
            Path::Relayed
        }
    }

    /// Whether another target of the service has been reached directly since a moment. Without that, a
    /// failure may be that of this instance's own network.
    #[must_use]
    pub fn reached_another(&self, target: &str, service: &str, since: Moment) -> bool {
        let last = self.last_contact_with_another(target, service);
        last.is_some_and(|at| at >= since)
    }

    /// When another target of the service was last reached.
    #[must_use]
    pub fn last_contact_with_another(&self, target: &str, service: &str) -> Option<Moment> {
        let others = self
            .targets
            .iter()
            .filter(|(id, path)| ***id != *target && *path.service == *service);
        others.filter_map(|(_, path)| path.contact_at).max()
    }

    /// Whether any path is lost, so that there may be probes to send.
    #[must_use]
    pub fn any_lost(&self) -> bool {
        self.targets.values().any(|path| path.lost_at.is_some())
    }

    /// The number of targets to which connections don't open.
    #[must_use]
    pub fn lost_count(&self) -> usize {
        let lost = self.targets.values().filter(|path| path.lost_at.is_some());
        lost.count()
    }

    /// Targets to which a probe is due, at most `limit`; the next probe of each is postponed.
    pub fn take_due_probes(&mut self, now: Moment, limit: usize) -> Vec<TargetId> {
        let mut due = Vec::new();
        for (id, path) in &mut self.targets {
            if due.len() == limit {
                break;
            }
            if path.lost_at.is_some() && path.next_probe_at <= now {
                path.next_probe_at = now + PROBE_PERIOD;
                due.push(TargetId::clone(id));
            }
        }
        due
    }

    /// Makes the lost paths of a service due for a probe, because one of them works again.
    pub fn probe_soon(&mut self, now: Moment, service: &str) {
        for path in self.targets.values_mut() {
            if path.lost_at.is_some() && *path.service == *service {
                path.next_probe_at = now;
            }
        }
    }

    /// Drops targets that are no longer listed, but for those that were tried in vain just now: since when they are
    /// not reached tells whether they have ended.
    pub fn retain(&mut self, now: Moment, listed: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|id, path| {
            let is_tried = path.lost_at.is_some() && now < path.failed_at + ABSENCE_TIME;
            is_tried || listed(id)
        });
    }

    /// The state of a target's path; a new one if another process runs under its id.
    fn entry(
        &mut self,
        target: &TargetId,
        service: &ServiceId,
        started_at: Option<u64>,
    ) -> &mut TargetPath {
        let new = || TargetPath {
            service: ServiceId::clone(service),
            started_at,
            contact_at: None,
            lost_at: None,
            failed_at: Duration::ZERO,
            losses: 0,
            regained_at: Duration::ZERO,
            next_probe_at: Duration::ZERO,
            down_until: Duration::ZERO,
            is_cut: false,
            relayed_at: None,
        };
        let path = self
            .targets
            .entry(TargetId::clone(target))
            .or_insert_with(new);
        if path.started_at != started_at {
            *path = new();
        }
        path
    }
}
