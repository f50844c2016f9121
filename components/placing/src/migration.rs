//! Carrying generations over from an engine that leaves.
//!
//! An engine that is reclaimed is gone within about two seconds of its notice, and all links copy
//! one generation after the other. Where each instance moves its own generations, a short final
//! copy queues behind somebody's long first one, and the caller sees a pause of up to a second.
//! So the owner plans for all of them: one generation at a time off each engine, the long first
//! copy and the short final one, then the next.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use types::{DataCentreId, Moment, TargetId};

use crate::{
    account::{Engine, Generation},
    message::{GenerationId, Migration, MigrationOutcome},
    owner::Owner,
};

/// Between data centres a copy takes this many times as long.
const REMOTE_COPY_FACTOR: u32 = 2;
/// Part of the time in which a destination reads prompts that delays what goes on there: each
/// step of the batch waits for a chunk of a prompt.
const PREFILL_DELAY_SHARE: f64 = 0.3;
/// What each generation at a destination adds in the same sense: steps grow with the batch, and
/// more is at stake on one engine.
const DELAY_PER_GENERATION: Duration = Duration::from_millis(12);

impl Owner {
    /// The next generation to carry over from an engine that leaves, given its data centre, the
    /// engines that may get work, and which pairs not to try. `None` if none can be moved now; one that has not begun may be later.
    pub fn next_migration(
        &mut self,
        now: Moment,
        from: &TargetId,
        home: &DataCentreId,
        engines: &[Engine],
        is_excluded: &dyn Fn(&GenerationId, &TargetId) -> bool,
    ) -> Option<Migration> {
        let generations = self.migratable(now, from);
        for id in generations {
            let Some(generation) = self.generations.get(&id).cloned() else {
                continue;
            };
            let refused = |to: &TargetId| is_excluded(&id, to);
            let Some(to) = self.destination(now, &generation, home, engines, &refused) else {
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

    /// Notes how carrying over ended.
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

    /// Whether anything in the account runs on an engine.
    #[must_use]
    pub fn has_generations_on(&self, target: &TargetId) -> bool {
        self.accounts
            .get(target)
            .is_some_and(|account| !account.generations.is_empty())
    }

    /// Generations that have begun and that the engine's end would cut, the longest rest first:
    /// those with little left may end by themselves.
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
            let throughput = |generation: &Generation| self.throughput(&generation.service);
            generations.sort_by_key(|(_, generation)| {
                Reverse(generation.time_left(now, throughput(generation)))
            });
        }
        generations
            .into_iter()
            .map(|(id, _)| Arc::clone(id))
            .collect()
    }

    /// The engine that gives a generation the shortest pause: near, with few copies coming in,
    /// few prompts to read and free memory.
    fn destination(
        &mut self,
        now: Moment,
        generation: &Generation,
        home: &DataCentreId,
        engines: &[Engine],
        refused: &dyn Fn(&TargetId) -> bool,
    ) -> Option<TargetId> {
        let allocation = generation.allocation(now, self.throughput(&generation.service));
        let size = allocation.prompt_tokens + allocation.tokens_generated;
        let mut best = None;
        for engine in engines {
            if engine.id == generation.target || refused(&engine.id) {
                continue;
            }
            if !self.has_room(now, engine, allocation, self.tuning.memory_share) {
                continue;
            }
            let tokens = u32::try_from(size).unwrap_or(u32::MAX);
            let mut copy = engine.token_copy_time.saturating_mul(tokens);
            if *home != engine.data_centre {
                copy = copy.saturating_mul(REMOTE_COPY_FACTOR);
            }
            let account = self.account(&engine.id);
            let incoming = u32::try_from(account.incoming_copies.len()).unwrap_or(u32::MAX);
            let queued = copy.saturating_mul(incoming);
            let reading = account
                .prefill_until
                .saturating_sub(now)
                .mul_f64(PREFILL_DELAY_SHARE);
            let crowd = DELAY_PER_GENERATION
                .saturating_mul(u32::try_from(account.generations.len()).unwrap_or(0));
            let cost = copy + queued + reading + crowd;
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
