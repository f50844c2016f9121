//! The state machine: heartbeats and the platform's list in, ownership out.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{ConfigVersion, Epoch, Incarnation, InstanceId, Member, Moment, Shard};
use wire::{Heartbeat, ShardSummary};

use crate::{
    api::{Change, Identity, Input},
    exclusive::{self, Count, Exclusivity},
    follow::Follows,
    peer::{Following, Peer},
    rendezvous::{Candidate, next_epoch, pick},
    times::START_WAIT,
};

/// After a shard changed hands it stays there for this long, unless its owner is lost. Instances
/// that see different peers would otherwise take it from each other with every heartbeat.
const SETTLE: Duration = Duration::from_millis(500);

/// A shard that this instance owns.
#[derive(Clone, Debug, PartialEq)]
struct Term {
    epoch: Epoch,
    exclusivity: Exclusivity,
}

/// Membership and ownership as one instance sees them.
#[derive(Debug)]
pub struct Membership {
    me: Identity,
    ready_at: Moment,
    draining: bool,
    listed: BTreeMap<InstanceId, Member>,
    peers: BTreeMap<InstanceId, Peer>,
    shards: BTreeSet<Shard>,
    follows: Follows,
    changed: BTreeMap<Shard, Moment>,
    terms: BTreeMap<Shard, Term>,
    /// Shards that should be owned here, going by these candidates.
    mine: BTreeSet<Shard>,
    candidates: Vec<Candidate>,
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

    /// The heartbeat for one peer.
    #[must_use]
    pub fn heartbeat(
        &self,
        now: Moment,
        to: &InstanceId,
        owned: Vec<ShardSummary>,
        config_version: ConfigVersion,
    ) -> Heartbeat {
        let mut follows = self.follows.claims_of(to);
        if let Some(peer) = self.peers.get(to) {
            follows.extend(self.follows.newer_than(&peer.claims));
        }
        Heartbeat {
            stamp: now,
            echo: self.peers.get(to).map(|p| p.stamp),
            data_centre: self.me.data_centre.clone(),
            config_version,
            draining: self.draining,
            owned,
            follows,
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
    pub fn owned(&self) -> BTreeSet<Shard> {
        self.terms.keys().cloned().collect()
    }

    /// Peers that are alive.
    #[must_use]
    pub fn alive(&self, now: Moment) -> Vec<InstanceId> {
        self.peers
            .iter()
            .filter(|(_, p)| p.alive(now))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether a life of an instance may still be running: it is this one, or it was heard and
    /// is not gone, or it was never heard and may just be starting.
    #[must_use]
    pub fn may_run(&self, now: Moment, id: &InstanceId, incarnation: Incarnation) -> bool {
        if *id == self.me.id {
            return incarnation == self.me.incarnation;
        }
        match self.peers.get(id) {
            Some(peer) => peer.incarnation <= incarnation && !peer.gone(now),
            None => self.listed.contains_key(id) && now < self.ready_at,
        }
    }

    /// Whether this instance hears nobody although others are listed.
    #[must_use]
    pub fn isolated(&self, now: Moment) -> bool {
        let others = self.listed.keys().any(|id| *id != self.me.id);
        others && now >= self.ready_at && !self.peers.values().any(|p| p.alive(now))
    }

    /// Lines for a dump.
    #[must_use]
    pub fn dump(&self, now: Moment) -> Vec<String> {
        let mut lines = Vec::new();
        for (id, peer) in &self.peers {
            let heard = now.saturating_sub(peer.heard).as_millis();
            let state = if peer.alive(now) { "alive" } else { "silent" };
            lines.push(format!("peer {id} {state}, heard {heard} ms ago"));
        }
        for (shard, followed) in self.follows.iter() {
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

    fn claim(&mut self, now: Moment, out: &mut Vec<Change>) {
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
        let mut ask = self.alive(now);
        ask.push(self.me.id.clone());
        let term = Term {
            epoch,
            exclusivity: Exclusivity::default(),
        };
        self.terms.insert(shard.clone(), term);
        out.push(Change::Own { shard, epoch, ask });
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

    fn update_exclusive(&mut self, now: Moment, out: &mut Vec<Change>) {
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
