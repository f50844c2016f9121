//! What others may ask of membership.

use std::collections::BTreeSet;

use types::{ConfigVersion, Incarnation, InstanceId, Member, Moment, Shard};
use wire::{Heartbeat, ShardSummary};

use crate::membership::Membership;

impl Membership {
    /// The heartbeat for one peer.
    #[must_use]
    pub fn heartbeat(
        &self,
        now: Moment,
        to: &InstanceId,
        owned: Vec<ShardSummary>,
        config_version: ConfigVersion,
    ) -> Heartbeat {
        let mut follows = self.followed_owners.known_owners_for(to);
        if let Some(peer) = self.peers.get(to) {
            follows.extend(self.followed_owners.newer_terms(&peer.owned_shards));
        }
        Heartbeat {
            stamp: now,
            echo: self.peers.get(to).map(|p| p.stamp),
            data_centre: self.me.data_centre.clone(),
            config_version,
            draining: self.draining,
            owned,
            follows,
            quarantine: 0,
        }
    }

    /// Peers to send heartbeats to.
    #[must_use]
    pub fn peers(&self) -> Vec<Member> {
        self.listed
            .values()
            .filter(|m| m.id != self.me.id)
            .cloned()
            .collect()
    }

    /// Shards owned here.
    #[must_use]
    pub fn owned_shards(&self) -> BTreeSet<Shard> {
        self.terms.keys().cloned().collect()
    }

    /// Peers that are alive.
    #[must_use]
    pub fn alive_peers(&self, now: Moment) -> Vec<InstanceId> {
        self.peers
            .iter()
            .filter(|(_, p)| p.is_alive(now))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether a life of an instance may still be running: it is this one, or it was heard and
    /// is not gone, or it was never heard and may just be starting.
    #[must_use]
    pub fn may_be_running(&self, now: Moment, id: &InstanceId, incarnation: Incarnation) -> bool {
        if *id == self.me.id {
            return incarnation == self.me.incarnation;
        }
        match self.peers.get(id) {
            Some(peer) => peer.incarnation <= incarnation && !peer.is_gone(now),
            None => self.listed.contains_key(id) && now < self.ready_at,
        }
    }

    /// Whether this instance hears nobody although others are listed.
    #[must_use]
    pub fn is_isolated(&self, now: Moment) -> bool {
        let others = self.listed.keys().any(|id| *id != self.me.id);
        others && now >= self.ready_at && !self.peers.values().any(|p| p.is_alive(now))
    }

    /// Lines for a dump.
    #[must_use]
    pub fn dump(&self, now: Moment) -> Vec<String> {
        let mut lines = Vec::new();
        for (id, peer) in &self.peers {
            let heard = now.saturating_sub(peer.last_seen).as_millis();
            let state = if peer.is_alive(now) {
                "alive"
            } else {
                "silent"
            };
            lines.push(format!("peer {id} {state}, heard {heard} ms ago"));
        }
        for (shard, followed) in self.followed_owners.iter() {
            let owner = followed.owner.as_deref().unwrap_or("nobody");
            lines.push(format!(
                "shard {shard} owner {owner} term {}",
                followed.epoch
            ));
        }
        for (shard, term) in &self.terms {
            let exclusive = term.exclusivity.exclusive;
            lines.push(format!(
                "owns {shard} term {} exclusive {exclusive}",
                term.epoch
            ));
        }
        lines
    }
}
