//! Keeps the pauses between the events of running answers within what their routes allow.
//!
//! An engine processes prompts between the tokens of running answers, so a prompt stretches the pauses
//! of all answers beside it. On a slow engine, or in a slow moment of its machine, one prompt makes them
//! longer than a route allows. Entries report the longest pauses that they saw; from these the owner
//! learns how often a prompt makes an answer late on engines with such pauses. Long answers then go to
//! engines where prompts do no harm, and prompts to engines where no long answers run.
//!
//! What was learned is soft state of the owner. Without it, or without such pauses, nothing changes.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use types::{Moment, RouteId, ServiceId, TargetId};

use crate::{
    account::{Engine, Generation},
    choice::Candidate,
    message::{ActiveGeneration, PlacementRequest},
    owner::Owner,
    queue::EvaluatedRequest,
};

/// Changes of the number of prompts that are kept of one engine.
const MAX_CHANGES: usize = 32;
/// Weight of one report in the average pause of an engine, once there are enough.
const REPORT_WEIGHT: f64 = 0.05;
/// A pause longer than the allowed one by this factor has another cause than a prompt: an entry that
/// was frozen, or a lost connection.
const MAX_STRETCH: u32 = 3;
/// Ratio between the bounds of neighbouring classes of engines.
const CLASS_RATIO: f64 = 1.3;
/// Factor by which earlier reports lose weight with each new one, which thus count about two hundred.
const REPORT_RETENTION: f64 = 0.995;
/// Reports for which the share of the whole service counts in that of a class.
const PRIOR_REPORTS: f64 = 5.0;
/// Time in which the count of recent prompts falls to 1/e.
const PROMPT_WINDOW: Duration = Duration::from_secs(4);
/// Expected number of answers made late from which on a placement is logged.
const NOTABLE_LATE: f64 = 0.5;

/// Reports of pauses beside prompts, and those among them that were too long. Earlier ones fade.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    reports: f64,
    exceeding: f64,
}

impl Tally {
    fn record(&mut self, exceeds: bool) {
        self.reports = self.reports * REPORT_RETENTION + 1.0;
        self.exceeding = self.exceeding * REPORT_RETENTION + f64::from(u8::from(exceeds));
    }

    /// Share of the reports that were too long, with a prior of some weight.
    fn share(&self, prior: f64) -> f64 {
        (self.exceeding + prior * PRIOR_REPORTS) / (self.reports + PRIOR_REPORTS)
    }
}

/// What is known of one engine.
#[derive(Clone, Debug, Default)]
struct EnginePauses {
    /// Average of the pauses that were reported without prompts, as a fraction of the allowed one.
    calm: f64,
    /// Number of such reports.
    calm_reports: u32,
    /// Numbers of prompts and since when.
    prompts: VecDeque<(Moment, usize)>,
}

impl EnginePauses {
    /// Whether the engine had a prompt to process at any time since `from`.
    fn had_prompts_since(&self, from: Moment) -> bool {
        let begun_before = self.prompts.iter().rev().find(|(at, _)| *at <= from);
        let later = self.prompts.iter().filter(|(at, _)| *at > from);
        begun_before.into_iter().chain(later).any(|(_, n)| *n > 0)
    }

    fn record_calm(&mut self, fraction: f64) {
        self.calm_reports = self.calm_reports.saturating_add(1);
        let weight = (1.0 / f64::from(self.calm_reports)).max(REPORT_WEIGHT);
        self.calm += weight * (fraction - self.calm);
    }

    /// Number of the class of engines with about the same pauses.
    fn class(&self) -> Option<i32> {
        let is_known = self.calm_reports > 0 && self.calm > 0.0;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "the logarithm of a number of bounded size"
        )]
        let class = (libm::log(self.calm) / libm::log(CLASS_RATIO)).floor() as i32;
        is_known.then_some(class)
    }
}

/// What is known of the pauses on a service's engines.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    engines: HashMap<TargetId, EnginePauses>,
    all: Tally,
    /// By class of engines.
    classes: BTreeMap<i32, Tally>,
    /// Number of recent prompts, as of `prompts_at`; older ones fade.
    prompts: f64,
    prompts_at: Moment,
}

impl Pauses {
    /// Records that an engine has this number of prompts to process from now on.
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

