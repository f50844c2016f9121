//! The coordinator's account of one rollout: evidence of all instances, the share of requests for
//! the new version, and the verdict.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use types::{InstanceId, Moment, bounded};

use crate::{
    checkpoint::Checkpoint,
    evidence::Evidence,
    exposure::as_f64,
    fault::{Fault, find_fault},
    order::{Directive, ExposureLimits, Order, Outcome},
};

/// Time before the deadline at which a rollout succeeds, so that the store has it in time.
const SUCCESS_MARGIN: Duration = Duration::from_millis(300);
/// The same as a part of the order's duration, for short ones.
const SUCCESS_MARGIN_SHARE: f64 = 0.05;
/// Calls to the store, one after the other, from the order until the operator reads the success: the order is
/// read, the record is read, and the success is written.
const STORE_CALLS: u32 = 3;
/// The most time that is set aside for them, as a part of the order's duration.
const MAX_STORE_SHARE: f64 = 0.2;
/// Time before the end of a rollout at which generations are migrated off the other versions.
const MIGRATION_TIME: Duration = Duration::from_millis(2_500);
/// The same as a part of the order's duration, for short ones.
const MIGRATION_SHARE: f64 = 0.3;
/// A coordinator that has taken over ends no rollout as a success before it has had the reports of
/// all instances.
const MIN_OBSERVATION: Duration = Duration::from_millis(1_000);
/// Answers of the version that a success rests on at least.
const MIN_ANSWERS: u32 = 5;
/// Part of all requests to the service that a success asks for as answers of the version, where it has had
/// too few for that number.
const MIN_ANSWERED_PART: f64 = 0.25;
/// Share of failures among a version's answers, above that of the other versions, with which it does not
/// succeed, however few they are.
const MAX_EXCESS: f64 = 0.25;
/// Answers among them that are later than the stored evidence: the version may have turned bad since.
const MIN_LATE_ANSWERS: u32 = 3;
/// Share of failures among these, above that of the other versions, with which they prove nothing.
const MAX_LATE_EXCESS: f64 = 0.25;
/// Time after the take-over, and after the deadline, in which these answers may still come.
const MAX_PROOF_TIME: Duration = Duration::from_millis(3_000);
/// Time after the order within which an account that begins has missed nothing.
const ORDER_TOLERANCE: Duration = Duration::from_millis(1_000);
/// Number of checkpoints that one coordinator makes.
const MAX_CHECKPOINTS: u32 = 4;
/// Time between two checkpoints, as a part of the order's duration.
const CHECKPOINT_SPACING: f64 = 0.2;
/// Growth of the number of answers from one checkpoint to the next.
const CHECKPOINT_GROWTH: u32 = 2;
/// Tallies in a checkpoint with histograms.
const MAX_CHECKPOINT_TALLIES: usize = 200;
/// Part of the bound's share and slack that is planned for. The rest is for instances that hear two
/// coordinators for a moment.
const PLANNED_SHARE: f64 = 0.95;
const PLANNED_SLACK: f64 = 0.45;
/// Smallest part of the planned requests that the new version gets before the turn, to show how it
/// answers. The rest is for the time from the turn to the deadline.
const MIN_PROBE_PART: f64 = 0.4;
/// Time between the turn and the success, in which requests drain from the other versions.
const DRAIN_TIME: Duration = Duration::from_millis(250);
/// Share of requests for the new version while the request rate is unknown.
const INITIAL_SHARE: f64 = 0.08;
/// Highest share of requests for the new version before the turn, so that answers of the others
/// remain for comparison.
const MAX_PROBE_SHARE: f64 = 0.5;
/// The turn comes no earlier than at this part of the order's duration.
const EARLIEST_TURN: f64 = 0.5;
/// Time over which the request rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Margin of the forecast request rate for what is sent after the turn.
const RATE_MARGIN: f64 = 1.1;

