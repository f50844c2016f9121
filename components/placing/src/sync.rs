//! What entries hold, as they tell from time to time.

use std::{collections::BTreeSet, sync::Arc};

use types::{InstanceId, Moment};

use crate::{
    account::Run,
    message::{RunId, Running, Sync},
    owner::Owner,
};

impl Owner {
    /// Takes all that an entry holds on the engines of one account.
    pub fn sync(&mut self, now: Moment, sync: &Sync) {
        let held: BTreeSet<&RunId> = sync.runs.iter().map(|running| &running.run).collect();
        // A grant may be on its way still; what is older and unknown to the entry has ended.
        let settled = now.saturating_sub(self.tuning.wait_life);
        let gone: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(id, run)| {
                run.entry == sync.entry
                    && run.service == sync.shard.service
                    && sync.shard.holds(&run.target)
                    && run.granted <= settled
                    && !held.contains(*id)
            })
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for run in gone {
            self.release(&run);
        }
        for running in &sync.runs {
            self.confirm(now, &sync.entry, running);
        }
    }

    fn confirm(&mut self, now: Moment, entry: &InstanceId, running: &Running) {
        let known = self.runs.get(&running.run);
        let moved = known.is_some_and(|run| run.target != running.target);
        let copying = known.is_some_and(|run| run.copying_to.is_some());
        if moved && copying {
            return;
        }
        if moved {
            self.release(&running.run);
        }
        let account = self.account(&running.target);
        account.runs.insert(Arc::clone(&running.run));
        self.learn_making(now, running);
        let pace = self.pace(&running.service);
        let due = now + pace.read_time(running.prompt);
        let length = self.expected(&running.route, running.longest, running.hint);
        let run = self
            .runs
            .entry(Arc::clone(&running.run))
            .or_insert_with(|| Run {
                entry: Arc::clone(entry),
                service: Arc::clone(&running.service),
                target: Arc::clone(&running.target),
                prompt: running.prompt,
                route: Arc::clone(&running.route),
                longest: running.longest,
                length,
                rank: running.rank,
                granted: now,
                due,
                started: None,
                made: 0,
                counted: now,
                confirmed: now,
                copying_to: None,
            });
        run.confirmed = now;
        run.made = running.made;
        run.counted = now;
        if running.started && run.started.is_none() {
            run.started = Some(now);
        }
    }

    /// Forgets what its entry has not confirmed for long: the entry is gone.
    pub(crate) fn forget_stale(&mut self, now: Moment) {
        let oldest = now.saturating_sub(self.tuning.run_life);
        let stale: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.confirmed < oldest)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for run in stale {
            self.release(&run);
        }
    }
}