    /// Records the longest pause that an entry saw in an answer of an engine since `from`, and the
    /// longest one that its route allows.
    pub fn record(&mut self, target: &TargetId, from: Moment, pause: Duration, allowed: Duration) {
        if pause > allowed.saturating_mul(MAX_STRETCH) {
            return;
        }
        let engine = self.engine(target);
        if !engine.had_prompts_since(from) {
            engine.record_calm(pause.as_secs_f64() / allowed.as_secs_f64());
            return;
        }
        let class = engine.class();
        let exceeds = pause > allowed;
        self.all.record(exceeds);
        if let Some(class) = class {
            self.classes.entry(class).or_default().record(exceeds);
        }
    }

    /// Records that a prompt is sent to one of the engines.
    fn record_prompt(&mut self, now: Moment) {
        self.prompts = self.recent_prompts(now) + 1.0;
        self.prompts_at = now;
    }

    fn recent_prompts(&self, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.prompts_at).as_secs_f64();
        self.prompts * libm::exp(-elapsed / PROMPT_WINDOW.as_secs_f64())
    }

    /// Prompts that one of `engines` engines gets in a time, at the rate of the last seconds.
    fn expected_prompts(&self, now: Moment, time: Duration, engines: usize) -> f64 {
        let engines = f64::from(u32::try_from(engines.max(1)).unwrap_or(u32::MAX));
        let windows = time.as_secs_f64() / PROMPT_WINDOW.as_secs_f64();
        self.recent_prompts(now) * windows / engines
    }

    /// Whether any prompt made an answer late lately.
    fn has_risks(&self) -> bool {
        self.all.exceeding > 0.0
    }

    /// Probability that a prompt on an engine makes an answer beside it pause for too long.
    #[must_use]
    pub fn risk(&self, target: &TargetId) -> f64 {
        if !self.has_risks() {
            return 0.0;
        }
        let of_all = self.all.exceeding / self.all.reports;
        let class = self.engines.get(target).and_then(EnginePauses::class);
        let tally = class.and_then(|class| self.classes.get(&class));
        tally.map_or(of_all, |tally| tally.share(of_all))
    }

    fn engine(&mut self, target: &TargetId) -> &mut EnginePauses {
        self.engines.entry(Arc::clone(target)).or_default()
    }
}

/// A placement beside answers of which its prompt probably makes one pause for too long.
#[derive(Clone, Debug, PartialEq)]
pub struct StretchedPauses {
    /// Engine that was assigned.
    pub target: TargetId,
    /// Answers on it that allow a longest pause.
    pub answers: usize,
    /// Probability for each of them.
    pub risk: f64,
}

/// Pauses on the engines of all services, and what the routes allow.
#[derive(Debug, Default)]
pub(crate) struct PauseState {
    services: HashMap<ServiceId, Pauses>,
    /// The longest pause that each route allows, where it sets one.
    allowed: HashMap<RouteId, Duration>,
    /// What the last placement does to the answers beside it, if that is notable.
    last_stretched: Option<StretchedPauses>,
}

impl PauseState {
    /// Whether prompts made answers of a service late lately.
    pub fn has_risks(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(Pauses::has_risks)
    }

    /// Forgets engines that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        for pauses in self.services.values_mut() {
            pauses.engines.retain(|id, _| listed(id));
        }
    }

    fn of(&mut self, service: &ServiceId) -> &mut Pauses {
        self.services.entry(Arc::clone(service)).or_default()
    }

    fn allowed_by(&self, generation: &Generation) -> Option<Duration> {
        self.allowed.get(&generation.route).copied()
    }
}

impl Owner {
    /// What the last placement does to the answers beside it, if that is notable; each is returned once.
    pub fn take_stretched_pauses(&mut self) -> Option<StretchedPauses> {
        self.pauses.last_stretched.take()
    }

    /// Records what the route of a request allows. Entries report generations without it, so that a
    /// new owner learns it from the first request of a route.
    pub(crate) fn record_allowed_pause(&mut self, request: &PlacementRequest) {
        let route = Arc::clone(&request.route);
        match request.max_pause.filter(|pause| !pause.is_zero()) {
            Some(pause) => self.pauses.allowed.insert(route, pause),
            None => self.pauses.allowed.remove(&route),
        };
    }

    /// Records the longest pause that an entry has reported of a generation.
    pub(crate) fn record_pause(&mut self, reported: &ActiveGeneration) {
        let Some(generation) = self.generations.get(&reported.generation) else {
            return;
        };
        if reported.longest_pause.is_zero() || generation.target != reported.target {
            return;
        }
        let Some(allowed) = self.pauses.allowed_by(generation) else {
            return;
        };
        let from = generation.counted_at;
        let pauses = self.pauses.of(&reported.service);
        pauses.record(&reported.target, from, reported.longest_pause, allowed);
    }

