//! Decides which peers an instance greets after its start, and which instances reread the members
//! from the store. No I/O.
//!
//! After a power failure all instances start together. If each greeted all others, that would take
//! O(n²) messages, and if each reread the members, O(n) calls to the store. An instance that is
//! neither an owner nor a reader becomes known early enough by its first sync.

use std::collections::BTreeSet;

use types::InstanceId;

/// Instances at the head of an order that greet each other at the start. Small deployments have no
/// more instances than that, so there each instance knows all others at once.
pub const GREETED_PER_ORDER: usize = 12;
/// Instances at the head of an order that lead. A group of instances that does not know the rest
/// takes one of its own leaders for the owner or reader, so leaders reread the members.
const LEADERS: usize = 2;
/// Mean number of instances that reread the members, besides the leaders. The others get new
/// members from those.
const EXTRA_READERS: f64 = 8.0;

/// The peers that `me` greets after its start: the heads of those orders in whose head it is. Each
/// order ranks the instances as owners of a shard or readers of a topic; only those at its head
/// need to know each other at once.
#[must_use]
pub fn peers_to_greet<'a>(
    me: &InstanceId,
    orders: &'a [Vec<InstanceId>],
) -> BTreeSet<&'a InstanceId> {
    let heads = orders.iter().map(|order| head(order, GREETED_PER_ORDER));
    let own = heads.filter(|head| head.contains(me));
    own.flatten().filter(|id| *id != me).collect()
}

/// Whether `me`, as one of `count` known instances, rereads the members from the store. Leaders
/// always do; of the others, a uniform random number `random` in [0, 1) chooses a few.
#[must_use]
pub fn rereads_members(
    me: &InstanceId,
    orders: &[Vec<InstanceId>],
    count: usize,
    random: f64,
) -> bool {
    let leads = orders.iter().any(|order| head(order, LEADERS).contains(me));
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    leads || random * f64::from(count) < EXTRA_READERS
}

fn head(order: &[InstanceId], length: usize) -> &[InstanceId] {
    &order[..order.len().min(length)]
}
