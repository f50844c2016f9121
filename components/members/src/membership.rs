//! The state machine of membership: handles heartbeats and the platform's list, and reports
//! changes of ownership.
//!
//! Its invariant is that an owner follows itself in its own term, and that an instance that shuts
//! down owns nothing.

use std::collections::{BTreeMap, BTreeSet};

use types::{Epoch, Incarnation, InstanceId, Member, Moment, Shard};
use wire::Heartbeat;

use crate::{
    api::{Change, Identity, Input},
    exclusive::Exclusivity,
    followed_owners::FollowedOwners,
    peer::{FollowStatement, Peer},
    rendezvous::Candidate,
    timeouts::STARTUP_DELAY,
};

/// The term in which this instance owns a shard.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Term {
    pub(crate) epoch: Epoch,
    pub(crate) exclusivity: Exclusivity,
}

/// Membership and ownership as this instance sees them.
#[derive(Debug)]
pub struct Membership {
    pub(crate) me: Identity,
    /// End of the grace period after the start or the last pause.
    pub(crate) ready_at: Moment,
    pub(crate) draining: bool,
    pub(crate) listed: BTreeMap<InstanceId, Member>,
    pub(crate) peers: BTreeMap<InstanceId, Peer>,
    pub(crate) shards: BTreeSet<Shard>,
    pub(crate) followed_owners: FollowedOwners,
    pub(crate) owner_changed_at: BTreeMap<Shard, Moment>,
    /// The shards that this instance owns.
    pub(crate) terms: BTreeMap<Shard, Term>,
    /// The shards that rendezvous hashing over `candidates` assigns to this instance.
    pub(crate) assigned: BTreeSet<Shard>,
    /// The candidates from which `assigned` was computed; empty if it has to be computed again.
    pub(crate) candidates: Vec<Candidate>,
}

impl Membership {
    /// Creates a membership without peers and shards.
    #[must_use]
    pub fn new(now: Moment, me: Identity) -> Self {
        Self {
            me,
            ready_at: now + STARTUP_DELAY,
            draining: false,
            listed: BTreeMap::new(),
            peers: BTreeMap::new(),
            shards: BTreeSet::new(),
            followed_owners: FollowedOwners::default(),
            owner_changed_at: BTreeMap::new(),
            terms: BTreeMap::new(),
            assigned: BTreeSet::new(),
            candidates: Vec::new(),
        }
    }

    /// Handles one input, and appends the resulting changes to `out`.
    ///
    /// # Panics
    /// Panics if an invariant of the module is violated.
    pub fn handle(&mut self, now: Moment, input: Input, out: &mut Vec<Change>) {
        // Checking all peers and shards on every heartbeat would take time quadratic in their
        // number. The next tick is soon enough, because whatever a heartbeat proves expires by
        // the clock alone.
        let is_heartbeat = matches!(input, Input::Heartbeat { .. });
        match input {
            Input::Listed(members) => self.set_listed(members),
            Input::Heartbeat {
                from,
                incarnation,
                heartbeat,
            } => {
                self.receive_heartbeat(now, &from, incarnation, heartbeat, out);
            }
            Input::Queried { from, shard, epoch } => self.follow(now, &from, &shard, epoch, out),
            Input::ConnectionRefused { peer } => {
                if let Some(peer) = self.peers.get_mut(&peer) {
                    peer.connection_refused = true;
                }
            }
            Input::Shards(shards) => self.set_shards(shards, out),
            Input::Paused { .. } => self.handle_pause(now, out),
            Input::Drain => self.drain(out),
            Input::Tick => {}
        }
        if !is_heartbeat {
            self.detect_lost_peers(now, out);
            self.acquire_shards(now, out);
            self.update_exclusivity(now, out);
        }
        self.assert_invariants();
    }

    fn set_listed(&mut self, members: Vec<Member>) {
        self.listed = members.into_iter().map(|m| (m.id.clone(), m)).collect();
        // Removes peers that are gone and no longer listed.
        let listed = &self.listed;
        self.peers
            .retain(|id, p| listed.contains_key(id) || !p.gone_reported);
    }

    fn receive_heartbeat(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        out: &mut Vec<Change>,
    ) {
        if *from == self.me.id {
            return;
        }
        let known = self.peers.get(from);
        if known.is_some_and(|p| p.incarnation > incarnation) {
            return;
        }
        if known.is_some_and(|p| p.incarnation < incarnation && !p.gone_reported) {
            // The peer has restarted; the permits of its previous incarnation are gone.
            self.remove_owner(now, from, out);
            out.push(Change::PeerGone { peer: from.clone() });
        }
        if self.peers.get(from).is_none_or(|p| !p.is_alive(now)) {
            out.push(Change::PeerAlive { peer: from.clone() });
        }
        self.peers.insert(
            from.clone(),
            peer_from_heartbeat(now, &self.me.id, incarnation, &heartbeat),
        );
        for known in &heartbeat.follows {
            self.yield_to_newer_term(&known.shard, known.epoch, out);
        }
        for summary in &heartbeat.owned {
            self.follow(now, from, &summary.shard, summary.epoch, out);
        }
        out.push(Change::Summary {
            owner: from.clone(),
            shards: heartbeat.owned,
        });
        out.push(Change::PeerConfig {
            peer: from.clone(),
            version: heartbeat.config_version,
        });
    }

