//! Returning permits to their owners, and reporting those that are held.

use std::{collections::BTreeSet, time::Duration};

use types::{Epoch, Moment, Shard};
use wire::{Done, Held, Outcome};

use crate::{
    api::{Action, RequestId},
    entry::{
        machine::Entry,
        permit::{Permit, PermitKey},
    },
};

/// Interval between two reports of the permits held.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);

impl Entry {
    /// Ends a request's use of its permit, and returns the permit if nothing else can use it.
    pub(super) fn release(
        &mut self,
        now: Moment,
        key: PermitKey,
        id: RequestId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(permit) = self.permits.get_mut(&key) else {
            return;
        };
        permit.users.remove(&id);
        permit.tally.add(outcome);
        self.fill_block(now, key, out);
        if self.permits.get(&key).is_some_and(|p| p.is_returnable(now)) {
            self.return_permit(key, out);
        }
    }

    /// Returns the permits that nothing uses and nothing can use any more.
    pub(super) fn return_unneeded_permits(&mut self, now: Moment, out: &mut Vec<Action>) {
        let returnable: Vec<PermitKey> = self
            .permits
            .values()
            .filter(|p| p.is_returnable(now))
            .map(|p| p.key)
            .collect();
        for key in returnable {
            self.return_permit(key, out);
        }
    }

    fn return_permit(&mut self, key: PermitKey, out: &mut Vec<Action>) {
        let Some(permit) = self.permits.remove(&key) else {
            return;
        };
        let done = Done {
            shard: permit.shard,
            permit: key.1,
            target: permit.target.id,
            outcome: permit.tally.outcome(),
        };
        out.push(Action::Send {
            to: permit.owner,
            message: done.into(),
        });
    }

    /// Reports to each owner all permits held of it. A lost `Done` or `Grant` would otherwise leave
    /// memory reserved for ever.
    pub(super) fn report_held(&mut self, now: Moment, out: &mut Vec<Action>) {
        if now.saturating_sub(self.last_report_at) < REPORT_INTERVAL {
            return;
        }
        self.last_report_at = now;
        let mut shards: BTreeSet<Shard> = self.permits.values().map(|p| p.shard.clone()).collect();
        shards.extend(self.permit_requests.values().map(|a| a.shard.clone()));
        // One more report after the last permit, so that the owner sees that none is held.
        let reported = std::mem::replace(&mut self.reported_shards, shards.clone());
        shards.extend(reported);
        for shard in shards {
            let Some(info) = self.shards.get(&shard) else {
                continue;
            };
            let (owner, epoch) = (info.owner.clone(), info.epoch);
            if let Some(to) = owner {
                let held = self.held(now, &shard, epoch);
                out.push(Action::Send {
                    to,
                    message: held.into(),
                });
            }
        }
    }

    pub(super) fn held(&self, now: Moment, shard: &Shard, epoch: Epoch) -> Held {
        let of_shard = self.permits.values().filter(|p| p.shard == *shard);
        let permits = of_shard.map(|p: &Permit| p.held(now)).collect();
        Held {
            shard: shard.clone(),
            epoch,
            stamp: now,
            permits,
        }
    }
}
