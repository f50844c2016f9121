//! The account of a service's engines, and the choice among them.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use types::{Moment, ServiceId, TargetId, Tokens};

use crate::{
    account::{Account, Engine, Report, Run},
    demand::Demand,
    length::{Length, Lengths},
    memory::{Holder, all_ends, peak},
    message::{Answer, Ask, Load, Note, RunId, Running},
    pace::{Learned, Pace},
    queue::{Asked, Waiting},
    returns::Returns,
    tuning::{Tuning, as_f64},
};

/// Tokens that each generation in an engine's queue stands for.
const QUEUED_PROMPT: Tokens = 2_700;

/// The account of all generations that this instance has granted or was told of.
///
/// It is soft state: a new owner learns it from the entries' syncs, and one that is wrong costs
/// waiting or preemption, never a wrong answer.
#[derive(Debug, Default)]
pub struct Owner {
    pub(crate) tuning: Tuning,
    pub(crate) accounts: BTreeMap<TargetId, Account>,
    pub(crate) runs: HashMap<RunId, Run>,
    pub(crate) lengths: Lengths,
    /// How fast each service's engines work.
    pub(crate) paces: HashMap<ServiceId, Learned>,
    /// What is asked for, by route.
    pub(crate) demand: Demand,
    /// Callers that were told to come back.
    pub(crate) returns: Returns,
    /// Asks that were told to wait.
    pub(crate) waiting: HashMap<RunId, Waiting>,
}

impl Owner {
    /// Starts with an empty account.
    #[must_use]
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// Answers an ask, given the engines of its service that may get work.
    pub fn ask(&mut self, now: Moment, ask: &Ask, engines: &[Engine]) -> Answer {
        self.forget_stale(now);
        // Asked again after an answer that got lost: the grant before holds nothing.
        self.release(&ask.run);
        if !self.waiting.contains_key(&ask.run) {
            self.demand.asked(&ask.route, ask.prompt);
        }
        let asked = self.asked(now, ask);
        let Some((first_event, target)) = self.best(now, &asked, engines) else {
            return self.wait_for_memory(now, &asked, engines);
        };
        if self.tuning.refuses_by_forecast && !self.in_time(&asked, first_event) {
            return self.wait_for_readers(now, &asked, first_event);
        }
        if self.others_before(now, &asked) >= self.open_engines(now, &asked, engines) {
            return self.wait_for_memory(now, &asked, engines);
        }
        self.waiting.remove(&ask.run);
        self.demand.answered(&ask.route, false);
        self.grant(now, &asked, &target);
        Answer::Go { target }
    }

