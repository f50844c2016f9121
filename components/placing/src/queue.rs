//! Who waits, who is refused, and whose turn it is.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use types::Moment;

use crate::{
    account::Engine,
    length::Length,
    memory::Holder,
    message::{Answer, Ask, RunId},
    owner::Owner,
    shard::Shard,
};

/// An ask that was told to wait.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// The account that it waits for; others' engines are none of its concern.
    shard: Shard,
    rank: u32,
    /// How long it had waited when it last asked.
    waited: Duration,
    /// When it last asked.
    asked: Moment,
}

/// The turn of a waiting ask. The lowest goes first: by rank, then by how long it has waited.
type Turn = (u32, Reverse<Duration>, RunId);

impl Owner {
    /// Memory comes free when generations end, so waiting helps as long as the prompt can still
    /// be read in time after it.
    pub(crate) fn wait_for_memory(&mut self, now: Moment, ask: &Ask) -> Answer {
        let read = self.tuning.read_time(ask.prompt);
        if ask.aim_left > read || ask.waited < self.tuning.late_wait {
            return self.wait(now, ask);
        }
        self.refuse(ask, read)
    }

    /// Prompts are read at a fixed speed: one that can't be read in time now can't be later
    /// either, for what is left of its time shrinks as fast as the queue. A caller that is late
    /// already waits a little for an idle engine; others are told at once, and work that can
    /// still be in time is not held up by theirs.
    pub(crate) fn wait_for_readers(
        &mut self,
        now: Moment,
        ask: &Ask,
        first_event: Duration,
    ) -> Answer {
        if ask.aim_left.is_zero() && ask.waited < self.tuning.late_wait {
            return self.wait(now, ask);
        }
        self.refuse(ask, first_event.saturating_sub(ask.aim_left))
    }

    fn refuse(&mut self, ask: &Ask, after: Duration) -> Answer {
        self.waiting.remove(&ask.run);
        Answer::Full {
            after: after.max(self.tuning.wait),
        }
    }

    fn wait(&mut self, now: Moment, ask: &Ask) -> Answer {
        let waiting = Waiting {
            shard: ask.shard.clone(),
            rank: ask.rank,
            waited: ask.waited,
            asked: now,
        };
        self.waiting.insert(Arc::clone(&ask.run), waiting);
        // Each that waits asks again and again; together they must leave the owner its time.
        let many = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX) / self.tuning.wait_crowd;
        let after = self.tuning.wait.saturating_mul(many + 1);
        Answer::Wait {
            after: after.min(self.tuning.wait_most),
        }
    }

    /// Engines that have room for an ask. Those that wait before it may take one each.
    pub(crate) fn open_engines(
        &mut self,
        now: Moment,
        ask: &Ask,
        length: Length,
        engines: &[Engine],
    ) -> usize {
        if self.waiting.is_empty() {
            return engines.len();
        }
        let holder = Holder {
            prompt: ask.prompt,
            made: 0,
            length,
        };
        let open = |engine: &&Engine| self.has_room(now, engine, holder);
        engines.iter().filter(open).count()
    }

    /// How many wait whose turn comes before this one.
    pub(crate) fn others_before(&mut self, now: Moment, ask: &Ask) -> usize {
        if !self.tuning.takes_turns {
            return 0;
        }
        let life = self.tuning.wait_life;
        self.waiting
            .retain(|_, waiting| now.saturating_sub(waiting.asked) < life);
        let mine: Turn = (ask.rank, Reverse(ask.waited), Arc::clone(&ask.run));
        let before = |(run, other): &(&RunId, &Waiting)| {
            let waited = other.waited + now.saturating_sub(other.asked);
            let turn: Turn = (other.rank, Reverse(waited), Arc::clone(run));
            other.shard == ask.shard && **run != ask.run && turn < mine
        };
        self.waiting.iter().filter(before).count()
    }
}
