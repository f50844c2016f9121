//! Which instances look at the table service for news, and chance.

use std::{cmp::Reverse, time::Duration};

use types::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

/// Instances that poll the table service, however many there are. One would do; with three, news
/// whose author died before telling anyone are found although two of them are gone or cut off.
pub const POLLERS: usize = 3;

/// Whether an instance polls: those whose names hash highest among those heard. Instances that
/// hear no peers all poll.
#[must_use]
pub fn polls(me: &InstanceId, peers: &[InstanceId]) -> bool {
    let mine = rank(me);
    let before_me = peers.iter().filter(|p| *p != me && rank(p) > mine).count();
    before_me < POLLERS
}

fn rank(id: &InstanceId) -> (u64, Reverse<InstanceId>) {
    (xxh3_64(id.as_bytes()), Reverse(InstanceId::clone(id)))
}

/// A time between half and one and a half of `period`: instances must not fall into step.
#[must_use]
pub fn jittered(period: Duration) -> Duration {
    period.mul_f64(0.5 + fastrand::f64())
}

/// A random number.
#[must_use]
pub fn chance() -> u64 {
    fastrand::u64(..)
}

/// At most `count` of the peers, chosen at random.
#[must_use]
pub fn some(peers: &[InstanceId], count: usize) -> Vec<InstanceId> {
    let mut all = peers.to_vec();
    fastrand::shuffle(&mut all);
    all.truncate(count);
    all
}
