//! Migration of generations off an engine that shuts down.
//!
//! An engine that is reclaimed stops about two seconds after its notice, and every link copies one
//! generation at a time. If each instance migrated its own generations independently, a short final
//! copy would queue behind the long first copy of another generation, and the caller would see a
//! pause of up to a second. So the owner plans all migrations: one generation at a time off each
//! engine, with its long first copy and its short final copy, before the next one begins.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use types::{DataCentreId, Moment, TargetId};

use crate::{
    account::{Engine, EngineAccount, Generation},
    message::{GenerationId, Migration, MigrationOutcome},
    owner::Owner,
};

/// Factor by which a copy between data centres is slower.
const REMOTE_COPY_FACTOR: u32 = 2;
/// Share of the destination's prefill backlog that delays a migrated generation: every step of the
/// batch waits for a chunk of a prompt.
const PREFILL_DELAY_SHARE: f64 = 0.3;
/// Share of the additional time that a slow destination needs for the rest of a generation.
const DECODE_DELAY_SHARE: f64 = 0.05;
/// Penalty for each generation on the destination: steps take longer with a larger batch, and more
/// streams break if that engine fails.
const DELAY_PER_GENERATION: Duration = Duration::from_millis(12);

impl Owner {
    /// Plans the next migration off the engine `from`, which shuts down.
    ///
    /// `home` is the data centre of `from`, `engines` are the candidates for the destination, and
    /// `is_excluded` tells which pairs must not be tried. Returns `None` if nothing can be migrated
    /// now; a generation that has not started may become eligible later. The planned generation
    /// occupies a slot and memory on the destination until `finish_migration`.
    pub fn next_migration(
        &mut self,
        now: Moment,
        from: &TargetId,
        data_centre: &DataCentreId,
        engines: &[Engine],
        is_excluded: &dyn Fn(&GenerationId, &TargetId) -> bool,
    ) -> Option<Migration> {
        let generations = self.migratable(now, from);
        for id in generations {
            let Some(generation) = self.generations.get(&id).cloned() else {
                continue;
            };
            let is_excluded_destination = |to: &TargetId| is_excluded(&id, to);
            let Some(to) = self.destination(
                now,
                &generation,
                data_centre,
                engines,
                &is_excluded_destination,
            ) else {
                continue;
            };
            self.reserve(&id, &to);
            return Some(Migration {
                generation: id,
                from: Arc::clone(from),
                to,
            });
        }
        None
    }

    /// Records the result of a migration.
    pub fn finish_migration(&mut self, migration: &Migration, outcome: MigrationOutcome) {
        if let Some(account) = self.accounts.get_mut(&migration.to) {
            account.incoming_copies.remove(&migration.generation);
        }
        let Some(generation) = self.generations.get_mut(&migration.generation) else {
            return;
        };
        generation.copying_to = None;
        if outcome != MigrationOutcome::Done {
            return;
        }
        generation.target = Arc::clone(&migration.to);
        if let Some(account) = self.accounts.get_mut(&migration.from) {
            account.generations.remove(&migration.generation);
        }
        let account = self.account(&migration.to);
        account
            .generations
            .insert(Arc::clone(&migration.generation));
    }

    /// The engines that run a generation, as far as the account shows.
    pub fn engines_in_use(&self) -> impl Iterator<Item = TargetId> {
        let in_use = |(_, account): &(&TargetId, &EngineAccount)| !account.generations.is_empty();
        self.accounts
            .iter()
            .filter(in_use)
            .map(|(id, _)| TargetId::clone(id))
    }

    /// Whether any known generation runs on an engine.
    #[must_use]
    pub fn has_generations_on(&self, target: &TargetId) -> bool {
        self.accounts
            .get(target)
            .is_some_and(|account| !account.generations.is_empty())
    }

    /// Generations on an engine that have started and are not being migrated. Those with the
    /// longest expected remaining time come first, because the others may finish before the engine
    /// stops.
    fn migratable(&self, now: Moment, from: &TargetId) -> Vec<GenerationId> {
        let Some(account) = self.accounts.get(from) else {
            return Vec::new();
        };
        let mut generations: Vec<(&GenerationId, &Generation)> = account
            .generations
            .iter()
            .filter_map(|id| self.generations.get_key_value(id))
            .filter(|(_, generation)| {
                generation.started_at.is_some() && generation.copying_to.is_none()
            })
            .collect();
        if self.tuning.migrates_longest_first {
            let throughput =
                |generation: &Generation| self.engine_throughput(now, &generation.service, from);
            generations.sort_by_key(|(_, generation)| {
                Reverse(generation.time_left(now, throughput(generation)))
            });
        }
        generations
            .into_iter()
            .map(|(id, _)| Arc::clone(id))
            .collect()
    }

    /// Selects the engine with the shortest expected pause for a generation: in the same data
    /// centre, with few incoming copies, a short prefill backlog and few generations.
    fn destination(
        &mut self,
        now: Moment,
        generation: &Generation,
        data_centre: &DataCentreId,
        engines: &[Engine],
        is_excluded_destination: &dyn Fn(&TargetId) -> bool,
    ) -> Option<TargetId> {
        let service = &generation.service;
        let current = self.engine_throughput(now, service, &generation.target);
        let allocation = generation.allocation(now, current);
        let mean = self.throughput(service);
        let tokens_held = allocation.prompt_tokens + allocation.tokens_generated;
        let mut best = None;
        for engine in engines {
            if engine.id == generation.target || is_excluded_destination(&engine.id) {
                continue;
            }
            if !self.has_room(now, engine, allocation, self.tuning.memory_share) {
                continue;
            }
            let tokens = u32::try_from(tokens_held).unwrap_or(u32::MAX);
            let mut copy_time = engine.token_copy_time.saturating_mul(tokens);
            if *data_centre != engine.data_centre {
                copy_time = copy_time.saturating_mul(REMOTE_COPY_FACTOR);
            }
            let throughput = self.engine_throughput(now, service, &engine.id);
            let decode_delay = generation
                .time_left(now, throughput)
                .saturating_sub(generation.time_left(now, mean))
                .mul_f64(DECODE_DELAY_SHARE);
            let account = self.account(&engine.id);
            let incoming = u32::try_from(account.incoming_copies.len()).unwrap_or(u32::MAX);
            let copy_queue = copy_time.saturating_mul(incoming);
            let prefill_delay = account
                .prefill_until
                .saturating_sub(now)
                .mul_f64(PREFILL_DELAY_SHARE);
            let batch_delay = DELAY_PER_GENERATION
                .saturating_mul(u32::try_from(account.generations.len()).unwrap_or(0));
            let pause_cost = self.migration_pause_cost(now, generation, engine, engines.len());
            let cost =
                copy_time + copy_queue + prefill_delay + batch_delay + decode_delay + pause_cost;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, Arc::clone(&engine.id)));
            }
        }
        best.map(|(_, id)| id)
    }

    fn reserve(&mut self, id: &GenerationId, to: &TargetId) {
        if let Some(generation) = self.generations.get_mut(id) {
            generation.copying_to = Some(Arc::clone(to));
        }
        self.account(to).incoming_copies.insert(Arc::clone(id));
    }
}
