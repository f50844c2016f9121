//! Read access to membership, and the heartbeats that are sent.

use std::collections::BTreeSet;

use types::{ConfigVersion, Incarnation, InstanceId, Member, Moment, Shard};
use wire::{Heartbeat, ShardSummary};

use crate::membership::Membership;

impl Membership {
    /// Builds the heartbeat for one peer. `owned` summarizes the shards that this instance owns.
    /// The quarantine digest is left 0 for the caller to fill in.
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

    /// Returns the listed instances except this one; heartbeats are sent to them.
    #[must_use]
    pub fn peers(&self) -> Vec<Member> {
        self.listed
            .values()
            .filter(|m| m.id != self.me.id)
            .cloned()
            .collect()
    }

    /// Returns the shards that this instance owns.
    #[must_use]
    pub fn owned_shards(&self) -> BTreeSet<Shard> {
        self.terms.keys().cloned().collect()
    }

    /// Returns the peers that are alive.
    #[must_use]
    pub fn alive_peers(&self, now: Moment) -> Vec<InstanceId> {
        self.peers
            .iter()
            .filter(|(_, p)| p.is_alive(now))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether an incarnation of an instance may still be running: it is this process, or a peer
    /// that is not gone, or a listed peer that has not sent a heartbeat yet because this instance
    /// has just started.
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

    /// Whether no peer is alive although others are listed.
    #[must_use]
    pub fn is_isolated(&self, now: Moment) -> bool {
        let others = self.listed.keys().any(|id| *id != self.me.id);
        others && now >= self.ready_at && !self.peers.values().any(|p| p.is_alive(now))
    }

    /// Returns a description of the state for operators, in lines.
    #[must_use]
    pub fn dump(&self, now: Moment) -> Vec<String> {
        let mut lines = Vec::new();
        for (id, peer) in &self.peers {
            let last_seen_ms = now.saturating_sub(peer.last_seen).as_millis();
            let state = if peer.is_alive(now) {
                "alive"
            } else {
                "silent"
            };
            lines.push(format!("peer {id} {state}, heard {last_seen_ms} ms ago"));
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
