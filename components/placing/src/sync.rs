//! Reconciliation of the owner's state with the generations that entries report periodically.

use std::{collections::BTreeSet, sync::Arc};

use types::{InstanceId, Moment};

use crate::{
    account::Generation,
    message::{ActiveGeneration, GenerationId, StateSync},
    owner::Owner,
};

impl Owner {
    /// Applies the list of all generations that an entry holds on the engines of a shard.
    pub fn apply_sync(&mut self, now: Moment, sync: &StateSync) {
        let held: BTreeSet<&GenerationId> = sync
            .generations
            .iter()
            .map(|reported| &reported.generation)
            .collect();
        // An assignment may still be on its way to the entry. Older generations that the entry does
        // not list have ended.
        let settled = now.saturating_sub(self.tuning.waiting_expiry);
        let gone: Vec<GenerationId> = self
            .generations
            .iter()
            .filter(|(id, generation)| {
                generation.entry == sync.entry
                    && generation.service == sync.shard.service
                    && sync.shard.contains(&generation.target)
                    && generation.assigned_at <= settled
                    && !held.contains(*id)
            })
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for generation in gone {
            self.release(&generation);
        }
        for reported in &sync.generations {
            self.confirm(now, &sync.entry, reported);
        }
    }

    fn confirm(&mut self, now: Moment, entry: &InstanceId, reported: &ActiveGeneration) {
        let known = self.generations.get(&reported.generation);
        let moved = known.is_some_and(|generation| generation.target != reported.target);
        let copying = known.is_some_and(|generation| generation.copying_to.is_some());
        if moved && copying {
            return;
        }
        if moved {
            self.release(&reported.generation);
        }
        let account = self.account(&reported.target);
        account.generations.insert(Arc::clone(&reported.generation));
        self.record_decode(now, reported);
        self.record_pause(reported);
        let throughput = self.engine_throughput(now, &reported.service, &reported.target);
        let prefill_time = throughput.prefill_time(reported.prompt_tokens);
        if !reported.started && !self.generations.contains_key(&reported.generation) {
            // Another owner assigned it: its prompt is part of the engine's backlog.
            let account = self.account(&reported.target);
            account.prefill_until = account.prefill_until.max(now) + prefill_time;
        }
        let first_event_due = now + prefill_time;
        let length =
            self.estimate_length(&reported.route, reported.max_tokens, reported.length_hint);
        let generation = self
            .generations
            .entry(Arc::clone(&reported.generation))
            .or_insert_with(|| Generation {
                entry: Arc::clone(entry),
                service: Arc::clone(&reported.service),
                target: Arc::clone(&reported.target),
                prompt_tokens: reported.prompt_tokens,
                route: Arc::clone(&reported.route),
                max_tokens: reported.max_tokens,
                length,
                priority: reported.priority,
                assigned_at: now,
                first_event_due,
                started_at: None,
                tokens_generated: 0,
                counted_at: now,
                confirmed_at: now,
                copying_to: None,
                is_adopted: true,
            });
        generation.confirmed_at = now;
        generation.tokens_generated = reported.tokens_generated;
        generation.counted_at = now;
        if reported.started && generation.started_at.is_none() {
            generation.started_at = Some(now);
        }
        self.record_prompts(now, &reported.service, &reported.target);
    }

    /// Removes generations that their entry has not confirmed for a long time; the entry has
    /// failed.
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
