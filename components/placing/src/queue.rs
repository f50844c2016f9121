//! Who waits, who is refused, and whose turn it is.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use types::{Moment, Tokens};

use crate::{
    account::Engine,
    length::Length,
    memory::Holder,
    message::{Answer, Ask, RunId},
    owner::Owner,
    pace::Pace,
    shard::Shard,
    tuning::as_f64,
};

/// An ask as the account sees it.
pub(crate) struct Asked<'a> {
    /// The ask itself.
    pub ask: &'a Ask,
    /// Time until its first event should be out, counted from its caller's first request.
    pub aim_left: Duration,
    /// The pace of its service's engines.
    pub pace: Pace,
    /// Time to read its prompt.
    pub read: Duration,
    /// Tokens by which room is looked for: more than its own where its prompt is small. Judged by
    /// their own, large prompts would be refused while small ones that come later take each gap.
    pub judged: Tokens,
    /// What is expected of its length.
    pub length: Length,
}

impl Asked<'_> {
    /// Whether even an idle engine could not serve it in time.
    pub fn is_late(&self) -> bool {
        self.aim_left < self.read
    }

    /// What it is judged to hold.
    pub fn judged_holder(&self) -> Holder {
        Holder {
            prompt: self.judged,
            made: 0,
            length: self.length,
        }
    }
}

/// An ask that was told to wait.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// The account that it waits for; others' engines are none of its concern.
    shard: Shard,
    late: bool,
    rank: u32,
    /// How long it had waited when it last asked.
    waited: Duration,
    /// When it last asked.
    asked: Moment,
}

/// The turn of a waiting ask. The lowest goes first: what can still be in time, then by rank, then
/// by how long it has waited.
type Turn = (bool, u32, Reverse<Duration>, RunId);

impl Owner {
    /// Memory comes free when generations end, so waiting helps as long as the prompt can still
    /// be read in time after it. Where more wait for it already than will probably end until
    /// then, the caller would only wait to be refused.
    pub(crate) fn wait_for_memory(
        &mut self,
        now: Moment,
        asked: &Asked<'_>,
        engines: &[Engine],
    ) -> Answer {
        if asked.is_late() {
            if asked.ask.waited < self.late_wait(asked) {
                return self.wait(now, asked);
            }
            return self.refuse(now, asked, asked.read);
        }
        let usable = asked.aim_left.saturating_sub(asked.read);
        // Where there is no engine at all, any that comes has room.
        if self.tuning.refuses_by_forecast && !engines.is_empty() {
            let open = as_f64_count(self.rooms(now, asked, engines));
            let before = as_f64_count(self.others_before(now, asked));
            let ends = self.ends_soon(now, asked, usable, engines);
            if before + 1.0 > open + ends {
                return self.refuse(now, asked, usable);
            }
        }
        self.wait(now, asked)
    }

    /// Generations that will probably have ended within a time: a standard deviation fewer than on
    /// average.
    fn ends_soon(&self, now: Moment, asked: &Asked<'_>, time: Duration, engines: &[Engine]) -> f64 {
        let pace = asked.pace;
        let more = pace.made_in(time);
        let accounts = engines.iter().filter_map(|e| self.accounts.get(&e.id));
        let runs = accounts.flat_map(|account| &account.runs);
        let mut mean = 0.0;
        let mut variance = 0.0;
        for run in runs.filter_map(|run| self.runs.get(run)) {
            let goes_on = run.length.survives(run.made_by(now, pace), more);
            mean += 1.0 - goes_on;
            variance += goes_on * (1.0 - goes_on);
        }
        mean - variance.sqrt()
    }

    /// Prompts are read at a fixed speed: one that can't be read in time now can't be later
    /// either, for what is left of its time shrinks as fast as the queue. A caller that is late
    /// already waits a little for an idle engine; others are told at once, and work that can
    /// still be in time is not held up by theirs.
    pub(crate) fn wait_for_readers(
        &mut self,
        now: Moment,
        asked: &Asked<'_>,
        first_event: Duration,
    ) -> Answer {
        if asked.is_late() && asked.ask.waited < self.late_wait(asked) {
            return self.wait(now, asked);
        }
        self.refuse(now, asked, first_event.saturating_sub(asked.aim_left))
    }

