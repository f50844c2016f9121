//! Which shards this instance claims, and whether it is their only owner.

use std::{collections::BTreeSet, time::Duration};

use types::{InstanceId, Moment, Shard};

use crate::{
    api::Change,
    exclusive::{self, Exclusivity, FollowerCount},
    membership::{Membership, Term},
    rendezvous::{Candidate, next_epoch, pick_owner},
};

/// After a shard changed hands it stays there for this long, unless its owner is lost. Instances
/// that see different peers would otherwise take it from each other with every heartbeat.
const OWNER_CHANGE_COOLDOWN: Duration = Duration::from_millis(500);

impl Membership {
    pub(crate) fn acquire_shards(&mut self, now: Moment, out: &mut Vec<Change>) {
        if now < self.ready_at || self.draining || self.listed.is_empty() || self.is_isolated(now) {
            return;
        }
        let candidates = self.candidates(now);
        if candidates != self.candidates {
            let is_assigned = |s: &&Shard| pick_owner(s, &candidates) == Some(&self.me.id);
            self.assigned = self.shards.iter().filter(is_assigned).cloned().collect();
            self.candidates = candidates;
        }
        let wanted: Vec<Shard> = self
            .assigned
            .iter()
            .filter(|s| self.should_acquire(now, s))
            .cloned()
            .collect();
        for shard in wanted {
            self.start_term(now, shard, out);
        }
    }

    fn should_acquire(&self, now: Moment, shard: &Shard) -> bool {
        if self.terms.contains_key(shard) {
            return false;
        }
        let owner = self
            .followed_owners
            .owner(shard)
            .and_then(|id| self.peers.get(id));
        let lost = owner.is_none_or(|p| !p.is_alive(now) || p.draining);
        let settled = self
            .owner_changed_at
            .get(shard)
            .is_none_or(|at| now.saturating_sub(*at) >= OWNER_CHANGE_COOLDOWN);
        lost || settled
    }

    fn start_term(&mut self, now: Moment, shard: Shard, out: &mut Vec<Change>) {
        let epoch = next_epoch(
            self.followed_owners.epoch(&shard),
            &self.me.id,
            self.me.incarnation,
        );
        self.followed_owners.follow(&shard, &self.me.id, epoch);
        self.owner_changed_at.insert(shard.clone(), now);
        let mut entries_to_query = self.alive_peers(now);
        entries_to_query.push(self.me.id.clone());
        let term = Term {
            epoch,
            exclusivity: Exclusivity::default(),
        };
        self.terms.insert(shard.clone(), term);
        out.push(Change::Own {
            shard,
            epoch,
            entries_to_query,
        });
    }

    fn candidates(&self, now: Moment) -> Vec<Candidate> {
        let me = Candidate {
            id: self.me.id.clone(),
            data_centre: self.me.data_centre.clone(),
        };
        let mut candidates = vec![me];
        for (id, peer) in &self.peers {
            if peer.is_alive(now) && !peer.draining && self.listed.contains_key(id) {
                let data_centre = peer.data_centre.clone();
                candidates.push(Candidate {
                    id: id.clone(),
                    data_centre,
                });
            }
        }
        candidates
    }

    pub(crate) fn update_exclusivity(&mut self, now: Moment, out: &mut Vec<Change>) {
        if self.terms.is_empty() {
            return;
        }
        // Instances that are heard but not listed yet count too: the list lags.
        let mut everyone: BTreeSet<&InstanceId> = self.listed.keys().collect();
        everyone.extend(
            self.peers
                .iter()
                .filter(|(_, p)| p.is_alive(now))
                .map(|(id, _)| id),
        );
        everyone.insert(&self.me.id);
        for (shard, term) in &mut self.terms {
            let follows = |id: &&&InstanceId| {
                **id == &self.me.id
                    || exclusive::is_follower(self.peers.get(**id), shard, term.epoch, now)
            };
            let following = everyone.iter().filter(follows).count();
            let before = term.exclusivity.exclusive;
            term.exclusivity.update(
                now,
                FollowerCount {
                    following,
                    listed: everyone.len(),
                },
            );
            let exclusive = term.exclusivity.exclusive;
            if exclusive != before {
                out.push(Change::ExclusivityChanged {
                    shard: shard.clone(),
                    exclusive,
                });
            }
        }
    }
}