    fn asked<'a>(&self, now: Moment, ask: &'a Ask) -> Asked<'a> {
        let aim_left = if self.tuning.knows_returning {
            self.returns.aim_left(now, ask)
        } else {
            ask.aim_left
        };
        let pace = self.pace(&ask.shard.service);
        Asked {
            ask,
            aim_left,
            pace,
            read: pace.read_time(ask.prompt),
            judged: self.judged(ask),
            length: self.expected(&ask.route, ask.longest, ask.hint),
        }
    }

    /// Tokens by which room is looked for: between an ask's own and those of a large prompt of its
    /// route.
    fn judged(&self, ask: &Ask) -> Tokens {
        if self.tuning.levels_sizes {
            self.demand.judged(&ask.route, ask.prompt)
        } else {
            ask.prompt
        }
    }

    /// Whether the first event comes in time, or on an engine that would idle otherwise.
    fn in_time(&self, asked: &Asked<'_>, first_event: Duration) -> bool {
        let idle = first_event <= asked.read + self.tuning.idle_slack;
        let large = first_event - asked.read + asked.pace.read_time(asked.judged);
        idle || (!asked.is_late() && large <= asked.aim_left)
    }

    /// Notes what happened to a generation.
    pub fn note(&mut self, now: Moment, note: &Note) {
        match note {
            Note::Started { run } => self.start(now, run),
            Note::Ended { run, doubt, made } => {
                self.learn(run, *made);
                let target = self.release(run);
                if let (true, Some(target)) = (*doubt, target) {
                    self.doubt(now, &target);
                }
            }
        }
    }

    /// Takes what an engine says of itself. An instance that reaches nobody else knows only its own
    /// generations; without reports it would take engines for empty that others have filled.
    pub fn reported(&mut self, now: Moment, target: &TargetId, report: Report) {
        self.account(target).report = Some((now, report));
    }

    /// How full the engines are.
    #[must_use]
    pub fn loads(&self, now: Moment) -> Vec<Load> {
        let load = |(target, account): (&TargetId, &Account)| Load {
            target: Arc::clone(target),
            busy: account.busy_until.saturating_sub(now),
            runs: u32::try_from(account.runs.len()).unwrap_or(u32::MAX),
        };
        self.accounts.iter().map(load).collect()
    }

    /// A generation in the account.
    #[must_use]
    pub fn run(&self, id: &str) -> Option<&Run> {
        self.runs.get(id)
    }

    /// Puts an engine aside for a while.
    pub fn doubt(&mut self, now: Moment, target: &TargetId) {
        let until = now + self.tuning.doubt;
        self.account(target).doubted_until = until;
    }

    /// Forgets engines that hold nothing and are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.accounts.retain(|id, account| {
            !account.runs.is_empty() || !account.copies.is_empty() || listed(id)
        });
    }

    /// Forgets an engine that is gone, or began a new life.
    pub fn forget(&mut self, target: &TargetId) {
        let Some(account) = self.accounts.remove(target) else {
            return;
        };
        for run in account.runs {
            self.runs.remove(&run);
        }
    }

    fn best(
        &mut self,
        now: Moment,
        asked: &Asked<'_>,
        engines: &[Engine],
    ) -> Option<(Duration, TargetId)> {
        let ask = asked.ask;
        let mut best: Option<(Duration, Duration, &Engine)> = None;
        for engine in engines {
            if ask.avoid.contains(&engine.id) || !self.admits(now, engine, asked) {
                continue;
            }
            let first_event = self.first_event(now, engine, asked);
            let late = self.lateness(now, &engine.id);
            let cost = first_event + late + self.surcharge(now, ask, engine);
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, first_event, engine));
            }
        }
        best.map(|(_, first_event, engine)| (first_event, Arc::clone(&engine.id)))
    }

    /// Time until the first event of a prompt given to an engine now.
    fn first_event(&mut self, now: Moment, engine: &Engine, asked: &Asked<'_>) -> Duration {
        let busy = self.account(&engine.id).busy_until;
        let known = busy.saturating_sub(now);
        let queued = self.fresh_report(now, &engine.id).map_or(0, |r| r.waiting);
        let said = asked.pace.read_time(QUEUED_PROMPT).saturating_mul(queued);
        known.max(said) + asked.read
    }

    /// How late an engine is with the first event that it owes for longest. One that has gone dark
    /// is listed for seconds still, and would look emptier from moment to moment: each prompt that
    /// goes there meanwhile is lost.
    fn lateness(&self, now: Moment, target: &TargetId) -> Duration {
        let Some(account) = self.accounts.get(target) else {
            return Duration::ZERO;
        };
        let runs = account.runs.iter().filter_map(|run| self.runs.get(run));
        runs.map(|run| run.lateness(now)).max().unwrap_or_default()
    }

    fn fresh_report(&self, now: Moment, target: &TargetId) -> Option<Report> {
        let (at, report) = self.accounts.get(target)?.report?;
        (now.saturating_sub(at) < self.tuning.report_life).then_some(report)
    }

    /// Tokens that others hold on an engine, as far as its own report tells.
    fn held_by_others(&self, now: Moment, target: &TargetId, mine: &[Holder]) -> f64 {
        let Some(report) = self.fresh_report(now, target) else {
            return 0.0;
        };
        let mine: Tokens = mine.iter().map(|holder| holder.prompt + holder.made).sum();
        as_f64(report.held.saturating_sub(mine))
    }

    fn surcharge(&mut self, now: Moment, ask: &Ask, engine: &Engine) -> Duration {
        let tuning = self.tuning;
        let filled = self.promised(&self.holders(now, &engine.id)) / as_f64(engine.memory.max(1));
        let mut extra = tuning.crowding.mul_f64(filled.clamp(0.0, 1.0));
        if engine.data_centre != ask.data_centre {
            extra += tuning.distance;
        }
        extra
    }

    /// Whether an engine has a place for one more generation, and a share of its memory.
    pub(crate) fn has_room(
        &mut self,
        now: Moment,
        engine: &Engine,
        more: Holder,
        share: f64,
    ) -> bool {
        let account = self.account(&engine.id);
        if account.doubted_until > now {
            return false;
        }
        let places = account.runs.len() + account.copies.len();
        if places >= usize::try_from(engine.slots).unwrap_or(usize::MAX) {
            return false;
        }
        let mut holders = self.holders(now, &engine.id);
        let others = self.held_by_others(now, &engine.id, &holders);
        holders.push(more);
        self.promised(&holders) + others <= as_f64(engine.memory) * share
    }

    /// Memory that is promised to generations on one engine.
    fn promised(&self, holders: &[Holder]) -> f64 {
        if self.tuning.sums_by_moment {
            peak(holders)
        } else {
            all_ends(holders)
        }
    }

    /// All that holds memory on an engine: its generations, and copies that come in.
    fn holders(&self, now: Moment, target: &TargetId) -> Vec<Holder> {
        let Some(account) = self.accounts.get(target) else {
            return Vec::new();
        };
        let all = account.runs.iter().chain(&account.copies);
        all.filter_map(|run| self.runs.get(run))
            .map(|run| run.holder(now, self.pace(&run.service)))
            .collect()
    }

    /// The chance that a generation which is begun now has ended within a time.
    #[must_use]
    pub fn ends_within(&self, ask: &Ask, time: Duration) -> f64 {
        let length = self.expected(&ask.route, ask.longest, ask.hint);
        let pace = self.pace(&ask.shard.service);
        let writing = time.saturating_sub(pace.read_time(ask.prompt));
        1.0 - length.survives(0, pace.made_in(writing))
    }

    /// What is expected of a generation's length.
    pub(crate) fn expected(&self, route: &str, longest: Tokens, hint: Option<Tokens>) -> Length {
        let hint = hint.filter(|_| self.tuning.takes_hints);
        self.lengths.expect(route, longest, hint)
    }

    /// How fast a service's engines work, as far as they have shown it.
    pub(crate) fn pace(&self, service: &ServiceId) -> Pace {
        let learned = self.paces.get(service).filter(|_| self.tuning.learns_pace);
        learned.map_or_else(|| self.tuning.pace(), Learned::pace)
    }

    fn learned(&mut self, service: &ServiceId) -> &mut Learned {
        let expected = self.tuning.pace();
        self.paces
            .entry(service.clone())
            .or_insert_with(|| Learned::new(expected))
    }

    /// Learns from a first event. An engine reads one prompt after the other, so this one's turn
    /// came when the one before it had been read.
    fn learn_reading(&mut self, now: Moment, run: &Run) {
        let account = self.account(&run.target);
        let from = account.last_start.max(run.granted);
        account.last_start = now;
        let time = now.saturating_sub(from);
        self.learned(&run.service).read(run.prompt, time);
    }

    /// Learns from how far a generation has come since its entry last told.
    pub(crate) fn learn_making(&mut self, now: Moment, running: &Running) {
        let known = self.runs.get(&running.run);
        let Some(run) = known.filter(|run| run.started.is_some() && run.made > 0) else {
            return;
        };
        let made = running.made.saturating_sub(run.made);
        let time = now.saturating_sub(run.counted);
        self.learned(&running.service).made(made, time);
    }

    /// Learns from a generation that came to its end.
    fn learn(&mut self, id: &RunId, made: Option<Tokens>) {
        if !self.tuning.learns_lengths {
            return;
        }
        if let (Some(run), Some(made)) = (self.runs.get(id), made) {
            self.lengths.ended(&run.route, run.longest, made);
        }
    }

    fn grant(&mut self, now: Moment, asked: &Asked<'_>, target: &TargetId) {
        let ask = asked.ask;
        let due = self.account(target).busy_until.max(now) + asked.read;
        let run = Run {
            entry: Arc::clone(&ask.entry),
            service: Arc::clone(&ask.shard.service),
            target: Arc::clone(target),
            prompt: ask.prompt,
            route: Arc::clone(&ask.route),
            longest: ask.longest,
            length: asked.length,
            rank: ask.rank,
            granted: now,
            due,
            started: None,
            made: 0,
            counted: now,
            confirmed: now,
            copying_to: None,
        };
        let account = self.account(target);
        account.busy_until = due;
        account.runs.insert(Arc::clone(&ask.run));
        self.runs.insert(Arc::clone(&ask.run), run);
    }

    fn start(&mut self, now: Moment, id: &RunId) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.started = Some(now);
        run.counted = now;
        let run = run.clone();
        self.learn_reading(now, &run);
        self.settle_reading(now, &run.target);
    }

    /// Sets an engine free whose prompts are all read.
    fn settle_reading(&mut self, now: Moment, target: &TargetId) {
        let Some(account) = self.accounts.get(target) else {
            return;
        };
        let unread: Duration = account
            .runs
            .iter()
            .filter_map(|run| self.runs.get(run))
            .filter(|run| run.started.is_none())
            .map(|run| self.pace(&run.service).read_time(run.prompt))
            .sum();
        let most = now + unread;
        let account = self.account(target);
        account.busy_until = account.busy_until.min(most);
    }

    /// Takes a generation out of the account; tells where it ran.
    pub(crate) fn release(&mut self, id: &RunId) -> Option<TargetId> {
        let run = self.runs.remove(id)?;
        if let Some(account) = self.accounts.get_mut(&run.target) {
            account.runs.remove(id);
        }
        if let Some(account) = run.copying_to.and_then(|to| self.accounts.get_mut(&to)) {
            account.copies.remove(id);
        }
        Some(run.target)
    }

    pub(crate) fn account(&mut self, target: &TargetId) -> &mut Account {
        self.accounts.entry(Arc::clone(target)).or_default()
    }
}
