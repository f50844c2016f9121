//! The state machine: heartbeats and the platform's list in, ownership out.

use std::collections::{BTreeMap, BTreeSet};

use types::{Epoch, Incarnation, InstanceId, Member, Moment, Shard};
use wire::Heartbeat;

use crate::{
    api::{Change, Identity, Input},
    exclusive::Exclusivity,
    follow::Follows,
    peer::{Following, Peer},
    rendezvous::Candidate,
    times::START_WAIT,
};

/// A shard that this instance owns.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Term {
    pub(crate) epoch: Epoch,
    pub(crate) exclusivity: Exclusivity,
}

/// Membership and ownership as one instance sees them.
#[derive(Debug)]
pub struct Membership {
    pub(crate) me: Identity,
    pub(crate) ready_at: Moment,
    pub(crate) draining: bool,
    pub(crate) listed: BTreeMap<InstanceId, Member>,
    pub(crate) peers: BTreeMap<InstanceId, Peer>,
    pub(crate) shards: BTreeSet<Shard>,
    pub(crate) follows: Follows,
    pub(crate) changed: BTreeMap<Shard, Moment>,
    pub(crate) terms: BTreeMap<Shard, Term>,
    /// Shards that should be owned here, going by these candidates.
    pub(crate) mine: BTreeSet<Shard>,
    pub(crate) candidates: Vec<Candidate>,
}

impl Membership {
    /// Starts knowing nobody.
    #[must_use]
    pub fn new(now: Moment, me: Identity) -> Self {
        Self {
            me,
            ready_at: now + START_WAIT,
            draining: false,
            listed: BTreeMap::new(),
            peers: BTreeMap::new(),
            shards: BTreeSet::new(),
            follows: Follows::default(),
            changed: BTreeMap::new(),
            terms: BTreeMap::new(),
            mine: BTreeSet::new(),
            candidates: Vec::new(),
        }
    }

    /// Takes one input and appends what others have to know to `out`.
    pub fn handle(&mut self, now: Moment, input: Input, out: &mut Vec<Change>) {
        // Looking at all peers and shards for each peer's heartbeat would take time by the
        // square of their number; the next tick is soon enough, since whatever rests on a
        // heartbeat lapses by the clock alone.
        let heard = matches!(input, Input::Heartbeat { .. });
        match input {
            Input::Listed(members) => self.list(members),
            Input::Heartbeat {
                from,
                incarnation,
                heartbeat,
            } => {
                self.hear(now, &from, incarnation, heartbeat, out);
            }
            Input::Queried { from, shard, epoch } => self.follow(now, &from, &shard, epoch, out),
            Input::Refused { peer } => {
                if let Some(peer) = self.peers.get_mut(&peer) {
                    peer.refused = true;
                }
            }
            Input::Shards(shards) => self.set_shards(shards, out),
            Input::Paused { .. } => self.pause(now, out),
            Input::Drain => self.drain(out),
            Input::Tick => {}
        }
        if !heard {
            self.judge(now, out);
            self.claim(now, out);
            self.update_exclusive(now, out);
        }
        self.assert_invariants();
    }

    fn list(&mut self, members: Vec<Member>) {
        self.listed = members.into_iter().map(|m| (m.id.clone(), m)).collect();
        // An instance that is no longer listed and no longer heard is history.
        let listed = &self.listed;
        self.peers
            .retain(|id, p| listed.contains_key(id) || !p.told_gone);
    }

