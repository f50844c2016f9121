//! Determines whether an owner is certainly the only owner of a shard.
//!
//! Two instances can both believe that they own a shard: when messages between them are lost, or
//! when one of them was paused and does not know yet that it was replaced. Each would grant as
//! many requests as a cold target can run, the target would get twice that number and crash. The
//! symptom would be cold targets that crash repeatedly while the network between instances is
//! unreliable.
//!
//! An owner therefore counts as exclusive only while a majority of all listed instances states
//! that it follows this owner and no other, in answer to a heartbeat that the owner sent at most
//! `FOLLOW_TIMEOUT` ago on its own clock. Any two majorities have an instance in common, and an
//! instance follows one owner at a time. A new owner that is followed by a majority, but not by
//! all, waits until the former owner's followers and the permits that it granted have expired.

use std::time::Duration;

use types::{Epoch, Moment, Shard};
use wire::PERMIT_LIFETIME;

use crate::{
    peer::{FollowStatement, Peer},
    timeouts::{FOLLOW_TIMEOUT, SAFETY_MARGIN},
};

/// Whether a peer's statement that it follows this instance in the given term is still valid.
#[must_use]
pub fn is_follower(peer: Option<&Peer>, shard: &Shard, epoch: Epoch, now: Moment) -> bool {
    let statement = peer.and_then(|p| p.follows.get(shard));
    statement.is_some_and(|FollowStatement { epoch: term, echo }| {
        // An echo later than the present time answers a previous incarnation of this process.
        *term == epoch && *echo <= now && now - *echo < FOLLOW_TIMEOUT
    })
}

/// The number of instances that follow an owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowerCount {
    /// Instances that follow the owner, including itself.
    pub following: usize,
    /// All instances that are listed or alive, including the owner.
    pub instances: usize,
}

impl FollowerCount {
    /// Whether more than half of the instances follow the owner.
    #[must_use]
    pub const fn is_majority(self) -> bool {
        self.following * 2 > self.instances
    }

    /// Whether all instances follow the owner.
    #[must_use]
    pub const fn is_all(self) -> bool {
        self.following >= self.instances
    }
}

/// Whether this instance's ownership of one shard is exclusive. It becomes exclusive when all
/// instances follow this one, or when a majority has done so for
/// [`FORMER_OWNER_TIMEOUT`](Self::FORMER_OWNER_TIMEOUT), and ends with the majority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Exclusivity {
    majority_since: Option<Moment>,
    /// Whether the ownership is exclusive now.
    pub exclusive: bool,
}

impl Exclusivity {
    /// Time after which a former owner no longer has a majority, and the permits that it granted
    /// have expired.
    pub const FORMER_OWNER_TIMEOUT: Duration = FOLLOW_TIMEOUT
        .saturating_add(PERMIT_LIFETIME)
        .saturating_add(SAFETY_MARGIN);

    /// Updates the state with the present number of followers.
    pub fn update(&mut self, now: Moment, count: FollowerCount) {
        if !count.is_majority() {
            *self = Self::default();
            return;
        }
        let since = *self.majority_since.get_or_insert(now);
        let expired = now.saturating_sub(since) >= Self::FORMER_OWNER_TIMEOUT;
        self.exclusive = self.exclusive || count.is_all() || expired;
    }
}
