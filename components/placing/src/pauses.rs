//! Keeps the pauses between the events of running answers within what their routes allow.
//!
//! An engine reads prompts in chunks between the tokens of running answers, so that a prompt
//! stretches the pauses of all answers beside it. Entries report the longest pauses that they saw.
//! From these the owner learns how long pauses get on each engine with each number of prompts
//! beside them, and how many prompts an engine may read at once. What was learned is soft: without
//! it nothing is limited.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use types::{InstanceId, Moment, RouteId, ServiceId, TargetId};

use crate::{
    account::{Engine, Generation},
    message::{ActiveGeneration, PlacementRequest},
    owner::Owner,
    queue::{EvaluatedRequest, as_f64_count},
};

/// Numbers of prompts that are told apart; the last one stands for itself and all greater ones.
const LEVELS: usize = 7;
/// Age from which on a reported pause tells nothing of its engine any more: machines that are
/// shared with others turn fast and slow.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);
/// Age from which on the stretch by a number of prompts is forgotten, and so tried again.
const STRETCH_MAX_AGE: Duration = Duration::from_secs(60);
/// Interval at which the typical pause of a service's engines is determined.
const TYPICAL_INTERVAL: Duration = Duration::from_millis(500);
/// Reports that are kept of one engine.
const MAX_REPORTS: usize = 64;
/// Weight of one report in the averages, which thus cover about twenty.
const REPORT_WEIGHT: f64 = 0.05;
/// Maximum factor between a report and the average that it goes into: an entry that is frozen or
/// slow sees pauses that no engine made.
const MAX_DEVIATION: f64 = 3.0;
/// Part of the longest pause that a route allows which the expected one may take: it is learned from
/// averages, and an answer is late if a single pause is too long.
const PAUSE_SHARE: f64 = 0.9;
/// Part of the time left until the first event is due for which an engine is preferred because it
/// keeps pauses: a prompt may take longer than expected.
const RELIABLE_SHARE: f64 = 0.8;
/// Changes of the number of prompts that are kept of one engine.
const MAX_CHANGES: usize = 32;

/// A pause as an entry reported it.
#[derive(Clone, Debug)]
struct Report {
    at: Moment,
    entry: InstanceId,
    /// Prompts that the engine read meanwhile.
    prompts: usize,
    pause: Duration,
}

/// What is known of one engine.
#[derive(Clone, Debug, Default)]
struct EnginePauses {
    /// Average pause without prompts, in seconds.
    calm: Option<f64>,
    /// The longest pause with the stretch by prompts taken out, and as of when.
    longest_calm: Option<(Moment, Duration)>,
    reports: VecDeque<Report>,
    /// Numbers of prompts and since when.
    prompts: VecDeque<(Moment, usize)>,
}

impl EnginePauses {
    /// The greatest number of prompts at a time since `from`.
    fn most_prompts_since(&self, from: Moment) -> usize {
        let begun_before = self.prompts.iter().rev().find(|(at, _)| *at <= from);
        let later = self.prompts.iter().filter(|(at, _)| *at > from);
        let counts = begun_before.into_iter().chain(later);
        counts.map(|(_, prompts)| *prompts).max().unwrap_or(0)
    }
}

/// By how much a number of prompts stretches pauses, on all engines of a service.
#[derive(Clone, Copy, Debug)]
struct Stretch {
    factor: f64,
    reported_at: Moment,
}

/// What is known of the pauses on a service's engines.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    engines: BTreeMap<TargetId, EnginePauses>,
    stretches: [Option<Stretch>; LEVELS],
    /// The median of `longest_calm` over the engines, and as of when.
    typical_calm: Option<(Moment, Duration)>,
    /// By how much the longest pauses of an engine exceed its average.
    swing: f64,
}

impl Pauses {
    /// Records that an engine has this number of prompts to read from now on.
    pub fn set_prompts(&mut self, now: Moment, target: &TargetId, prompts: usize) {
        let changes = &mut self.engine(target).prompts;
        if changes.back().is_some_and(|(_, last)| *last == prompts) {
            return;
        }
        if changes.len() == MAX_CHANGES {
            changes.pop_front();
        }
        changes.push_back((now, prompts));
    }

