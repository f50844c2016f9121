//! Expected time to answer of the targets of a plain service.
//!
//! A target's usual work time is learned from its answers, starting from that of its service. What it
//! reports of this moment, its line and how long work takes on its machine now, is evidence that fades
//! within some hundred milliseconds: most calls come from other instances, and machines turn slow and
//! quick again many times a second. A target that reports a better figure than it keeps gains nothing:
//! its samples are divided by the figure that came with them, so that its usual time grows to match.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use types::{DataCentreId, Moment, ServiceId, TargetId};
use view::Target;

use crate::adapters::ReportedLoad;

/// Work time of a service that has not answered yet. It is the same for all targets, so only
/// its ratio to samples of the first answers matters.
const INITIAL_WORK_TIME: Duration = Duration::from_millis(15);
/// Samples that are kept for each target.
const MAX_SAMPLES: usize = 16;
/// Time in which a sample loses all but 1/e of its weight.
const SAMPLE_FADE: Duration = Duration::from_secs(6);
/// Weight of the service's work time, in fresh samples.
const PRIOR_WEIGHT: f64 = 1.5;
/// Weight of one sample in the service's work time.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.05;
/// Samples are cut at this multiple of the service's work time: one call that hung does not decide.
const MAX_SAMPLE_FACTOR: f64 = 8.0;
/// Time in which a report loses all but 1/e of its weight.
const REPORT_FADE: Duration = Duration::from_millis(200);
/// Bounds of the reported time of work, as a multiple of the usual one.
const REPORTED_FACTORS: (f64, f64) = (0.5, 8.0);
/// Cost of a target in another data centre, in work times of its service: traffic between data centres
/// is billed, and the call takes longer by two ways.
const REMOTE_COST: f64 = 0.6;
/// Targets count as equal if their times differ by no more than this fraction: samples vary by more.
const EQUAL_FRACTION: f64 = 0.15;
/// A target is slow if its work time is this multiple of its service's, and no longer below
/// [`NORMAL_FACTOR`].
const SLOW_FACTOR: f64 = 1.5;
/// See [`SLOW_FACTOR`].
const NORMAL_FACTOR: f64 = 1.2;
/// Samples from which on a target can count as slow.
const MIN_SLOW_SAMPLES: usize = 4;

/// The load that a target has reported, and when.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Moment,
    load: ReportedLoad,
    /// Calls that this instance has sent to the target since.
    sent_since: u32,
}

impl Report {
    /// Share of the report that still counts.
    fn weight(&self, now: Moment) -> f64 {
        fade(now.saturating_sub(self.at), REPORT_FADE)
    }
}

/// What is known of one target's speed.
#[derive(Clone, Debug)]
struct TargetSpeed {
    service: ServiceId,
    /// When answers came, and the work time that each shows, in seconds.
    samples: VecDeque<(Moment, f64)>,
    report: Option<Report>,
    is_slow: bool,
}

/// A target whose usual work time has come to differ from its service's, or no longer does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpeedChange {
    /// Whether the target is slow now.
    pub is_slow: bool,
    /// Its work time.
    pub work_time: Duration,
    /// The work time of its service.
    pub service_work_time: Duration,
}

/// A target that would usually take a call, but would answer it late at this moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PassedOver {
    /// The target.
    pub target: TargetId,
    /// Its expected time to answer.
    pub expected: Duration,
}

/// A target selected by expected time to answer.
#[derive(Clone, Debug)]
pub struct SpeedChoice {
    /// The target.
    pub target: Arc<Target>,
    /// Its expected time to answer.
    pub expected: Duration,
    /// The target that would usually take the call, if another one does.
    pub passed_over: Option<PassedOver>,
}

/// Learns the speeds of targets and selects by them.
#[derive(Debug)]
pub struct TargetSpeeds {
    prefers_local: bool,
    by_target: HashMap<TargetId, TargetSpeed>,
    /// Work time in seconds of each service with a target that reports how long work takes.
    by_service: HashMap<ServiceId, f64>,
}

impl TargetSpeeds {
    /// Creates it without samples; with `prefers_local`, targets in the same data centre are preferred.
    #[must_use]
    pub fn new(prefers_local: bool) -> Self {
        Self {
            prefers_local,
            by_target: HashMap::new(),
            by_service: HashMap::new(),
        }
    }

    /// Whether a target of the service has reported how long work takes at the moment. Other services
    /// are not selected by speed.
    #[must_use]
    pub fn covers(&self, service: &ServiceId) -> bool {
        self.by_service.contains_key(service)
    }

