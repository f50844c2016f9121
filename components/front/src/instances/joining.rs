//! Whom an instance that has started greets, and who looks for other instances again. No I/O.
//!
//! All instances start together after a loss of power. Greetings of all by all would be O(n²), and
//! looks of all at the list O(n) calls to the store. An instance that owns nothing and reads for
//! nobody is known early enough by its first sync.

use std::collections::BTreeSet;

use types::InstanceId;

/// Instances at the head of an order that greet each other at the start. Small deployments have no
/// more, so that each of them knows all at once.
pub const GREETED_PER_ORDER: usize = 12;
/// Instances at the head of an order that lead: a group that does not know the rest follows one of
/// these.
const LEADERS: usize = 2;
/// Instances that look again, beside those that lead. The others hear of new members from those.
const EXTRA_READERS: f64 = 8.0;

/// Instances that `me` greets when it has started. An order says in which order instances would own
/// or read something; only those at its head need to know each other at once.
#[must_use]
pub fn peers_to_greet<'a>(
    me: &InstanceId,
    orders: &'a [Vec<InstanceId>],
) -> BTreeSet<&'a InstanceId> {
    let heads = orders.iter().map(|order| head(order, GREETED_PER_ORDER));
    let mine = heads.filter(|head| head.contains(me));
    mine.flatten().filter(|id| *id != me).collect()
}

/// Whether `me` looks at the members in the store again, as one of `count` instances that it knows;
/// `luck` from 0 up to 1 chooses among those that lead nowhere.
#[must_use]
pub fn rereads_members(
    me: &InstanceId,
    orders: &[Vec<InstanceId>],
    count: usize,
    luck: f64,
) -> bool {
    let leads = orders.iter().any(|order| head(order, LEADERS).contains(me));
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    leads || luck * f64::from(count) < EXTRA_READERS
}

fn head(order: &[InstanceId], length: usize) -> &[InstanceId] {
    &order[..order.len().min(length)]
}