    /// Records the longest pause that an entry saw in an answer of an engine since `from`.
    pub fn record(
        &mut self,
        now: Moment,
        target: &TargetId,
        entry: &InstanceId,
        from: Moment,
        pause: Duration,
    ) {
        let engine = self.engine(target);
        let prompts = engine.most_prompts_since(from);
        if engine.reports.len() == MAX_REPORTS {
            engine.reports.pop_front();
        }
        engine.reports.push_back(Report {
            at: now,
            entry: Arc::clone(entry),
            prompts,
            pause,
        });
        let seconds = pause.as_secs_f64();
        if prompts == 0 {
            engine.calm = Some(average(engine.calm, seconds));
        } else if let Some(calm) = engine.calm {
            self.record_stretch(now, prompts, seconds / calm);
        }
        let longest = self.longest_calm(now, target);
        self.engine(target).longest_calm = longest.map(|longest| (now, longest));
        let is_due = |(at, _)| now.saturating_sub(at) >= TYPICAL_INTERVAL;
        if self.typical_calm.is_none_or(is_due) {
            self.typical_calm = self.median_calm(now).map(|median| (now, median));
            self.swing = self.upper_swing(now);
        }
    }

    fn record_stretch(&mut self, now: Moment, prompts: usize, factor: f64) {
        let known = &mut self.stretches[level(prompts)];
        *known = Some(Stretch {
            factor: average(known.map(|known| known.factor), factor),
            reported_at: now,
        });
    }

    /// By how much a number of prompts stretches the pauses beside them. Numbers that were not seen
    /// for long count like the next smaller one.
    fn stretch(&self, now: Moment, prompts: usize) -> f64 {
        let known = self.stretches[..=level(prompts)].iter().flatten();
        let recent = known.filter(|it| now.saturating_sub(it.reported_at) < STRETCH_MAX_AGE);
        recent.map(|it| it.factor).fold(1.0, f64::max)
    }

    /// The longest pause to expect in answers of an engine beside a number of prompts; `None` while
    /// too little is known.
    #[must_use]
    pub fn expected(&self, now: Moment, target: &TargetId, prompts: usize) -> Option<Duration> {
        let is_recent = |(at, _): &(Moment, _)| now.saturating_sub(*at) < REPORT_MAX_AGE;
        let engine = self.engines.get(target);
        let own = engine.and_then(|it| it.longest_calm).filter(is_recent);
        let (_, longest) = own.or(self.typical_calm.filter(is_recent))?;
        // Engines of a service slow down for moments by about as much, but at different times.
        let average = engine.and_then(|it| it.calm).filter(|_| own.is_some());
        let swung = Duration::from_secs_f64(average.unwrap_or_default() * self.swing);
        Some(longest.max(swung).mul_f64(self.stretch(now, prompts)))
    }

    /// Number of prompts that an engine may read at once beside answers which allow this pause;
    /// `None` if any number will do.
    #[must_use]
    pub fn limit(&self, now: Moment, target: &TargetId, max_pause: Duration) -> Option<usize> {
        let max_pause = max_pause.mul_f64(PAUSE_SHARE);
        (0..LEVELS)
            .find(|prompts| {
                let expected = self.expected(now, target, *prompts);
                expected.is_some_and(|expected| expected > max_pause)
            })
            .map(|exceeding| exceeding.saturating_sub(1))
    }

    /// The longest recent pause on an engine, with the stretch by prompts taken out.
    fn longest_calm(&self, now: Moment, target: &TargetId) -> Option<Duration> {
        self.second_longest(now, target, |_| true)
    }