    fn refuse(&mut self, now: Moment, asked: &Asked<'_>, earliest: Duration) -> Answer {
        self.waiting.remove(&asked.ask.run);
        self.demand.answered(&asked.ask.route, true);
        let earliest = earliest.max(self.tuning.wait);
        if !self.tuning.knows_returning {
            return Answer::Full { after: earliest };
        }
        self.returns.refuse(now, asked.ask);
        let engines = u32::try_from(self.accounts.len())
            .unwrap_or(u32::MAX)
            .max(1);
        let spacing = (asked.read / engines).mul_f64(1.0 / self.tuning.return_share);
        let after = self.returns.book(now, earliest, spacing, asked.ask);
        Answer::Full { after }
    }

    fn wait(&mut self, now: Moment, asked: &Asked<'_>) -> Answer {
        let ask = asked.ask;
        let waiting = Waiting {
            shard: ask.shard.clone(),
            late: asked.is_late(),
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
        asked: &Asked<'_>,
        engines: &[Engine],
    ) -> usize {
        if self.waiting.is_empty() {
            return engines.len();
        }
        self.rooms(now, asked, engines)
    }

    /// Engines that have room for an ask.
    fn rooms(&mut self, now: Moment, asked: &Asked<'_>, engines: &[Engine]) -> usize {
        let open = |engine: &&Engine| self.admits(now, engine, asked);
        engines.iter().filter(open).count()
    }

    /// How many wait whose turn comes before this one.
    pub(crate) fn others_before(&mut self, now: Moment, asked: &Asked<'_>) -> usize {
        if !self.tuning.takes_turns {
            return 0;
        }
        let life = self.tuning.wait_life;
        self.waiting
            .retain(|_, waiting| now.saturating_sub(waiting.asked) < life);
        let ask = asked.ask;
        let mine: Turn = (
            asked.is_late(),
            ask.rank,
            Reverse(ask.waited),
            Arc::clone(&ask.run),
        );
        let before = |(run, other): &(&RunId, &Waiting)| {
            let waited = other.waited + now.saturating_sub(other.asked);
            let turn: Turn = (other.late, other.rank, Reverse(waited), Arc::clone(run));
            other.shard == ask.shard && **run != ask.run && turn < mine
        };
        self.waiting.iter().filter(before).count()
    }

    /// Whether an engine may take an ask, as far as its memory goes. Late work leaves more of it
    /// free where many are refused, for what comes next and can be in time; and long work does, for the generations that
    /// move when another engine leaves.
    pub(crate) fn admits(&mut self, now: Moment, engine: &Engine, asked: &Asked<'_>) -> bool {
        let tuning = self.tuning;
        let share = match (asked.is_late(), self.is_long(asked)) {
            (true, _) => between(tuning.long_share, tuning.late_share, self.shortage(asked)),
            (false, true) => tuning.long_share,
            (false, false) => tuning.memory_share,
        };
        self.has_room(now, engine, asked.judged_holder(), share)
    }

    /// How long a caller that is late already waits: longer where few are refused, since it will
    /// probably find room, and does not come back another time.
    fn late_wait(&self, asked: &Asked<'_>) -> Duration {
        let (calm, short) = (self.tuning.late_wait_calm, self.tuning.late_wait);
        let wait = between(
            calm.as_secs_f64(),
            short.as_secs_f64(),
            self.shortage(asked),
        );
        Duration::from_secs_f64(wait)
    }

    /// How short the route of an ask is of engines, from 0 up to 1.
    fn shortage(&self, asked: &Asked<'_>) -> f64 {
        self.demand.shortage(&asked.ask.route)
    }

    /// Whether a generation probably outlives the notice of an engine that is reclaimed.
    pub(crate) fn is_long(&self, asked: &Asked<'_>) -> bool {
        asked.pace.time_for(asked.length.rest(0)) > self.tuning.short_for
    }
}

/// The value that lies a part of the way from one to another.
fn between(from: f64, to: f64, part: f64) -> f64 {
    from + (to - from) * part
}

/// A count of engines or asks; far below the 52 bits that are exact.
fn as_f64_count(count: usize) -> f64 {
    as_f64(u64::try_from(count).unwrap_or(u64::MAX))
}
