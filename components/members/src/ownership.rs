//! Acquires the shards assigned to this instance, and checks whether its ownership is exclusive.

use std::{collections::BTreeSet, time::Duration};

use types::{InstanceId, Moment, Shard};

use crate::{
    api::Change,
    exclusive::{self, Exclusivity, FollowerCount},
    membership::{Membership, Term},
    rendezvous::{Candidate, next_epoch, pick_owner},
};

/// A shard keeps a new owner for at least this long, unless the owner is lost. Otherwise instances
/// that see different sets of live peers would take the shard from each other with every heartbeat.
const OWNER_CHANGE_COOLDOWN: Duration = Duration::from_millis(500);

impl Membership {
    /// Starts a term for each assigned shard that this instance may take over now.
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
        let acquired: Vec<Shard> = self
            .assigned
            .iter()
            .filter(|s| self.should_acquire(now, s))
            .cloned()
            .collect();
        for shard in acquired {
            self.start_term(now, shard, out);
        }
    }

    /// Whether this instance may take over an assigned shard now: it does not own the shard yet,
    /// and the present owner is lost, is shutting down or has owned the shard for the cooldown.
    fn should_acquire(&self, now: Moment, shard: &Shard) -> bool {
        if self.terms.contains_key(shard) {
            return false;
        }
        let owner = self
            .followed_owners
            .owner(shard)
            .and_then(|id| self.peers.get(id));
        let lost = owner.is_none_or(|p| !p.is_alive(now) || p.draining);
        let cooled_down = self
            .owner_changed_at
            .get(shard)
            .is_none_or(|at| now.saturating_sub(*at) >= OWNER_CHANGE_COOLDOWN);
        lost || cooled_down
    }

    /// Makes this instance the owner of a shard in a new term.
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

    /// Returns the instances among which owners are chosen: this one and all peers that are alive,
    /// listed and not shutting down.
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

    /// Counts the followers of each owned shard, and reports where exclusivity changed.
    pub(crate) fn update_exclusivity(&mut self, now: Moment, out: &mut Vec<Change>) {
        if self.terms.is_empty() {
            return;
        }
        // Instances that are alive but not listed yet count too, because the list lags.
        let mut instances: BTreeSet<&InstanceId> = self.listed.keys().collect();
        instances.extend(
            self.peers
                .iter()
                .filter(|(_, p)| p.is_alive(now))
                .map(|(id, _)| id),
        );
        instances.insert(&self.me.id);
        for (shard, term) in &mut self.terms {
            let is_follower = |id: &&&InstanceId| {
                **id == &self.me.id
                    || exclusive::is_follower(self.peers.get(**id), shard, term.epoch, now)
            };
            let following = instances.iter().filter(is_follower).count();
            let before = term.exclusivity.exclusive;
            term.exclusivity.update(
                now,
                FollowerCount {
                    following,
                    instances: instances.len(),
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