    /// The longest recent pause on an engine in the reports that count, with the stretch by prompts
    /// taken out. The entry with the longest one is left out: what a single entry sees may be its
    /// own doing.
    fn second_longest(
        &self,
        now: Moment,
        target: &TargetId,
        counts: impl Fn(&Report) -> bool,
    ) -> Option<Duration> {
        let reports = self.engines.get(target)?.reports.iter();
        let recent = reports.filter(|it| now.saturating_sub(it.at) < REPORT_MAX_AGE);
        let mut by_entry: HashMap<&InstanceId, Duration> = HashMap::new();
        for report in recent.filter(|it| counts(it)) {
            let calm = report.pause.div_f64(self.stretch(now, report.prompts));
            let longest = by_entry.entry(&report.entry).or_default();
            *longest = calm.max(*longest);
        }
        let mut longest: Vec<Duration> = by_entry.into_values().collect();
        longest.sort_unstable();
        longest.iter().rev().nth(1).copied()
    }

    /// The median of the longest pauses of the engines of which enough is known.
    fn median_calm(&self, now: Moment) -> Option<Duration> {
        let known = self.engines.values().filter_map(|it| it.longest_calm);
        let recent = known.filter(|(at, _)| now.saturating_sub(*at) < REPORT_MAX_AGE);
        let mut longest: Vec<Duration> = recent.map(|(_, longest)| longest).collect();
        longest.sort_unstable();
        longest.get(longest.len() / 2).copied()
    }

    /// By how much the longest pauses without prompts exceed the average on the engines where they
    /// do so most: the upper quartile.
    fn upper_swing(&self, now: Moment) -> f64 {
        let swing = |(target, engine): (&TargetId, &EnginePauses)| {
            let longest = self.second_longest(now, target, |it| it.prompts == 0)?;
            Some(longest.as_secs_f64() / engine.calm?)
        };
        let mut swings: Vec<f64> = self.engines.iter().filter_map(swing).collect();
        swings.sort_unstable_by(f64::total_cmp);
        swings
            .get(swings.len() * 3 / 4)
            .map_or(1.0, |swing| swing.clamp(1.0, MAX_DEVIATION))
    }

    fn engine(&mut self, target: &TargetId) -> &mut EnginePauses {
        self.engines.entry(Arc::clone(target)).or_default()
    }
}

/// A placement beside answers whose pauses it is expected to stretch beyond what they allow.
#[derive(Clone, Debug, PartialEq)]
pub struct Excess {
    /// Engine that was assigned.
    pub target: TargetId,
    /// Pause that is expected there.
    pub expected: Duration,
    /// The shortest pause that an answer there allows.
    pub allowed: Duration,
}

/// How often placements were influenced by pauses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PauseCounts {
    /// Times that a request was told to wait until an engine can read its prompt without stretching
    /// pauses too far.
    pub held: u64,
    /// Placements beside answers whose pauses they stretch too far.
    pub exceeding: u64,
}

/// Pauses on the engines of all services, and what the routes allow.
#[derive(Debug, Default)]
pub(crate) struct PauseState {
    services: HashMap<ServiceId, Pauses>,
    /// The longest pause that each route allows, where it sets one.
    allowed: HashMap<RouteId, Duration>,
    /// The excess of the last placement, if there was any.
    last_excess: Option<Excess>,
    counts: PauseCounts,
}

impl PauseState {
    fn of(&mut self, service: &ServiceId) -> &mut Pauses {
        self.services.entry(Arc::clone(service)).or_default()
    }

    /// Forgets engines that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        for pauses in self.services.values_mut() {
            pauses.engines.retain(|id, _| listed(id));
        }
    }

    fn allowed_by(&self, generation: &Generation) -> Option<Duration> {
        self.allowed.get(&generation.route).copied()
    }
}

/// What the pauses of running answers leave to a request.
#[derive(Debug)]
pub(crate) enum Choice {
    /// This engine is best, with this time until the first event.
    Engine(Duration, TargetId),
    /// The request waits until an engine has read its prompts.
    Hold,
    /// No engine has room.
    NoRoom,
}

