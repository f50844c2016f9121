//! What entries hold, as they tell from time to time.

use std::{collections::BTreeSet, sync::Arc};

use types::{InstanceId, Moment};

use crate::{
    account::Generation,
    message::{ActiveGeneration, GenerationId, StateSync},
    owner::Owner,
};

impl Owner {
    /// Takes all that an entry holds on the engines of one account.
    pub fn apply_sync(&mut self, now: Moment, sync: &StateSync) {
        let held: BTreeSet<&GenerationId> = sync
            .generations
            .iter()
            .map(|running| &running.generation)
            .collect();
        // A grant may be on its way still; what is older and unknown to the entry has ended.
        let settled = now.saturating_sub(self.tuning.waiting_expiry);
        let gone: Vec<GenerationId> = self
            .generations
            .iter()
            .filter(|(id, generation)| {
                generation.entry == sync.entry
                    && generation.service == sync.shard.service
                    && sync.shard.contains(&generation.target)
                    && generation.granted_at <= settled
                    && !held.contains(*id)
            })
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for generation in gone {
            self.release(&generation);
        }
        for running in &sync.generations {
            self.confirm(now, &sync.entry, running);
        }
    }

    fn confirm(&mut self, now: Moment, entry: &InstanceId, running: &ActiveGeneration) {
        let known = self.generations.get(&running.generation);
        let moved = known.is_some_and(|generation| generation.target != running.target);
        let copying = known.is_some_and(|generation| generation.copying_to.is_some());
        if moved && copying {
            return;
        }
        if moved {
            self.release(&running.generation);
        }
        let account = self.account(&running.target);
        account.generations.insert(Arc::clone(&running.generation));
        self.record_decode(now, running);
        let throughput = self.throughput(&running.service);
        let first_event_due = now + throughput.prefill_time(running.prompt_tokens);
        let length = self.estimate_length(&running.route, running.max_tokens, running.length_hint);
        let generation = self
            .generations
            .entry(Arc::clone(&running.generation))
            .or_insert_with(|| Generation {
                entry: Arc::clone(entry),
                service: Arc::clone(&running.service),
                target: Arc::clone(&running.target),
                prompt_tokens: running.prompt_tokens,
                route: Arc::clone(&running.route),
                max_tokens: running.max_tokens,
                length,
                priority: running.priority,
                granted_at: now,
                first_event_due,
                started_at: None,
                tokens_generated: 0,
                counted_at: now,
                confirmed_at: now,
                copying_to: None,
            });
        generation.confirmed_at = now;
        generation.tokens_generated = running.tokens_generated;
        generation.counted_at = now;
        if running.started && generation.started_at.is_none() {
            generation.started_at = Some(now);
        }
    }

    /// Forgets what its entry has not confirmed for long: the entry is gone.
    pub(crate) fn remove_stale(&mut self, now: Moment) {
        let oldest = now.saturating_sub(self.tuning.generation_expiry);
        let stale: Vec<GenerationId> = self
            .generations
            .iter()
            .filter(|(_, generation)| generation.confirmed_at < oldest)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for generation in stale {
            self.release(&generation);
        }
    }
}