    fn hear(
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
        if known.is_some_and(|p| p.incarnation < incarnation && !p.told_gone) {
            // A restart: whatever the former life held is gone with it.
            self.lose(now, from, out);
            out.push(Change::Gone { peer: from.clone() });
        }
        if self.peers.get(from).is_none_or(|p| !p.alive(now)) {
            out.push(Change::Heard { peer: from.clone() });
        }
        self.peers.insert(
            from.clone(),
            heard_peer(now, &self.me.id, incarnation, &heartbeat),
        );
        for claim in &heartbeat.follows {
            self.yield_to_newer(&claim.shard, claim.epoch, out);
        }
        for summary in &heartbeat.owned {
            self.follow(now, from, &summary.shard, summary.epoch, out);
        }
        out.push(Change::Summary {
            owner: from.clone(),
            shards: heartbeat.owned,
        });
        out.push(Change::Config {
            peer: from.clone(),
            version: heartbeat.config_version,
        });
    }

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
        let back = self.follows.epoch(shard) == epoch && self.follows.owner(shard).is_none();
        if back {
            self.follows.restore(shard, owner);
        } else if !self.follows.follow(shard, owner, epoch) {
            return;
        }
        self.terms.remove(shard);
        self.changed.insert(shard.clone(), now);
        let owner = Some(owner.clone());
        out.push(Change::Follow {
            shard: shard.clone(),
            owner,
            epoch,
        });
    }

    /// A peer knows a newer term than ours, of an owner that may be lost: ours counts nowhere
    /// any more. `claim` starts a newer one if the shard should be ours.
    fn yield_to_newer(&mut self, shard: &Shard, epoch: Epoch, out: &mut Vec<Change>) {
        if self.terms.get(shard).is_some_and(|t| t.epoch < epoch) {
            self.follows.note(shard, epoch);
            self.give_up(shard, out);
        }
    }

    fn set_shards(&mut self, shards: BTreeSet<Shard>, out: &mut Vec<Change>) {
        let ended: Vec<Shard> = self
            .terms
            .keys()
            .filter(|s| !shards.contains(*s))
            .cloned()
            .collect();
        for shard in ended {
            self.give_up(&shard, out);
        }
        if self.shards != shards {
            self.shards = shards;
            self.candidates.clear();
        }
    }

    /// A process that was frozen believes what it knew before. It owns nothing until it has
    /// heard its peers again.
    fn pause(&mut self, now: Moment, out: &mut Vec<Change>) {
        self.give_up_all(out);
        self.ready_at = now + START_WAIT;
        for peer in self.peers.values_mut() {
            peer.heard = now;
            peer.follows.clear();
        }
    }

    fn drain(&mut self, out: &mut Vec<Change>) {
        self.draining = true;
        self.give_up_all(out);
    }

    fn give_up_all(&mut self, out: &mut Vec<Change>) {
        let owned: Vec<Shard> = self.terms.keys().cloned().collect();
        for shard in owned {
            self.give_up(&shard, out);
        }
    }

    fn give_up(&mut self, shard: &Shard, out: &mut Vec<Change>) {
        self.terms.remove(shard);
        self.follows.release(shard);
        let epoch = self.follows.epoch(shard);
        out.push(Change::Follow {
            shard: shard.clone(),
            owner: None,
            epoch,
        });
    }

    fn lose(&mut self, now: Moment, owner: &InstanceId, out: &mut Vec<Change>) {
        for (shard, epoch) in self.follows.lose(owner) {
            self.changed.insert(shard.clone(), now);
            out.push(Change::Follow {
                shard,
                owner: None,
                epoch,
            });
        }
    }

    /// Tells who fell silent and who is gone, and gives up everything when hearing nobody.
    fn judge(&mut self, now: Moment, out: &mut Vec<Change>) {
        let mut silent = Vec::new();
        let mut gone = Vec::new();
        for (id, peer) in &mut self.peers {
            if !peer.alive(now) && !peer.told_silent {
                peer.told_silent = true;
                silent.push(id.clone());
            }
            if peer.gone(now) && !peer.told_gone {
                peer.told_gone = true;
                gone.push(id.clone());
            }
        }
        for peer in silent {
            self.lose(now, &peer, out);
            out.push(Change::Silent { peer });
        }
        out.extend(gone.into_iter().map(|peer| Change::Gone { peer }));
        if self.isolated(now) {
            self.give_up_all(out);
        }
    }

    fn assert_invariants(&self) {
        for (shard, term) in &self.terms {
            assert!(
                self.follows.owner(shard) == Some(&self.me.id)
                    && self.follows.epoch(shard) == term.epoch,
                "{} owns {shard} in term {} but follows {:?} in term {}",
                self.me.id,
                term.epoch,
                self.follows.owner(shard),
                self.follows.epoch(shard)
            );
        }
        assert!(
            !self.draining || self.terms.is_empty(),
            "a draining instance owns shards"
        );
    }
}

fn heard_peer(
    now: Moment,
    me: &InstanceId,
    incarnation: Incarnation,
    heartbeat: &Heartbeat,
) -> Peer {
    let echo = heartbeat.echo.unwrap_or_default();
    let ours = heartbeat
        .follows
        .iter()
        .filter(|c| c.owner.as_ref() == Some(me));
    Peer {
        incarnation,
        data_centre: heartbeat.data_centre.clone(),
        heard: now,
        stamp: heartbeat.stamp,
        draining: heartbeat.draining,
        refused: false,
        told_silent: false,
        told_gone: false,
        config_version: heartbeat.config_version,
        claims: heartbeat
            .owned
            .iter()
            .map(|s| (s.shard.clone(), s.epoch))
            .collect(),
        follows: ours
            .map(|c| {
                (
                    c.shard.clone(),
                    Following {
                        epoch: c.epoch,
                        echo,
                    },
                )
            })
            .collect(),
    }
}