/// How much more likely all answers must be under a fault than without one.
const MIN_RATIO: f64 = 1_000.0;
/// The same for recent answers, which are tested anew all the time.
const MIN_RECENT_RATIO: f64 = 10_000.0;
/// Time between two snapshots of the evidence.
const SNAPSHOT_PERIOD: Duration = Duration::from_secs(1);
/// Snapshots that are kept. Answers since the oldest one are recent.
const SNAPSHOTS: usize = 6;

/// What an instance reports to the coordinator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The order, as the instance knows it.
    pub order: Order,
    /// The instance.
    pub from: InstanceId,
    /// When the instance started, in Unix milliseconds.
    pub started_at: u64,
    /// Time since the instance saw the order appear; none if it was there when it started.
    #[serde(default, deserialize_with = "bounded")]
    pub age: Option<Duration>,
    /// How the rollout has ended, if the instance knows.
    pub outcome: Option<Outcome>,
    /// Its counts.
    pub evidence: Evidence,
}

/// Numbers of listed targets that accept requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// Targets of the new version.
    pub new: usize,
    /// Targets of the other versions.
    pub old: usize,
}

/// Why a rollout has ended.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Reason {
    /// The deadline has come, and nothing speaks against the version.
    #[display("nothing spoke against it")]
    Good,
    /// The version answers worse than the others.
    #[display("{} of its answers: {:.0} of {:.0}, others {:.0} of {:.0}, route {}",
        _0.measure, _0.new.bad, _0.new.total, _0.old.bad, _0.old.total,
        _0.route.as_deref().unwrap_or("(all)"))]
    Worse(Fault),
    /// The operator has taken the order back, or ordered another version.
    #[display("the order was taken back")]
    Withdrawn,
    /// The deadline has come, and no target runs the version.
    #[display("no target runs it")]
    NoTarget,
    /// The order leaves no time.
    #[display("the order leaves no time")]
    NoTime,
    /// The version has answered too little, or too often with failures, for a success.
    #[display("only {answers} of its answers are known, {failures} of them failures")]
    Unsupported {
        /// Its answers.
        answers: u32,
        /// Failures among them.
        failures: u32,
    },
    /// Evidence was lost with the instances, and too few answers came afterwards.
    #[display("evidence was lost, and only {_0} answers are known")]
    Unproven(u32),
    /// Another coordinator has ended it.
    #[display("another instance has ended it")]
    Elsewhere,
}

/// The end of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// How it ends.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
}

/// What a decision rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Basis {
    /// Answers of the new version.
    pub new_answers: u32,
    /// Failures among them.
    pub new_failures: u32,
    /// Answers of the other versions.
    pub old_answers: u32,
    /// Time since the coordinator's account began.
    pub account_age: Duration,
    /// Time since the order.
    pub order_age: Duration,
    /// Whether the account holds evidence from the order on.
    pub is_complete: bool,
}

/// The counts at the last checkpoint.
#[derive(Clone, Copy, Debug)]
struct LastCheckpoint {
    at: Moment,
    answers: u32,
    failures: u32,
}

/// The last report of one incarnation of an instance.
#[derive(Clone, Debug)]
struct Reported {
    started_at: u64,
    evidence: Evidence,
}

/// What a version's answers say for a success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Support {
    /// They support it.
    Enough,
    /// They are too few.
    TooLittle,
    /// Too many of them are failures.
    Failures,
}

/// One rollout, as its coordinator accounts for it.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: Order,
    limits: ExposureLimits,
    /// When the order was given, as far as is known.
    ordered_at: Moment,
    /// How long a call to the store takes.
    store_latency: Duration,
    observed_since: Moment,
    reports: HashMap<InstanceId, Reported>,
    /// Evidence of incarnations that have ended.
    past: Evidence,
    /// What an earlier coordinator has stored.
    saved: Option<Checkpoint>,
    /// Evidence of ended incarnations that the stored evidence may hold as well.
    past_saved: Evidence,
    /// Whether an instance has reported that saw the order appear.
    has_witness: bool,
    checkpoints: u32,
    last_checkpoint: Option<LastCheckpoint>,
    /// Requests sent by all instances, at the times of recent reports.
    arrivals: VecDeque<(Moment, u64)>,
    /// All evidence at some times, the latest last.
    snapshots: VecDeque<(Moment, Evidence)>,
    is_withdrawn: bool,
    verdict: Option<Verdict>,
}

