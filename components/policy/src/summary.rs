//! Load summary of a shard, for the other instances.

use types::{Class, Moment};
use wire::ShardSummary;

use crate::{account::TargetAccount, owner_state::OwnerState, shard::ShardState};

impl ShardState {
    /// Returns the load summary.
    #[must_use]
    pub fn summary(&self, now: Moment, owner_state: &OwnerState) -> ShardSummary {
        let Some(limits) = owner_state.view.limits.get(&self.shard.service) else {
            return self.summary_of(now, 0.0, 0);
        };
        let accepting: Vec<&TargetAccount> = self
            .accounts
            .values()
            .filter(|account| account.accepts_work(&owner_state.view))
            .collect();
        let slots: u32 = accepting.iter().map(|a| a.limiter.slots(limits)).sum();
        let occupied: u32 = accepting.iter().map(|a| a.occupied_slots()).sum();
        let memory: u64 = accepting.iter().map(|a| a.capacity(limits)).sum();
        let peaks: f64 = accepting
            .iter()
            .map(|a| a.last_projection().peak(&owner_state.tuning))
            .sum();
        let by_slots = f64::from(occupied) / f64::from(slots.max(1));
        let by_memory = peaks / memory.max(1) as f64;
        self.summary_of(now, by_slots.max(by_memory), accepting.len())
    }

    fn summary_of(&self, now: Moment, load: f64, targets: usize) -> ShardSummary {
        let ahead = self.queue.len_of(Class::Normal) + self.queue.len_of(Class::Urgent);
        let wait = self.grant_rate.expected_wait(now, Class::Normal, ahead);
        let wait = wait.unwrap_or_default().as_millis();
        ShardSummary {
            shard: self.shard.clone(),
            epoch: self.epoch,
            granting: self.can_grant(now),
            load: load as f32,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            wait_ms: u32::try_from(wait).unwrap_or(u32::MAX),
            targets: u32::try_from(targets).unwrap_or(u32::MAX),
        }
    }
}