    /// Records how many prompts an engine has to process.
    pub(crate) fn record_prompts(&mut self, now: Moment, service: &ServiceId, target: &TargetId) {
        let unstarted = |generation: &&Generation| generation.started_at.is_none();
        let prompts = self.generations_on(target).filter(unstarted).count();
        self.pauses.of(service).set_prompts(now, target, prompts);
    }

    /// Records that the prompt of a request is sent to an engine, and what that does to the answers there.
    pub(crate) fn record_placed_prompt(
        &mut self,
        now: Moment,
        request: &PlacementRequest,
        candidate: &Candidate<'_>,
    ) {
        let target = &candidate.engine.id;
        let pauses = self.pauses.of(&request.shard.service);
        pauses.record_prompt(now);
        let risk = pauses.risk(target);
        let is_notable = self.answers_beside(now, candidate) * risk >= NOTABLE_LATE;
        self.pauses.last_stretched = is_notable.then(|| StretchedPauses {
            target: Arc::clone(target),
            answers: self.paced_answers_on(target).count(),
            risk,
        });
    }

    /// Additional cost of an engine for a request: for the answers there that its prompt makes late, and
    /// for its own answer, which later prompts make late.
    pub(crate) fn pause_cost(
        &self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        candidate: &Candidate<'_>,
        engines: usize,
    ) -> Duration {
        let request = evaluated.request;
        let service = &request.shard.service;
        let Some(pauses) = self.pauses.services.get(service) else {
            return Duration::ZERO;
        };
        if self.tuning.pause_penalty.is_zero() || !pauses.has_risks() {
            return Duration::ZERO;
        }
        let risk = pauses.risk(&candidate.engine.id);
        let mut late = self.answers_beside(now, candidate) * risk;
        if request.max_pause.is_some() {
            let throughput = self.engine_throughput(now, service, &candidate.engine.id);
            let answer_time = throughput.decode_time(evaluated.length.expected_remaining(0));
            late += exposure(risk, pauses.expected_prompts(now, answer_time, engines));
        }
        self.tuning.pause_penalty.mul_f64(late)
    }

    /// Additional cost of an engine for a running generation that migrates there.
    pub(crate) fn migration_pause_cost(
        &self,
        now: Moment,
        generation: &Generation,
        engine: &Engine,
        engines: usize,
    ) -> Duration {
        let Some(pauses) = self.pauses.services.get(&generation.service) else {
            return Duration::ZERO;
        };
        if !pauses.has_risks() || self.pauses.allowed_by(generation).is_none() {
            return Duration::ZERO;
        }
        let throughput = self.engine_throughput(now, &generation.service, &engine.id);
        let time_left = generation.time_left(now, throughput);
        let prompts = pauses.expected_prompts(now, time_left, engines);
        let late = exposure(pauses.risk(&engine.id), prompts);
        self.tuning.pause_penalty.mul_f64(late)
    }

    /// Answers on an engine that run while it processes the prompt of a request, those that end before only
    /// in part.
    fn answers_beside(&self, now: Moment, candidate: &Candidate<'_>) -> f64 {
        let prefill_time = candidate.prefill_time.max(Duration::from_millis(1));
        let beside = self.paced_answers_on(&candidate.engine.id).map(|answer| {
            let throughput = self.engine_throughput(now, &answer.service, &answer.target);
            let time_left = answer.time_left(now, throughput);
            (time_left.as_secs_f64() / prefill_time.as_secs_f64()).min(1.0)
        });
        beside.sum()
    }

    /// Generations on an engine whose routes allow a longest pause.
    fn paced_answers_on(&self, target: &TargetId) -> impl Iterator<Item = &Generation> {
        self.generations_on(target)
            .filter(|generation| self.pauses.allowed_by(generation).is_some())
    }

    fn generations_on(&self, target: &TargetId) -> impl Iterator<Item = &Generation> {
        let account = self.accounts.get(target).into_iter();
        let ids = account.flat_map(|account| &account.generations);
        ids.filter_map(|id| self.generations.get(id))
    }
}

/// Probability that at least one of some prompts makes an answer late.
fn exposure(risk: f64, prompts: f64) -> f64 {
    1.0 - libm::pow(1.0 - risk.min(1.0), prompts)
}