    /// Records the load that a target has reported.
    pub fn record_load(&mut self, now: Moment, target: &Target, load: ReportedLoad) {
        if load.work_time_percent.is_some() && !self.covers(&target.service) {
            let service = Arc::clone(&target.service);
            self.by_service
                .insert(service, INITIAL_WORK_TIME.as_secs_f64());
        }
        if self.covers(&target.service) {
            self.entry(target).report = Some(Report {
                at: now,
                load,
                sent_since: 0,
            });
        }
    }

    /// Records that a call is sent to a target.
    pub fn call_started(&mut self, target: &TargetId) {
        let speed = self.by_target.get_mut(target);
        if let Some(report) = speed.and_then(|speed| speed.report.as_mut()) {
            report.sent_since += 1;
        }
    }

    /// Records how long a target took to answer a call, and the load in the answer. Returns a change that
    /// the operator should know of.
    pub fn record_answer(
        &mut self,
        now: Moment,
        target: &Target,
        took: Duration,
        load: ReportedLoad,
    ) -> Option<SpeedChange> {
        self.record_load(now, target, load);
        let service_time = self.by_service.get_mut(&target.service)?;
        let line = f64::from(load.waiting) / f64::from(target.slots.max(1));
        let sample = took.as_secs_f64() / (reported_factor(&load) * (1.0 + line));
        let sample = sample.min(*service_time * MAX_SAMPLE_FACTOR);
        *service_time += (sample - *service_time) * SERVICE_SAMPLE_WEIGHT;
        let service_time = *service_time;
        let speed = self.entry(target);
        speed.samples.push_back((now, sample));
        if speed.samples.len() > MAX_SAMPLES {
            speed.samples.pop_front();
        }
        let work_time = speed.work_time(now, service_time);
        let bound = if speed.is_slow {
            NORMAL_FACTOR
        } else {
            SLOW_FACTOR
        };
        let is_slow = work_time > service_time * bound && speed.samples.len() >= MIN_SLOW_SAMPLES;
        if is_slow == speed.is_slow {
            return None;
        }
        speed.is_slow = is_slow;
        Some(SpeedChange {
            is_slow,
            work_time: Duration::from_secs_f64(work_time),
            service_work_time: Duration::from_secs_f64(service_time),
        })
    }

    /// Expected time until a target answers a call that is sent now, where `in_flight` calls of this
    /// instance are under way there.
    #[must_use]
    pub fn expected(&self, now: Moment, target: &Target, in_flight: u32) -> Duration {
        let work_time = self.work_time(now, target);
        let factor = self.work_factor(now, &target.id);
        let slots = f64::from(target.slots.max(1));
        let ahead = (self.line(now, &target.id, in_flight) + 1.0 - slots).max(0.0);
        Duration::from_secs_f64(work_time * factor * (1.0 + ahead / slots))
    }

    /// Calls that are running or waiting at a target: those that it has reported, fading, and this
    /// instance's own.
    #[must_use]
    pub fn line(&self, now: Moment, target: &TargetId, in_flight: u32) -> f64 {
        let report = self.by_target.get(target).and_then(|speed| speed.report);
        let reported = report.map_or(0.0, |report| {
            let load = report.load.running.saturating_add(report.load.waiting);
            f64::from(load) * report.weight(now) + f64::from(report.sent_since.min(in_flight))
        });
        reported.max(f64::from(in_flight))
    }

    /// Selects the target with the least expected time to answer; of those that are about equal, the one
    /// with the shorter line of two that are drawn by `random`, in `0.0..1.0`. Many instances act on the
    /// same reports, and would otherwise all send to the same target.
    #[must_use]
    pub fn select(
        &self,
        now: Moment,
        targets: &[&Arc<Target>],
        in_flight: impl Fn(&TargetId) -> u32,
        local: &DataCentreId,
        random: f64,
    ) -> Option<SpeedChoice> {
        let cost = |target: &Target| {
            let expected = self.expected(now, target, in_flight(&target.id));
            expected + self.remote_cost(target, local)
        };
        let costs: Vec<Duration> = targets.iter().map(|target| cost(target)).collect();
        let bound = costs.iter().min()?.mul_f64(1.0 + EQUAL_FRACTION);
        let equal: Vec<&Arc<Target>> = (targets.iter().zip(&costs))
            .filter(|(_, cost)| **cost <= bound)
            .map(|(target, _)| *target)
            .collect();
        let (first, second) = draw_two(equal.len(), random);
        let line = |target: &Target| self.line(now, &target.id, in_flight(&target.id));
        let chosen = if line(equal[second]) < line(equal[first]) {
            equal[second]
        } else {
            equal[first]
        };
        let usual = self.usual(now, targets, local)?;
        let passed_over = (cost(usual) > bound).then(|| PassedOver {
            target: Arc::clone(&usual.id),
            expected: self.expected(now, usual, in_flight(&usual.id)),
        });
        Some(SpeedChoice {
            target: Arc::clone(chosen),
            expected: self.expected(now, chosen, in_flight(&chosen.id)),
            passed_over,
        })
    }