impl From<Option<(Duration, TargetId)>> for Choice {
    fn from(best: Option<(Duration, TargetId)>) -> Self {
        best.map_or(Self::NoRoom, |(time, target)| Self::Engine(time, target))
    }
}

/// An engine on which a request would stretch pauses too far.
struct Exceeded {
    excess: Excess,
    /// How long the answers there would be disturbed, together.
    disturbance: Duration,
}

impl Owner {
    /// How often placements were influenced by pauses.
    #[must_use]
    pub fn pause_counts(&self) -> PauseCounts {
        self.pauses.counts
    }

    /// The excess of the last placement, if there was any; each is returned once.
    pub fn take_pause_excess(&mut self) -> Option<Excess> {
        self.pauses.last_excess.take()
    }

    /// Records what the route of a request allows. Entries report generations without it, so that a
    /// new owner learns it from the first request of a route.
    pub(crate) fn record_allowed_pause(&mut self, request: &PlacementRequest) {
        let route = Arc::clone(&request.route);
        match request.max_pause {
            Some(pause) => self.pauses.allowed.insert(route, pause),
            None => self.pauses.allowed.remove(&route),
        };
    }

    /// Records the longest pause that an entry has reported of a generation.
    pub(crate) fn record_pause(
        &mut self,
        now: Moment,
        entry: &InstanceId,
        reported: &ActiveGeneration,
    ) {
        let Some(generation) = self.generations.get(&reported.generation) else {
            return;
        };
        if reported.longest_pause.is_zero() || generation.target != reported.target {
            return;
        }
        let from = generation.counted_at;
        let pauses = self.pauses.of(&reported.service);
        pauses.record(now, &reported.target, entry, from, reported.longest_pause);
    }

    /// Records how many prompts an engine has to read.
    pub(crate) fn record_prompts(&mut self, now: Moment, service: &ServiceId, target: &TargetId) {
        let prompts = self.prompts_on(target);
        self.pauses.of(service).set_prompts(now, target, prompts);
    }

    /// Chooses the engine for a request: one where no answer's pauses get too long if it can begin
    /// there in time, otherwise the one where answers are disturbed least.
    pub(crate) fn choose_engine(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engines: &[Engine],
    ) -> Choice {
        self.pauses.last_excess = None;
        let is_beyond = |engine: &Engine| self.exceeded(now, evaluated, &engine.id).is_some();
        if !engines.iter().any(is_beyond) {
            return self.best_engine(now, evaluated, engines).into();
        }
        let (beyond, within): (Vec<Engine>, Vec<Engine>) =
            engines.iter().cloned().partition(is_beyond);
        let best_within = self.best_engine(now, evaluated, &within);
        let reliable = self.usable_objective(evaluated).mul_f64(RELIABLE_SHARE);
        if best_within.as_ref().is_some_and(|best| best.0 <= reliable) {
            return best_within.into();
        }
        let Some((time_to_first_event, target)) = self.best_engine(now, evaluated, &beyond) else {
            return best_within.into();
        };
        if !self.can_meet_objective(evaluated, time_to_first_event) {
            return best_within.or(Some((time_to_first_event, target))).into();
        }
        if self.can_hold(now, evaluated, time_to_first_event, &beyond) {
            self.pauses.counts.held += 1;
            return Choice::Hold;
        }
        let exceeded = self.exceeded(now, evaluated, &target);
        self.pauses.last_excess = exceeded.map(|exceeded| exceeded.excess);
        self.pauses.counts.exceeding += 1;
        Choice::Engine(time_to_first_event, target)
    }

    /// Additional cost of an engine: the time for which answers there would be disturbed.
    pub(crate) fn pause_penalty(
        &self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        target: &TargetId,
    ) -> Duration {
        let exceeded = self.exceeded(now, evaluated, target);
        exceeded.map_or(Duration::ZERO, |exceeded| exceeded.disturbance)
    }