    /// Follows an owner if its term is newer, or if the owner has returned in the same term.
    fn follow(
        &mut self,
        now: Moment,
        owner: &InstanceId,
        shard: &Shard,
        epoch: Epoch,
        out: &mut Vec<Change>,
    ) {
        if *owner == self.me.id {
            return;
        }
        let has_returned = self.followed_owners.epoch(shard) == epoch
            && self.followed_owners.owner(shard).is_none();
        if has_returned {
            self.followed_owners.restore(shard, owner);
        } else if !self.followed_owners.follow(shard, owner, epoch) {
            return;
        }
        self.terms.remove(shard);
        self.owner_changed_at.insert(shard.clone(), now);
        let owner = Some(owner.clone());
        out.push(Change::Follow {
            shard: shard.clone(),
            owner,
            epoch,
        });
    }

    /// Releases a shard if a peer knows a newer term than this instance's, even if the owner of
    /// that term is lost: no instance accepts the older term any more. `acquire_shards` starts
    /// another term if the shard is still assigned to this instance.
    fn yield_to_newer_term(&mut self, shard: &Shard, epoch: Epoch, out: &mut Vec<Change>) {
        if self.terms.get(shard).is_some_and(|t| t.epoch < epoch) {
            self.followed_owners.record_epoch(shard, epoch);
            self.release(shard, out);
        }
    }

    fn set_shards(&mut self, shards: BTreeSet<Shard>, out: &mut Vec<Change>) {
        let removed: Vec<Shard> = self
            .terms
            .keys()
            .filter(|s| !shards.contains(*s))
            .cloned()
            .collect();
        for shard in removed {
            self.release(&shard, out);
        }
        if self.shards != shards {
            self.shards = shards;
            self.candidates.clear();
        }
    }

    /// Handles a pause of the process, whose state is outdated after it: releases all shards, and
    /// acquires none until heartbeats of the peers have arrived again.
    fn handle_pause(&mut self, now: Moment, out: &mut Vec<Change>) {
        self.release_all(out);
        self.ready_at = now + STARTUP_DELAY;
        for peer in self.peers.values_mut() {
            peer.last_seen = now;
            peer.follows.clear();
        }
    }

    fn drain(&mut self, out: &mut Vec<Change>) {
        self.draining = true;
        self.release_all(out);
    }

    fn release_all(&mut self, out: &mut Vec<Change>) {
        let owned: Vec<Shard> = self.terms.keys().cloned().collect();
        for shard in owned {
            self.release(&shard, out);
        }
    }

    /// Ends this instance's ownership of a shard, and reports it.
    fn release(&mut self, shard: &Shard, out: &mut Vec<Change>) {
        self.terms.remove(shard);
        self.followed_owners.release(shard);
        let epoch = self.followed_owners.epoch(shard);
        out.push(Change::Follow {
            shard: shard.clone(),
            owner: None,
            epoch,
        });
    }

    /// Stops following an owner that became unresponsive or restarted, and reports its shards.
    fn remove_owner(&mut self, now: Moment, owner: &InstanceId, out: &mut Vec<Change>) {
        for (shard, epoch) in self.followed_owners.remove_owner(owner) {
            self.owner_changed_at.insert(shard.clone(), now);
            out.push(Change::Follow {
                shard,
                owner: None,
                epoch,
            });
        }
    }

    /// Reports peers that became unresponsive or gone, and releases all shards if no peer is
    /// alive.
    fn detect_lost_peers(&mut self, now: Moment, out: &mut Vec<Change>) {
        let mut unresponsive = Vec::new();
        let mut gone = Vec::new();
        for (id, peer) in &mut self.peers {
            if !peer.is_alive(now) && !peer.unresponsive_reported {
                peer.unresponsive_reported = true;
                unresponsive.push(id.clone());
            }
            if peer.is_gone(now) && !peer.gone_reported {
                peer.gone_reported = true;
                gone.push(id.clone());
            }
        }
        for peer in unresponsive {
            self.remove_owner(now, &peer, out);
            out.push(Change::PeerUnresponsive { peer });
        }
        out.extend(gone.into_iter().map(|peer| Change::PeerGone { peer }));
        if self.is_isolated(now) {
            self.release_all(out);
        }
    }

    fn assert_invariants(&self) {
        for (shard, term) in &self.terms {
            assert!(
                self.followed_owners.owner(shard) == Some(&self.me.id)
                    && self.followed_owners.epoch(shard) == term.epoch,
                "{} owns {shard} in term {} but follows {:?} in term {}",
                self.me.id,
                term.epoch,
                self.followed_owners.owner(shard),
                self.followed_owners.epoch(shard)
            );
        }
        assert!(
            !self.draining || self.terms.is_empty(),
            "a draining instance owns shards"
        );
    }
}

/// Builds the state of a peer from its heartbeat.
fn peer_from_heartbeat(
    now: Moment,
    me: &InstanceId,
    incarnation: Incarnation,
    heartbeat: &Heartbeat,
) -> Peer {
    let echo = heartbeat.echo.unwrap_or_default();
    let follows_me = heartbeat
        .follows
        .iter()
        .filter(|known| known.owner.as_ref() == Some(me));
    Peer {
        incarnation,
        data_centre: heartbeat.data_centre.clone(),
        last_seen: now,
        stamp: heartbeat.stamp,
        draining: heartbeat.draining,
        connection_refused: false,
        unresponsive_reported: false,
        gone_reported: false,
        config_version: heartbeat.config_version,
        owned_shards: heartbeat
            .owned
            .iter()
            .map(|s| (s.shard.clone(), s.epoch))
            .collect(),
        follows: follows_me
            .map(|known| {
                (
                    known.shard.clone(),
                    FollowStatement {
                        epoch: known.epoch,
                        echo,
                    },
                )
            })
            .collect(),
    }
}
