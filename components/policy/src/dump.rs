//! An owner's state as text.

use types::Moment;

use crate::{owner_state::OwnerState, shard::ShardState};

impl ShardState {
    /// Appends a few lines about the shard and each of its targets.
    pub fn dump(&self, now: Moment, owner_state: &OwnerState, lines: &mut Vec<String>) {
        lines.push(format!(
            "owner of {} in term {}: granting {}, exclusive {}, {} waiting, awaiting {:?}",
            self.shard,
            self.epoch,
            self.granting(now),
            self.exclusive,
            self.line.len(),
            self.awaiting()
        ));
        let Some(limits) = owner_state.view.limits.get(&self.shard.service) else {
            return;
        };
        for (id, account) in &self.accounts {
            lines.push(format!(
                "  target {id}: {} of {} running, cold {}, open {}, {:.0} of {} tokens at the peak, {:.0} now",
                account.occupied(),
                account.limiter.slots(limits),
                account.limiter.is_cold(),
                account.is_open(&owner_state.view),
                account.last_projection().peak(&owner_state.tuning),
                account.capacity(limits), account.last_projection().now()
            ));
        }
    }
}
