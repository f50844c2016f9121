//! The tree through which what the store says spreads from instance to instance. No I/O.
//!
//! Two instances, the readers, follow the store. In each data centre two relays follow the readers,
//! and the rest of the data centre follows its relays. What is new crosses the border of a data
//! centre once for each relay and not once for each instance. All instances hold their question
//! open until something is new, so a level adds the time of a message and no waiting.

use types::InstanceId;

/// Instances that read a topic at the store. A second one, so that nobody has to wait when the
/// first is stopped.
pub const READERS: usize = 2;
/// Instances of a data centre that follow the readers for the rest of it.
pub const RELAYS: usize = 2;
/// Instances up to which a data centre needs no relays: each follows the readers.
const MAX_WITHOUT_RELAYS: usize = 8;

/// The instances that answer, this one among them, those first that should read or relay.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ranking {
    /// All of them.
    pub all: Vec<InstanceId>,
    /// Those of this instance's data centre.
    pub same_data_centre: Vec<InstanceId>,
}

/// What an instance does for others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It follows the store.
    Reader,
    /// It follows the readers, and others of its data centre follow it.
    Relay,
    /// Nobody needs to follow it.
    Leaf,
}

/// An instance's place in the tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TreePosition {
    /// What it does for others.
    pub role: Role,
    /// Whom it follows, the first choice first; for a reader those beside the store.
    pub upstream: Vec<InstanceId>,
}

/// The place of `me`. `turn` says for a leaf which of two comes first, so that the load is shared.
#[must_use]
pub fn position(me: &InstanceId, ranking: &Ranking, turn: bool) -> TreePosition {
    let readers = head(&ranking.all, READERS);
    let relays = head(&ranking.same_data_centre, RELAYS);
    let others = |list: &[InstanceId], turn: bool| {
        let mut others: Vec<InstanceId> = list.iter().filter(|id| *id != me).cloned().collect();
        if turn && others.len() > 1 {
            others.swap(0, 1);
        }
        others
    };
    if readers.contains(me) {
        return TreePosition {
            role: Role::Reader,
            upstream: others(readers, false),
        };
    }
    if ranking.same_data_centre.len() <= MAX_WITHOUT_RELAYS {
        return TreePosition {
            role: Role::Leaf,
            upstream: others(readers, turn),
        };
    }
    match relays.iter().position(|id| id == me) {
        // Two relays follow different readers, or one that dies would leave a data centre behind.
        Some(number) => TreePosition {
            role: Role::Relay,
            upstream: others(readers, number == 1),
        },
        None => TreePosition {
            role: Role::Leaf,
            upstream: others(relays, turn),
        },
    }
}

fn head(order: &[InstanceId], length: usize) -> &[InstanceId] {
    &order[..order.len().min(length)]
}
