//! When an owner may be sure that it is the only one.
//!
//! What goes wrong without it: instances that don't hear each other, or one that was frozen,
//! both believe to own a shard. Both grant what a cold target bears, the target gets twice that
//! and falls over. One would notice it as cold targets that fail again and again while links
//! between instances are bad.
//!
//! Why this prevents it: an owner counts as exclusive only while a majority of all listed
//! instances says that it follows this owner and no other, in answer to a heartbeat of at most
//! `FOLLOW_TIMEOUT` ago on the owner's own clock. Two majorities share an instance, and an
//! instance follows one owner at a time. A new owner whose followers are a majority, but not
//! all, waits until what the former owner believed or granted has lapsed.

use std::time::Duration;

use types::{Epoch, Moment, Shard};
use wire::PERMIT_LIFETIME;

use crate::{
    peer::{FollowStatement, Peer},
    timeouts::{FOLLOW_TIMEOUT, SAFETY_MARGIN},
};

/// Tells whether a peer's statement still counts.
#[must_use]
pub fn is_follower(peer: Option<&Peer>, shard: &Shard, epoch: Epoch, now: Moment) -> bool {
    let statement = peer.and_then(|p| p.follows.get(shard));
    statement.is_some_and(|FollowStatement { epoch: at, echo }| {
        // An echo ahead of our clock answers a former life of this process.
        *at == epoch && *echo <= now && now - *echo < FOLLOW_TIMEOUT
    })
}

/// How many instances follow an owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowerCount {
    /// Instances that follow, the owner included.
    pub following: usize,
    /// Instances listed, the owner included.
    pub listed: usize,
}

impl FollowerCount {
    /// More than half.
    #[must_use]
    pub const fn is_majority(self) -> bool {
        self.following * 2 > self.listed
    }

    /// Every one.
    #[must_use]
    pub const fn is_all(self) -> bool {
        self.following >= self.listed
    }
}

/// Whether ownership of one shard is exclusive, followed over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exclusivity {
    majority_since: Option<Moment>,
    /// The present answer.
    pub exclusive: bool,
}

impl Exclusivity {
    /// Until a former owner's belief and the permits it gave have lapsed.
    pub const FORMER_OWNER_TIMEOUT: Duration = FOLLOW_TIMEOUT
        .saturating_add(PERMIT_LIFETIME)
        .saturating_add(SAFETY_MARGIN);

    /// Takes the present count into account.
    pub fn update(&mut self, now: Moment, count: FollowerCount) {
        if !count.is_majority() {
            *self = Self::default();
            return;
        }
        let since = *self.majority_since.get_or_insert(now);
        let lapsed = now.saturating_sub(since) >= Self::FORMER_OWNER_TIMEOUT;
        self.exclusive = self.exclusive || count.is_all() || lapsed;
    }
}
