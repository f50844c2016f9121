//! Selection of the instances that poll the table service, and random choices.

use std::{cmp::Reverse, time::Duration};

use types::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

/// Instances that poll the table service, whatever the size of the deployment. One would be enough;
/// with three, a change is found even if its author crashed before it announced the change and two
/// of the pollers have failed or are partitioned.
pub const POLLER_COUNT: usize = 3;

/// Whether an instance polls: the reachable instances whose names hash highest do. Instances that
/// can't reach any peer all poll.
#[must_use]
pub fn is_poller(me: &InstanceId, peers: &[InstanceId]) -> bool {
    let mine = hash_rank(me);
    let ranked_higher = peers
        .iter()
        .filter(|p| *p != me && hash_rank(p) > mine)
        .count();
    ranked_higher < POLLER_COUNT
}

fn hash_rank(id: &InstanceId) -> (u64, Reverse<InstanceId>) {
    (xxh3_64(id.as_bytes()), Reverse(InstanceId::clone(id)))
}

/// A random time between 0.5 and 1.5 times `period`, so that instances do not act in lockstep.
#[must_use]
pub fn jittered(period: Duration) -> Duration {
    period.mul_f64(0.5 + fastrand::f64())
}

/// A random number, part of the id of an attempt to commit.
#[must_use]
pub fn random_u64() -> u64 {
    fastrand::u64(..)
}

/// At most `count` of the peers, chosen at random.
#[must_use]
pub fn random_peers(peers: &[InstanceId], count: usize) -> Vec<InstanceId> {
    let mut all = peers.to_vec();
    fastrand::shuffle(&mut all);
    all.truncate(count);
    all
}
