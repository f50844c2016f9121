//! An owner's state as text.

use types::Moment;

use crate::{shard::ShardState, shared::Shared};

impl ShardState {
    /// Appends a few lines about the shard and each of its targets.
    pub fn dump(&self, now: Moment, shared: &Shared, lines: &mut Vec<String>) {
        lines.push(format!(
            "owner of {} in term {}: granting {}, exclusive {}, {} waiting, awaiting {:?}",
            self.shard,
            self.epoch,
            self.granting(now),
            self.exclusive,
            self.line.len(),
            self.awaiting()
        ));
        let Some(limits) = shared.view.limits.get(&self.shard.service) else {
            return;
        };
        for (id, account) in &self.accounts {
            lines.push(format!(
                "  target {id}: {} of {} running, cold {}, open {}, {:.0} of {} tokens at the peak, {:.0} now",
                account.occupied(),
                account.limiter.slots(limits),
                account.limiter.is_cold(),
                account.is_open(&shared.view),
                account.last_projection().peak(&shared.tuning),
                account.capacity(limits), account.last_projection().now()
            ));
        }
    }
}
