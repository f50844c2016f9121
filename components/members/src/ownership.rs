//! Which shards this instance claims, and whether it is their only owner.

use std::{collections::BTreeSet, time::Duration};

use types::{InstanceId, Moment, Shard};

use crate::{
    api::Change,
    exclusive::{self, Count, Exclusivity},
    membership::{Membership, Term},
    rendezvous::{Candidate, next_epoch, pick},
};

/// After a shard changed hands it stays there for this long, unless its owner is lost. Instances
/// that see different peers would otherwise take it from each other with every heartbeat.
const SETTLE: Duration = Duration::from_millis(500);

impl Membership {
    pub(crate) fn claim(&mut self, now: Moment, out: &mut Vec<Change>) {
        if now < self.ready_at || self.draining || self.listed.is_empty() || self.isolated(now) {
            return;
        }
        let candidates = self.candidates(now);
        if candidates != self.candidates {
            let mine = |s: &&Shard| pick(s, &candidates) == Some(&self.me.id);
            self.mine = self.shards.iter().filter(mine).cloned().collect();
            self.candidates = candidates;
        }
        let wanted: Vec<Shard> = self
            .mine
            .iter()
            .filter(|s| self.should_claim(now, s))
            .cloned()
            .collect();
        for shard in wanted {
            self.start_term(now, shard, out);
        }
    }

    fn should_claim(&self, now: Moment, shard: &Shard) -> bool {
        if self.terms.contains_key(shard) {
            return false;
        }
        let owner = self.follows.owner(shard).and_then(|id| self.peers.get(id));
        let lost = owner.is_none_or(|p| !p.alive(now) || p.draining);
        let settled = self
            .changed
            .get(shard)
            .is_none_or(|at| now.saturating_sub(*at) >= SETTLE);
        lost || settled
    }

    fn start_term(&mut self, now: Moment, shard: Shard, out: &mut Vec<Change>) {
        let epoch = next_epoch(self.follows.epoch(&shard), &self.me.id, self.me.incarnation);
        self.follows.follow(&shard, &self.me.id, epoch);
        self.changed.insert(shard.clone(), now);
        let mut entries_to_query = self.alive(now);
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
            if peer.alive(now) && !peer.draining && self.listed.contains_key(id) {
                let data_centre = peer.data_centre.clone();
                candidates.push(Candidate {
                    id: id.clone(),
                    data_centre,
                });
            }
        }
        candidates
    }

    pub(crate) fn update_exclusive(&mut self, now: Moment, out: &mut Vec<Change>) {
        if self.terms.is_empty() {
            return;
        }
        // Instances that are heard but not listed yet count too: the list lags.
        let mut everyone: BTreeSet<&InstanceId> = self.listed.keys().collect();
        everyone.extend(
            self.peers
                .iter()
                .filter(|(_, p)| p.alive(now))
                .map(|(id, _)| id),
        );
        everyone.insert(&self.me.id);
        for (shard, term) in &mut self.terms {
            let follows = |id: &&&InstanceId| {
                **id == &self.me.id
                    || exclusive::follows(self.peers.get(**id), shard, term.epoch, now)
            };
            let following = everyone.iter().filter(follows).count();
            let before = term.exclusivity.exclusive;
            term.exclusivity.update(
                now,
                Count {
                    following,
                    listed: everyone.len(),
                },
            );
            let exclusive = term.exclusivity.exclusive;
            if exclusive != before {
                out.push(Change::Exclusive {
                    shard: shard.clone(),
                    exclusive,
                });
            }
        }
    }
}
