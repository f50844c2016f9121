//! The state of a shard as text, for dumps.

use types::Moment;

use crate::{owner_state::OwnerState, shard::ShardState};

impl ShardState {
    /// Appends one line about the shard and one about each of its targets.
    pub fn dump(&self, now: Moment, owner_state: &OwnerState, lines: &mut Vec<String>) {
        lines.push(format!(
            "owner of {} in term {}: granting {}, exclusive {}, {} waiting, awaiting {:?}",
            self.shard,
            self.epoch,
            self.can_grant(now),
            self.exclusive,
            self.queue.len(),
            self.unanswered_queries()
        ));
        let Some(limits) = owner_state.view.limits.get(&self.shard.service) else {
            return;
        };
        for (id, account) in &self.accounts {
            lines.push(format!(
                "  target {id}: {} of {} running, cold {}, open {}, {:.0} of {} tokens at the peak, {:.0} now",
                account.occupied_slots(),
                account.limiter.slots(limits),
                account.limiter.is_cold(),
                account.accepts_work(&owner_state.view),
                account.last_projection().peak(&owner_state.tuning),
                account.capacity(limits), account.last_projection().current()
            ));
        }
    }
}