impl Rollout {
    /// Starts to coordinate a rollout that was ordered at `ordered_at`.
    #[must_use]
    pub fn new(now: Moment, order: Order, limits: ExposureLimits, ordered_at: Moment) -> Self {
        Self {
            order,
            limits,
            ordered_at,
            store_latency: Duration::ZERO,
            observed_since: now,
            reports: HashMap::new(),
            past: Evidence::default(),
            saved: None,
            past_saved: Evidence::default(),
            has_witness: false,
            checkpoints: 0,
            last_checkpoint: None,
            arrivals: VecDeque::new(),
            snapshots: VecDeque::new(),
            is_withdrawn: false,
            verdict: None,
        }
    }

    /// Sets how long a call to the store takes, so that a success is written earlier while it is slow.
    #[must_use]
    pub const fn with_store_latency(mut self, store_latency: Duration) -> Self {
        self.store_latency = store_latency;
        self
    }

    /// Takes over the evidence that an earlier coordinator has stored.
    #[must_use]
    pub fn with_saved(mut self, saved: Option<Checkpoint>) -> Self {
        self.last_checkpoint = saved.as_ref().map(|saved| LastCheckpoint {
            at: self.observed_since,
            answers: saved.evidence.new_answers(),
            failures: saved.evidence.new_failures(),
        });
        self.saved = saved;
        self
    }

    /// The order.
    #[must_use]
    pub const fn order(&self) -> &Order {
        &self.order
    }