    /// Whether a request can wait until an engine has read some of its prompts, and still begin in
    /// time. Prompts are read as fast one after the other as side by side, so that nothing is lost
    /// as long as engines read more prompts in that time than requests wait for them.
    fn can_hold(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        time_to_first_event: Duration,
        engines: &[Engine],
    ) -> bool {
        // The entry repeats its request once in an interval.
        let usable = self
            .usable_objective(evaluated)
            .saturating_sub(self.tuning.max_wait_interval);
        if time_to_first_event > usable {
            return false;
        }
        let spare = usable.saturating_sub(evaluated.prefill_time);
        let read_by_each = spare.as_secs_f64() / evaluated.prefill_time.as_secs_f64();
        let keeps_one = |engine: &&Engine| self.limit(now, evaluated, &engine.id) != Some(0);
        let reading = as_f64_count(engines.iter().filter(keeps_one).count());
        let ahead = as_f64_count(self.waiting_ahead(now, evaluated));
        reading * read_by_each > ahead
    }

    /// How many prompts an engine may read beside the answers there and that of a request.
    fn limit(
        &self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        target: &TargetId,
    ) -> Option<usize> {
        let allowed = self.shortest_allowed_pause(evaluated, target)?;
        let pauses = self.pauses.services.get(&evaluated.request.shard.service)?;
        pauses.limit(now, target, allowed)
    }

    /// Whether a request would stretch pauses on an engine too far, and by how much.
    fn exceeded(
        &self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        target: &TargetId,
    ) -> Option<Exceeded> {
        if !self.tuning.bounds_pauses {
            return None;
        }
        let prompts = self.prompts_beside(target);
        if self.limit(now, evaluated, target)? >= prompts {
            return None;
        }
        let pauses = self.pauses.services.get(&evaluated.request.shard.service)?;
        let expected = pauses.expected(now, target, prompts)?;
        let is_disturbed =
            |it: &&Generation| self.pauses.allowed_by(it).is_some_and(|it| it < expected);
        let disturbance = self
            .generations_on(target)
            .filter(is_disturbed)
            .map(|it| it.time_left(now, evaluated.throughput))
            .map(|time_left| time_left.min(evaluated.prefill_time))
            .sum();
        Some(Exceeded {
            excess: Excess {
                target: Arc::clone(target),
                expected,
                allowed: self.shortest_allowed_pause(evaluated, target)?,
            },
            disturbance,
        })
    }

    /// The shortest pause that the answers on an engine and that of a request allow.
    fn shortest_allowed_pause(
        &self,
        evaluated: &EvaluatedRequest<'_>,
        target: &TargetId,
    ) -> Option<Duration> {
        let of_others = self
            .generations_on(target)
            .filter_map(|generation| self.pauses.allowed_by(generation));
        of_others.chain(evaluated.request.max_pause).min()
    }

    /// Prompts that answers on an engine would have beside them if another one were placed there.
    /// Without an answer that runs, the first of the prompts becomes one.
    fn prompts_beside(&self, target: &TargetId) -> usize {
        let prompts = self.prompts_on(target);
        let has_answers = self
            .generations_on(target)
            .any(|generation| generation.started_at.is_some());
        prompts + usize::from(has_answers)
    }

    /// Prompts that an engine has to read.
    fn prompts_on(&self, target: &TargetId) -> usize {
        self.generations_on(target)
            .filter(|generation| generation.started_at.is_none())
            .count()
    }

    fn generations_on(&self, target: &TargetId) -> impl Iterator<Item = &Generation> {
        let account = self.accounts.get(target).into_iter();
        let ids = account.flat_map(|account| &account.generations);
        ids.filter_map(|id| self.generations.get(id))
    }
}

/// Moves an average towards a sample, of which no more than a bounded part counts.
fn average(known: Option<f64>, sample: f64) -> f64 {
    known.map_or(sample, |known| {
        let sample = sample.clamp(known / MAX_DEVIATION, known * MAX_DEVIATION);
        known + REPORT_WEIGHT * (sample - known)
    })
}

fn level(prompts: usize) -> usize {
    prompts.min(LEVELS - 1)
}