    /// Drops what is known of targets that are not listed, and of services without targets.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.by_target.retain(|id, _| listed(id));
        let by_target = &self.by_target;
        self.by_service
            .retain(|service, _| by_target.values().any(|speed| speed.service == *service));
    }

    /// The number of targets that are slower than their services.
    #[must_use]
    pub fn slow_count(&self) -> usize {
        self.by_target
            .values()
            .filter(|speed| speed.is_slow)
            .count()
    }

    /// The target that would be selected if all were idle and as quick as usual.
    fn usual<'a>(
        &self,
        now: Moment,
        targets: &[&'a Arc<Target>],
        local: &DataCentreId,
    ) -> Option<&'a Arc<Target>> {
        let cost = |target: &Target| {
            let remote = self.remote_cost(target, local).as_secs_f64();
            self.work_time(now, target) + remote
        };
        let least = |a: &&&Arc<Target>, b: &&&Arc<Target>| cost(a).total_cmp(&cost(b));
        targets.iter().min_by(least).copied()
    }

    /// Usual work time of a target, in seconds.
    fn work_time(&self, now: Moment, target: &Target) -> f64 {
        let initial = INITIAL_WORK_TIME.as_secs_f64();
        let service = self.by_service.get(&target.service);
        let service_time = service.copied().unwrap_or(initial);
        self.by_target
            .get(&target.id)
            .map_or(service_time, |speed| speed.work_time(now, service_time))
    }

    /// How long work takes at a target at the moment, as a multiple of its usual work time.
    fn work_factor(&self, now: Moment, target: &TargetId) -> f64 {
        let report = self.by_target.get(target).and_then(|speed| speed.report);
        report.map_or(1.0, |report| {
            1.0 + (reported_factor(&report.load) - 1.0) * report.weight(now)
        })
    }

    fn remote_cost(&self, target: &Target, local: &DataCentreId) -> Duration {
        let service_time = self.by_service.get(&target.service);
        match service_time {
            Some(time) if self.prefers_local && target.data_centre != *local => {
                Duration::from_secs_f64(time * REMOTE_COST)
            }
            _ => Duration::ZERO,
        }
    }

    fn entry(&mut self, target: &Target) -> &mut TargetSpeed {
        let id = Arc::clone(&target.id);
        self.by_target.entry(id).or_insert_with(|| TargetSpeed {
            service: Arc::clone(&target.service),
            samples: VecDeque::new(),
            report: None,
            is_slow: false,
        })
    }
}

impl TargetSpeed {
    /// Mean of the samples and of the service's work time, in seconds; samples count less as they age.
    fn work_time(&self, now: Moment, service_time: f64) -> f64 {
        let mut sum = service_time * PRIOR_WEIGHT;
        let mut weights = PRIOR_WEIGHT;
        for (at, sample) in &self.samples {
            let weight = fade(now.saturating_sub(*at), SAMPLE_FADE);
            sum += sample * weight;
            weights += weight;
        }
        sum / weights
    }
}

/// Weight of evidence of this age: 1 at first, then falling exponentially.
fn fade(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// The reported time of work as a multiple of the usual one.
fn reported_factor(load: &ReportedLoad) -> f64 {
    let (least, most) = REPORTED_FACTORS;
    load.work_time_percent.map_or(1.0, |percent| {
        (f64::from(percent) / 100.0).clamp(least, most)
    })
}

/// Draws two different indices below `count`, which is not zero; the same one twice if there is one only.
fn draw_two(count: usize, random: f64) -> (usize, usize) {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a pair of indices of a short list"
    )]
    let pair = (random * (count * count.saturating_sub(1)) as f64) as usize;
    let first = pair % count;
    let second = (first + 1 + pair / count) % count;
    (first, second)
}
