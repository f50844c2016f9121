//! The tree through which changes in the store spread from instance to instance. No I/O.
//!
//! Two instances, the readers, follow the store. In each data centre two relays follow the readers,
//! and the other instances of the data centre follow its relays. So a change enters a data centre
//! once per relay and not once per instance. All instances use long polling, so each level of the
//! tree adds the latency of one message and no polling interval.

use types::InstanceId;

/// Instances that follow a topic at the store. There are two so that followers need not wait when
/// one is stopped.
pub const READERS: usize = 2;
/// Instances of a data centre that follow the readers on behalf of the others.
pub const RELAYS: usize = 2;
/// A data centre with at most this many instances has no relays: each follows the readers.
const MAX_WITHOUT_RELAYS: usize = 8;

/// The responsive instances, including this one, in the order in which they read or relay a topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ranking {
    /// All instances.
    pub all: Vec<InstanceId>,
    /// The instances of this instance's data centre.
    pub same_data_centre: Vec<InstanceId>,
}

/// An instance's role in the tree.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows the store.
    Reader,
    /// Follows the readers; others of its data centre follow it.
    Relay,
    /// No other instance follows it.
    Leaf,
}

/// An instance's position in the tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TreePosition {
    /// Its role.
    pub role: Role,
    /// The instances that it follows, in order of preference; for a reader, in case the store
    /// fails.
    pub upstream: Vec<InstanceId>,
    /// Whether those are the relays of its data centre.
    pub follows_relays: bool,
}

/// The position of `me`. `swap` exchanges the two upstream instances of a leaf, to spread the load.
#[must_use]
pub fn position(me: &InstanceId, ranking: &Ranking, swap: bool) -> TreePosition {
    let readers = head(&ranking.all, READERS);
    let relays = head(&ranking.same_data_centre, RELAYS);
    let others = |list: &[InstanceId], swap: bool| {
        let mut others: Vec<InstanceId> = list.iter().filter(|id| *id != me).cloned().collect();
        if swap && others.len() > 1 {
            others.swap(0, 1);
        }
        others
    };
    if readers.contains(me) {
        return TreePosition {
            role: Role::Reader,
            upstream: others(readers, false),
            follows_relays: false,
        };
    }
    if ranking.same_data_centre.len() <= MAX_WITHOUT_RELAYS {
        return TreePosition {
            role: Role::Leaf,
            upstream: others(readers, swap),
            follows_relays: false,
        };
    }
    match relays.iter().position(|id| id == me) {
        // The two relays follow different readers, so that the failure of one reader does not cut
        // off a data centre.
        Some(number) => TreePosition {
            role: Role::Relay,
            upstream: others(readers, number == 1),
            follows_relays: false,
        },
        None => TreePosition {
            role: Role::Leaf,
            upstream: others(relays, swap),
            follows_relays: true,
        },
    }
}

fn head(order: &[InstanceId], length: usize) -> &[InstanceId] {
    &order[..order.len().min(length)]
}
