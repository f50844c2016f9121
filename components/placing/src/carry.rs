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
    account::{Engine, Run},
    message::{Carried, Carry, RunId},
    owner::Owner,
};

/// Between data centres a copy takes this many times as long.
const FAR_COPY: u32 = 2;
/// Part of the time in which a destination reads prompts that delays what goes on there: each
/// step of the batch waits for a chunk of a prompt.
const READING_PART: f64 = 0.3;
/// What each generation at a destination adds in the same sense: steps grow with the batch, and
/// more is at stake on one engine.
const CROWD: Duration = Duration::from_millis(12);

impl Owner {
    /// The next generation to carry over from an engine that leaves, given its data centre, the
    /// engines that may get work, and which pairs not to try. `None` if none can be moved now; one that has not begun may be later.
    pub fn next_carry(
        &mut self,
        now: Moment,
        from: &TargetId,
        home: &DataCentreId,
        engines: &[Engine],
        unfit: &dyn Fn(&RunId, &TargetId) -> bool,
    ) -> Option<Carry> {
        let runs = self.worth_moving(now, from);
        for id in runs {
            let Some(run) = self.runs.get(&id).cloned() else {
                continue;
            };
            let refused = |to: &TargetId| unfit(&id, to);
            let Some(to) = self.destination(now, &run, home, engines, &refused) else {
                continue;
            };
            self.reserve(&id, &to);
            return Some(Carry {
                run: id,
                from: Arc::clone(from),
                to,
            });
        }
        None
    }

    /// Notes how carrying over ended.
    pub fn carried(&mut self, carry: &Carry, outcome: Carried) {
        if let Some(account) = self.accounts.get_mut(&carry.to) {
            account.copies.remove(&carry.run);
        }
        let Some(run) = self.runs.get_mut(&carry.run) else {
            return;
        };
        run.copying_to = None;
        if outcome != Carried::Done {
            return;
        }
        run.target = Arc::clone(&carry.to);
        if let Some(account) = self.accounts.get_mut(&carry.from) {
            account.runs.remove(&carry.run);
        }
        let account = self.account(&carry.to);
        account.runs.insert(Arc::clone(&carry.run));
    }

    /// Whether anything in the account runs on an engine.
    #[must_use]
    pub fn runs_on(&self, target: &TargetId) -> bool {
        self.accounts
            .get(target)
            .is_some_and(|account| !account.runs.is_empty())
    }

    /// Generations that have begun and that the engine's end would cut, the longest rest first:
    /// those with little left may end by themselves.
    fn worth_moving(&self, now: Moment, from: &TargetId) -> Vec<RunId> {
        let Some(account) = self.accounts.get(from) else {
            return Vec::new();
        };
        let mut runs: Vec<(&RunId, &Run)> = account
            .runs
            .iter()
            .filter_map(|id| self.runs.get_key_value(id))
            .filter(|(_, run)| run.started.is_some() && run.copying_to.is_none())
            .collect();
        if self.tuning.moves_longest_first {
            let pace = |run: &Run| self.pace(&run.service);
            runs.sort_by_key(|(_, run)| Reverse(run.rest(now, pace(run))));
        }
        runs.into_iter().map(|(id, _)| Arc::clone(id)).collect()
    }

    /// The engine that gives a generation the shortest pause: near, with few copies coming in,
    /// few prompts to read and free memory.
    fn destination(
        &mut self,
        now: Moment,
        run: &Run,
        home: &DataCentreId,
        engines: &[Engine],
        refused: &dyn Fn(&TargetId) -> bool,
    ) -> Option<TargetId> {
        let holder = run.holder(now, self.pace(&run.service));
        let size = holder.prompt + holder.made;
        let mut best = None;
        for engine in engines {
            if engine.id == run.target || refused(&engine.id) {
                continue;
            }
            if !self.has_room(now, engine, holder, self.tuning.memory_share) {
                continue;
            }
            let copies = u32::try_from(size).unwrap_or(u32::MAX);
            let mut copy = engine.token_copy.saturating_mul(copies);
            if *home != engine.data_centre {
                copy = copy.saturating_mul(FAR_COPY);
            }
            let account = self.account(&engine.id);
            let incoming = u32::try_from(account.copies.len()).unwrap_or(u32::MAX);
            let queued = copy.saturating_mul(incoming);
            let reading = account.busy_until.saturating_sub(now).mul_f64(READING_PART);
            let crowd = CROWD.saturating_mul(u32::try_from(account.runs.len()).unwrap_or(0));
            let cost = copy + queued + reading + crowd;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, Arc::clone(&engine.id)));
            }
        }
        best.map(|(_, id)| id)
    }

    fn reserve(&mut self, id: &RunId, to: &TargetId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.copying_to = Some(Arc::clone(to));
        }
        self.account(to).copies.insert(Arc::clone(id));
    }
}