    /// The end of the rollout, if it has ended.
    #[must_use]
    pub const fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }

    /// When the order was given, as far as is known.
    #[must_use]
    pub const fn ordered_at(&self) -> Moment {
        self.ordered_at
    }

    /// Records that the operator has taken the order back.
    pub const fn withdraw(&mut self) {
        self.is_withdrawn = true;
    }

    /// Applies a verdict that is in force already. A verdict never changes.
    pub fn end(&mut self, outcome: Outcome) {
        let reason = Reason::Elsewhere;
        self.verdict.get_or_insert(Verdict { outcome, reason });
    }

    /// Applies an instance's report.
    pub fn report(&mut self, now: Moment, report: Report) {
        if let Some(outcome) = report.outcome {
            self.end(outcome);
        }
        if let Some(age) = report.age {
            let appeared_at = now.saturating_sub(age);
            self.has_witness |= appeared_at <= self.ordered_at + ORDER_TOLERANCE;
            self.ordered_at = self.ordered_at.min(appeared_at);
        }
        let new = Reported {
            started_at: report.started_at,
            evidence: report.evidence,
        };
        match self.reports.get(&report.from) {
            Some(known) if known.started_at > new.started_at => return,
            Some(known) if known.started_at < new.started_at => {
                let past = if is_before(self.saved.as_ref(), known) {
                    &mut self.past_saved
                } else {
                    &mut self.past
                };
                past.merge(&known.evidence);
                self.reports.insert(report.from, new);
            }
            _ => {
                self.reports.insert(report.from, new);
            }
        }
        self.arrivals.push_back((now, self.total_arrivals()));
        let oldest = now.saturating_sub(RATE_WINDOW);
        while self.arrivals.len() > 2 && self.arrivals[1].0 <= oldest {
            self.arrivals.pop_front();
        }
    }

    /// Decides whether the rollout ends now; returns the verdict if it has ended.
    pub fn decide(&mut self, now: Moment, fleet: Fleet) -> Option<&Verdict> {
        if self.verdict.is_none() {
            self.verdict = self.judge(now, fleet);
            self.take_snapshot(now);
        }
        self.verdict.as_ref()
    }

    fn take_snapshot(&mut self, now: Moment) {
        let last = self.snapshots.back().map(|(at, _)| *at);
        if last.is_some_and(|at| now < at + SNAPSHOT_PERIOD) {
            return;
        }
        self.snapshots.push_back((now, self.evidence()));
        if self.snapshots.len() > SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// Finds a fault in all answers, or in the recent ones: a version that turns bad has many good
    /// answers before.
    fn find_fault(&self) -> Option<Fault> {
        let all = self.evidence();
        find_fault(&all, MIN_RATIO).or_else(|| {
            let (_, earlier) = self.snapshots.front()?;
            find_fault(&all.since(earlier), MIN_RECENT_RATIO)
        })
    }

    fn judge(&self, now: Moment, fleet: Fleet) -> Option<Verdict> {
        let rolled_back = |reason| {
            Some(Verdict {
                outcome: Outcome::RolledBack,
                reason,
            })
        };
        if self.is_withdrawn {
            return rolled_back(Reason::Withdrawn);
        }
        if self.order.duration.is_zero() {
            return rolled_back(Reason::NoTime);
        }
        if let Some(fault) = self.find_fault() {
            return rolled_back(Reason::Worse(fault));
        }
        let age = now.saturating_sub(self.ordered_at);
        let is_observed = now.saturating_sub(self.observed_since) >= MIN_OBSERVATION;
        if age >= self.order.duration && fleet.new == 0 {
            return rolled_back(Reason::NoTarget);
        }
        if age < self.success_age() || !is_observed || fleet.new == 0 {
            return None;
        }
        let evidence = self.evidence();
        let (answers, failures) = (evidence.new_answers(), evidence.new_failures());
        let unsupported = Reason::Unsupported { answers, failures };
        let support = self.support(&evidence);
        if fleet.old > 0 && support == Support::Failures {
            return rolled_back(unsupported);
        }
        let has_account = self.is_complete() || self.is_proven();
        if fleet.old == 0 || (has_account && support == Support::Enough) {
            return Some(Verdict {
                outcome: Outcome::Succeeded,
                reason: Reason::Good,
            });
        }
        let account_age = now.saturating_sub(self.observed_since);
        let is_over = age >= self.order.duration && account_age >= MAX_PROOF_TIME;
        let reason = if has_account {
            unsupported
        } else {
            Reason::Unproven(answers)
        };
        is_over.then(|| rolled_back(reason)).flatten()
    }

    /// Whether the version's answers support a success. That nothing speaks against a version does not: the
    /// others are stopped at a success, and it must be known to answer.
    fn support(&self, evidence: &Evidence) -> Support {
        let (answers, failures) = (evidence.new_answers(), evidence.new_failures());
        let usual = share(evidence.old_failures(), evidence.old_answers());
        if answers > 0 && share(failures, answers) > usual + MAX_EXCESS {
            return Support::Failures;
        }
        let expected = as_f64(self.total_arrivals()) * MIN_ANSWERED_PART;
        if f64::from(answers) >= expected.ceil().min(f64::from(MIN_ANSWERS)) {
            Support::Enough
        } else {
            Support::TooLittle
        }
    }

    /// Whether the account holds evidence from the order on: it began with the order, or an instance
    /// reports that has been running since then.
    fn is_complete(&self) -> bool {
        self.has_witness || self.observed_since <= self.ordered_at + ORDER_TOLERANCE
    }

    /// Whether the version has answered well enough since evidence was lost.
    fn is_proven(&self) -> bool {
        let late = self.late_evidence();
        let (answers, failures) = (late.new_answers(), late.new_failures());
        let old = share(late.old_failures(), late.old_answers());
        self.evidence().new_answers() >= MIN_ANSWERS
            && answers >= MIN_LATE_ANSWERS
            && share(failures, answers) <= old + MAX_LATE_EXCESS
    }

    /// Evidence of incarnations that were started after evidence was stored.
    fn late_evidence(&self) -> Evidence {
        let mut late = self.past.clone();
        let reported = self.reports.values();
        for known in reported.filter(|known| !is_before(self.saved.as_ref(), known)) {
            late.merge(&known.evidence);
        }
        late
    }

    /// What a decision rests on now.
    #[must_use]
    pub fn basis(&self, now: Moment) -> Basis {
        let evidence = self.evidence();
        Basis {
            new_answers: evidence.new_answers(),
            new_failures: evidence.new_failures(),
            old_answers: evidence.old_answers(),
            account_age: now.saturating_sub(self.observed_since),
            order_age: now.saturating_sub(self.ordered_at),
            is_complete: self.is_complete(),
        }
    }

    /// The evidence to store now, if it says much more than what was stored before. `now_ms` is the
    /// time in Unix milliseconds.
    pub fn checkpoint(&mut self, now: Moment, now_ms: u64) -> Option<Checkpoint> {
        if self.verdict.is_some() || self.checkpoints >= MAX_CHECKPOINTS {
            return None;
        }
        let evidence = self.evidence();
        let (answers, failures) = (evidence.new_answers(), evidence.new_failures());
        let is_due = match self.last_checkpoint {
            None => failures > 0 || answers >= MIN_ANSWERS,
            Some(last) => {
                let spacing = self.order.duration.mul_f64(CHECKPOINT_SPACING);
                let has_grown = answers >= last.answers.saturating_mul(CHECKPOINT_GROWTH);
                let is_first_failure = failures > 0 && last.failures == 0;
                is_first_failure || (has_grown && now >= last.at + spacing)
            }
        };
        if !is_due {
            return None;
        }
        self.checkpoints += 1;
        self.last_checkpoint = Some(LastCheckpoint {
            at: now,
            answers,
            failures,
        });
        Some(Checkpoint {
            to: self.order.to.clone(),
            order: self.order.revision,
            at_ms: now_ms,
            evidence: evidence.bounded(MAX_CHECKPOINT_TALLIES),
        })
    }

    /// What to tell an instance now.
    #[must_use]
    pub fn directive(&self, now: Moment, to: &InstanceId, fleet: Fleet) -> Directive {
        // A success counts only once the store has it; until then requests go as before.
        if let Some(verdict) = &self.verdict
            && verdict.outcome == Outcome::RolledBack
        {
            return Directive::Suspended;
        }
        if fleet.old == 0 && fleet.new > 0 {
            return Directive::Unopposed;
        }
        let age = now.saturating_sub(self.ordered_at);
        let (share, turn_age) = self.plan(now, age);
        let arrivals = as_f64(self.total_arrivals());
        let own = self
            .reports
            .get(to)
            .map_or(0.0, |known| as_f64(known.evidence.arrivals));
        let (past_arrivals, past_exposed) = self.past_requests();
        let current = arrivals - past_arrivals;
        let part = if current > 0.0 { own / current } else { 0.0 };
        // What incarnations that have ended were entitled to and did not use.
        let entitled = self.limits.share * PLANNED_SHARE * past_arrivals;
        let slack = (entitled + self.limits.slack * PLANNED_SLACK - past_exposed).max(0.0);
        let migration = MIGRATION_TIME.min(self.order.duration.mul_f64(MIGRATION_SHARE));
        let migration_age = self.order.duration.saturating_sub(migration);
        Directive::Expose {
            share,
            slack: slack * part,
            turn_in: turn_age.saturating_sub(age),
            migrate_in: migration_age.saturating_sub(age),
        }
    }

    /// The share of requests for the new version, and the age of the order at which all go there.
    /// Requests after the turn take what is left of the bound by the deadline.
    fn plan(&self, now: Moment, age: Duration) -> (f64, Duration) {
        let duration = self.order.duration;
        let rate = self.rate(now);
        let left = duration.saturating_sub(age).as_secs_f64();
        let expected = as_f64(self.total_arrivals()) + rate * left;
        let planned =
            self.limits.share * PLANNED_SHARE * expected + self.limits.slack * PLANNED_SLACK;
        let exposed = as_f64(self.total_exposed());
        let after_turn = duration.saturating_sub(self.success_age()) + DRAIN_TIME;
        let reserved = rate * RATE_MARGIN * after_turn.as_secs_f64();
        let probes = (planned - reserved).max(planned * MIN_PROBE_PART);
        let tail = (planned - exposed.max(probes)).max(0.0) / (rate * RATE_MARGIN).max(0.1);
        let tail = Duration::from_secs_f64(tail.min(duration.as_secs_f64()));
        let earliest = duration.mul_f64(EARLIEST_TURN);
        let turn_age = duration.saturating_sub(tail).max(earliest);
        let until_turn = turn_age.saturating_sub(age).as_secs_f64();
        let is_quiet = now.saturating_sub(self.observed_since) >= RATE_WINDOW
            && exposed + rate * until_turn * MAX_PROBE_SHARE < f64::from(MIN_ANSWERS);
        let share = if is_quiet {
            // Else hardly any answer would tell how the version does.
            1.0
        } else if rate > 0.0 {
            ((probes - exposed) / (rate * until_turn).max(1.0)).clamp(0.0, MAX_PROBE_SHARE)
        } else {
            INITIAL_SHARE
        };
        (share, turn_age)
    }

    /// Age of the order at which the rollout succeeds.
    fn success_age(&self) -> Duration {
        let duration = self.order.duration;
        let margin = SUCCESS_MARGIN.min(duration.mul_f64(SUCCESS_MARGIN_SHARE));
        let store_time = self.store_latency.saturating_mul(STORE_CALLS);
        let store_time = store_time.min(duration.mul_f64(MAX_STORE_SHARE));
        duration.saturating_sub(margin + store_time)
    }

    /// Requests a second of all instances; 0 while it is unknown.
    fn rate(&self, now: Moment) -> f64 {
        let Some((since, before)) = self.arrivals.front() else {
            return 0.0;
        };
        let time = now.saturating_sub(*since).as_secs_f64();
        if time <= 0.0 {
            return 0.0;
        }
        as_f64(self.total_arrivals().saturating_sub(*before)) / time
    }

    fn total_arrivals(&self) -> u64 {
        self.total(|evidence| evidence.arrivals)
    }

    fn total_exposed(&self) -> u64 {
        self.total(|evidence| evidence.exposed)
    }

    /// Requests that were sent by incarnations which have ended, and those among them that went to the new
    /// version.
    fn past_requests(&self) -> (f64, f64) {
        let of = |count: fn(&Evidence) -> u64| {
            let current = self.reports.values().map(|known| count(&known.evidence));
            as_f64(self.total(count).saturating_sub(current.sum()))
        };
        (
            of(|evidence| evidence.arrivals),
            of(|evidence| evidence.exposed),
        )
    }

    /// The sum of a count over all instances.
    fn total(&self, count: impl Fn(&Evidence) -> u64) -> u64 {
        let saved = self.saved.as_ref().map_or(0, |it| count(&it.evidence));
        let (mut early, mut late) = (count(&self.past_saved), count(&self.past));
        for known in self.reports.values() {
            if is_before(self.saved.as_ref(), known) {
                early += count(&known.evidence);
            } else {
                late += count(&known.evidence);
            }
        }
        early.max(saved) + late
    }

    /// The evidence of all instances. That of incarnations which ran when evidence was stored is part
    /// of both, so the larger one of the two counts.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        let (mut early, mut late) = (self.past_saved.clone(), self.past.clone());
        for known in self.reports.values() {
            if is_before(self.saved.as_ref(), known) {
                early.merge(&known.evidence);
            } else {
                late.merge(&known.evidence);
            }
        }
        let saved = self.saved.as_ref().map(|saved| &saved.evidence);
        match saved.filter(|saved| saved.new_answers() > early.new_answers()) {
            Some(saved) => late.merge(saved),
            None => late.merge(&early),
        }
        late
    }
}

/// Whether an incarnation ran already when evidence was stored.
fn is_before(saved: Option<&Checkpoint>, reported: &Reported) -> bool {
    saved.is_some_and(|saved| reported.started_at <= saved.at_ms)
}

/// A part of a number of answers; 0 without any.
fn share(part: u32, answers: u32) -> f64 {
    f64::from(part) / f64::from(answers.max(1))
}
