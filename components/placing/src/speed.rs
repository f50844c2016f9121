//! Measures the speed of each engine of a service.
//!
//! Engines of one service differ by a factor of two and more, and some share their machines with
//! other work. An engine's own measurement starts from that of its service and replaces it as samples
//! arrive.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use types::{Moment, ServiceId, TargetId, Tokens};

use crate::{
    throughput::{MIN_PREFILL_TOKENS, Throughput, ThroughputEstimator},
    tuning::{as_f64, round_tokens},
};

/// Weight of the service's speed in that of an engine without samples, in tokens.
const SERVICE_WEIGHT_TOKENS: f64 = 6_000.0;
/// Maximum weight of an engine's own samples, in tokens.
const WINDOW_TOKENS: f64 = 32_000.0;
/// Tokens of the samples that together show whether the speed has changed.
const LATEST_TOKENS: f64 = 7_000.0;
/// Factor between the speeds of the latest samples and of older ones at which the older ones are
/// dropped: the speed of the engine has changed.
const CHANGE_FACTOR: f64 = 1.4;
/// Time after which a sample has lost half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Maximum factor between the time for a prompt and the engine's current estimate. Prompts that are
/// processed together start together, so single samples vary widely.
const MAX_PREFILL_DEVIATION: f64 = 4.0;
/// Maximum factor between the time for generated tokens and the engine's current estimate.
const MAX_DECODE_DEVIATION: f64 = 2.5;
/// Engines whose measured speeds differ from the mean by a smaller factor count as equal: such a
/// difference is within the error of the measurement.
const EQUAL_WITHIN: f64 = 1.04;
/// Bounds of the weight by which the samples of busy and idle engines are balanced.
const BALANCE_BOUNDS: (f64, f64) = (0.25, 3.0);
/// Time after which half of a reported slowdown is assumed to be over.
const WORK_TIME_HALF_LIFE: Duration = Duration::from_millis(100);
/// Time after which a reported slowdown says nothing any more.
const WORK_TIME_MAX_AGE: Duration = Duration::from_millis(400);
/// Work that a reported slowdown affects.
const WORK_TIME_HORIZON: Duration = Duration::from_millis(150);
/// Bounds of a reported work time, in percent.
const WORK_TIME_BOUNDS: (u32, u32) = (50, 500);
/// An engine is reported as slow below this share of its service's speed.
const SLOW_SHARE: f64 = 0.67;
/// A slow engine is reported as usual again above this share.
const USUAL_SHARE: f64 = 0.8;
/// Minimum time between two reports on one engine.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A change of an engine's speed that is worth reporting.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// Id of the engine.
    pub target: TargetId,
    /// The engine's service.
    pub service: ServiceId,
    /// Whether the engine has become slow; otherwise its speed is usual again.
    pub is_slow: bool,
    /// The engine's speeds relative to its service's.
    pub speed: RelativeSpeed,
}

/// Speeds of an engine in percent of its service's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelativeSpeed {
    /// Speed of processing prompts.
    pub prefill_percent: u32,
    /// Speed of generating tokens.
    pub decode_percent: u32,
}

impl RelativeSpeed {
    /// Whether the engine is much slower than its service.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.least() < SLOW_SHARE
    }

    /// Whether the engine is much faster than its service.
    #[must_use]
    pub fn is_fast(&self) -> bool {
        self.least() > SLOW_SHARE.recip()
    }

    /// The lower of both speeds, as a share of the service's.
    fn least(&self) -> f64 {
        f64::from(self.prefill_percent.min(self.decode_percent)) / 100.0
    }

    fn new(own: Throughput, mean: Throughput) -> Self {
        let percent = |own: f64, mean: f64| {
            let percent = round_tokens(own / mean * 100.0);
            u32::try_from(percent).unwrap_or(u32::MAX)
        };
        Self {
            prefill_percent: percent(own.prompt_tokens_per_ms(), mean.prompt_tokens_per_ms()),
            decode_percent: percent(
                own.generated_tokens_per_ms(),
                mean.generated_tokens_per_ms(),
            ),
        }
    }
}

/// Where and when a sample was taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SampleOrigin<'a> {
    /// Time at which the sample ended.
    pub now: Moment,
    /// Service of the engine.
    pub service: &'a ServiceId,
    /// Engine that did the work.
    pub target: &'a TargetId,
}

/// Speeds of the engines of all services.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    services: HashMap<ServiceId, ServiceSpeeds>,
}

impl Speeds {
    /// Mean speed of a service's engines; `None` before the first sample.
    pub fn of_service(&self, service: &ServiceId) -> Option<Throughput> {
        let speeds = self.services.get(service)?;
        Some(speeds.estimator.throughput())
    }

    /// Speed of one engine; that of its service while the engine has no samples.
    pub fn of_engine(
        &self,
        now: Moment,
        service: &ServiceId,
        target: &TargetId,
    ) -> Option<Throughput> {
        let speeds = self.services.get(service)?;
        let mean = speeds.estimator.throughput();
        let engine = speeds.engines.get(target);
        Some(engine.map_or(mean, |engine| engine.throughput(now, mean)))
    }

    /// Additional time that an engine needs for some work that starts now, according to its last
    /// report.
    pub fn slowdown_delay(
        &self,
        now: Moment,
        service: &ServiceId,
        target: &TargetId,
        work: Duration,
    ) -> Duration {
        let engine = self
            .services
            .get(service)
            .and_then(|speeds| speeds.engines.get(target));
        let slowdown = engine.map_or(1.0, |engine| engine.slowdown(now));
        work.min(WORK_TIME_HORIZON)
            .mul_f64((slowdown - 1.0).max(0.0))
    }

    /// Records the time that an engine took for a prompt, for its service alone unless `per_engine`.
    pub fn record_prefill(
        &mut self,
        origin: SampleOrigin<'_>,
        prior: Throughput,
        per_engine: bool,
        prompt_tokens: Tokens,
        time: Duration,
    ) {
        if prompt_tokens < MIN_PREFILL_TOKENS {
            return;
        }
        let speeds = self.service(origin.service, prior);
        let weight = if per_engine {
            speeds.record_engine_prefill(origin, prompt_tokens, time)
        } else {
            1.0
        };
        speeds.estimator.record_prefill(prompt_tokens, time, weight);
    }

    /// Records the time that an engine took for some tokens of a generation, for its service alone
    /// unless `per_engine`.
    pub fn record_decode(
        &mut self,
        origin: SampleOrigin<'_>,
        prior: Throughput,
        per_engine: bool,
        tokens: Tokens,
        time: Duration,
    ) {
        if tokens == 0 {
            return;
        }
        let speeds = self.service(origin.service, prior);
        let weight = if per_engine {
            speeds.record_engine_decode(origin, tokens, time)
        } else {
            1.0
        };
        speeds.estimator.record_decode(tokens, time, weight);
    }

    /// Records how long work takes on an engine at this moment, in percent of the usual time.
    pub fn record_work_time(&mut self, origin: SampleOrigin<'_>, prior: Throughput, percent: u32) {
        let speeds = self.service(origin.service, prior);
        let (min, max) = WORK_TIME_BOUNDS;
        let factor = f64::from(percent.clamp(min, max)) / 100.0;
        speeds.engine(origin.target).work_time = Some((origin.now, factor));
    }

    /// Drops an engine that is gone or has restarted.
    pub fn remove(&mut self, target: &TargetId) {
        for speeds in self.services.values_mut() {
            speeds.engines.remove(target);
        }
    }

    /// Drops the engines for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&TargetId) -> bool) {
        for speeds in self.services.values_mut() {
            speeds.engines.retain(|target, _| is_kept(target));
        }
    }

    /// Speeds of an engine relative to its service's; `None` without samples.
    pub fn relative(&self, now: Moment, target: &TargetId) -> Option<RelativeSpeed> {
        let with_engine = |speeds: &ServiceSpeeds| {
            let mean = speeds.estimator.throughput();
            let engine = speeds.engines.get(target)?;
            Some(RelativeSpeed::new(engine.throughput(now, mean), mean))
        };
        self.services.values().find_map(with_engine)
    }

    /// Engines that have become slow or usual since the last call, at most one report in some
    /// seconds on each.
    pub fn take_changes(&mut self, now: Moment) -> Vec<SpeedChange> {
        let mut changes = Vec::new();
        for (service, speeds) in &mut self.services {
            let mean = speeds.estimator.throughput();
            for (target, engine) in &mut speeds.engines {
                let speed = RelativeSpeed::new(engine.throughput(now, mean), mean);
                if engine.update_is_slow(now, speed) {
                    changes.push(SpeedChange {
                        target: Arc::clone(target),
                        service: Arc::clone(service),
                        is_slow: engine.is_slow,
                        speed,
                    });
                }
            }
        }
        changes
    }

    fn service(&mut self, service: &ServiceId, prior: Throughput) -> &mut ServiceSpeeds {
        self.services
            .entry(Arc::clone(service))
            .or_insert_with(|| ServiceSpeeds {
                estimator: ThroughputEstimator::new(prior),
                engines: BTreeMap::new(),
                prefill_volume: Volume::default(),
                decode_volume: Volume::default(),
            })
    }
}

/// Speeds of the engines of one service.
#[derive(Debug)]
struct ServiceSpeeds {
    estimator: ThroughputEstimator,
    engines: BTreeMap<TargetId, EngineSpeed>,
    prefill_volume: Volume,
    decode_volume: Volume,
}

impl ServiceSpeeds {
    fn engine(&mut self, target: &TargetId) -> &mut EngineSpeed {
        self.engines.entry(Arc::clone(target)).or_default()
    }

    /// Returns the weight of the sample in the service's estimate.
    fn record_engine_prefill(
        &mut self,
        origin: SampleOrigin<'_>,
        prompt_tokens: Tokens,
        time: Duration,
    ) -> f64 {
        let now = origin.now;
        let mean = self.estimator.throughput();
        let engine = self.engine(origin.target);
        let certainty = engine.certainty(now);
        let expected = engine.measured(now, mean).prefill_time(prompt_tokens);
        let time = time.clamp(
            expected.div_f64(MAX_PREFILL_DEVIATION),
            expected.mul_f64(MAX_PREFILL_DEVIATION),
        );
        let tokens = as_f64(prompt_tokens) * certainty;
        engine.prefill.add(now, tokens, time.mul_f64(certainty));
        let own = engine.prefill.volume.at(now);
        let total = self.prefill_volume.add(now, tokens);
        certainty * balance(own, total, self.engines.len())
    }

    /// Returns the weight of the sample in the service's estimate.
    fn record_engine_decode(
        &mut self,
        origin: SampleOrigin<'_>,
        tokens: Tokens,
        time: Duration,
    ) -> f64 {
        let now = origin.now;
        let mean = self.estimator.throughput();
        let engine = self.engine(origin.target);
        let certainty = engine.certainty(now);
        let expected = engine.measured(now, mean).decode_time(tokens);
        // Many tokens in a short time were generated before: the entry has caught up with its stream.
        let excess = expected.as_secs_f64()
            / (time.as_secs_f64() * MAX_DECODE_DEVIATION).max(f64::MIN_POSITIVE);
        let tokens = as_f64(tokens) / excess.max(1.0) * certainty;
        let time = time.min(expected.mul_f64(MAX_DECODE_DEVIATION));
        engine.decode.add(now, tokens, time.mul_f64(certainty));
        let own = engine.decode.volume.at(now);
        let total = self.decode_volume.add(now, tokens);
        certainty * balance(own, total, self.engines.len())
    }
}

/// Weight of a sample by which all engines count the same in the mean, however busy they are.
fn balance(own: f64, total: f64, engines: usize) -> f64 {
    let engines = f64::from(u32::try_from(engines).unwrap_or(u32::MAX).max(1));
    let (min, max) = BALANCE_BOUNDS;
    (total / engines / own.max(1.0)).clamp(min, max)
}

/// Speed of one engine.
#[derive(Clone, Copy, Debug, Default)]
struct EngineSpeed {
    prefill: Evidence,
    decode: Evidence,
    /// Time of the last report, and the reported factor of the time that work takes.
    work_time: Option<(Moment, f64)>,
    /// Whether the engine was reported as slow.
    is_slow: bool,
    /// Time of the last report on the engine's speed.
    reported_at: Option<Moment>,
}

impl EngineSpeed {
    /// The engine's speed; that of the service if they differ by less than can be measured.
    fn throughput(&self, now: Moment, mean: Throughput) -> Throughput {
        let own = self.measured(now, mean);
        let is_equal =
            |own: f64, mean: f64| (EQUAL_WITHIN.recip()..=EQUAL_WITHIN).contains(&(own / mean));
        let (prefill, decode) = (own.prompt_tokens_per_ms(), own.generated_tokens_per_ms());
        let (mean_prefill, mean_decode) =
            (mean.prompt_tokens_per_ms(), mean.generated_tokens_per_ms());
        Throughput::new(
            if is_equal(prefill, mean_prefill) {
                mean_prefill
            } else {
                prefill
            },
            if is_equal(decode, mean_decode) {
                mean.token_time()
            } else {
                own.token_time()
            },
        )
    }

    fn measured(&self, now: Moment, mean: Throughput) -> Throughput {
        let prefill = self.prefill.per_ms(now, mean.prompt_tokens_per_ms());
        let decode = self.decode.per_ms(now, mean.generated_tokens_per_ms());
        Throughput::new(prefill, Duration::from_secs_f64(1.0 / decode / 1_000.0))
    }

    /// Factor of the time that work takes at this moment.
    fn slowdown(&self, now: Moment) -> f64 {
        let Some((at, factor)) = self.work_time else {
            return 1.0;
        };
        let age = now.saturating_sub(at);
        if age > WORK_TIME_MAX_AGE {
            return 1.0;
        }
        1.0 + (factor - 1.0) * remaining_share(age, WORK_TIME_HALF_LIFE)
    }

    /// How much a sample tells of the engine's usual speed, from 0 to 1.
    fn certainty(&self, now: Moment) -> f64 {
        let slowdown = self.slowdown(now);
        slowdown.min(slowdown.recip()).powi(2)
    }

    /// Updates whether the engine counts as slow; returns whether that is to be reported.
    fn update_is_slow(&mut self, now: Moment, speed: RelativeSpeed) -> bool {
        let least = f64::from(speed.prefill_percent.min(speed.decode_percent)) / 100.0;
        let is_slow = least
            < if self.is_slow {
                USUAL_SHARE
            } else {
                SLOW_SHARE
            };
        let is_due = self
            .reported_at
            .is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        if is_slow == self.is_slow || !is_due {
            return false;
        }
        self.is_slow = is_slow;
        self.reported_at = Some(now);
        true
    }
}

/// Samples of one engine. Older ones lose weight with time and with newer samples.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    older: Totals,
    /// The latest samples, until they are enough to show a change of speed.
    latest: Totals,
    /// Time of the last sample.
    at: Moment,
    volume: Volume,
}

impl Evidence {
    fn add(&mut self, now: Moment, tokens: f64, time: Duration) {
        let left = remaining_share(now.saturating_sub(self.at), HALF_LIFE);
        self.at = now;
        self.volume.add(now, tokens);
        let sample = Totals {
            tokens,
            time_ms: time.as_secs_f64() * 1_000.0,
        };
        self.older = self.older.scaled(left);
        self.latest = self.latest.scaled(left).plus(sample);
        if self.latest.tokens < LATEST_TOKENS {
            return;
        }
        self.older = if self.has_changed() {
            self.latest
        } else {
            self.older.plus(self.latest).bounded(WINDOW_TOKENS)
        };
        self.latest = Totals::default();
    }

    /// Whether the latest samples differ much from the older ones.
    fn has_changed(&self) -> bool {
        let change = self.latest.per_ms() / self.older.per_ms();
        self.older.tokens >= LATEST_TOKENS
            && !(CHANGE_FACTOR.recip()..=CHANGE_FACTOR).contains(&change)
    }

    /// Tokens per millisecond. The speed of the service counts as a sample until there are enough
    /// others.
    fn per_ms(&self, now: Moment, service_per_ms: f64) -> f64 {
        let left = remaining_share(now.saturating_sub(self.at), HALF_LIFE);
        let own = self.older.plus(self.latest).scaled(left);
        let service_tokens = SERVICE_WEIGHT_TOKENS * (1.0 - own.tokens / WINDOW_TOKENS).max(0.0);
        let service = Totals {
            tokens: service_tokens,
            time_ms: service_tokens / service_per_ms,
        };
        own.plus(service).per_ms()
    }
}

/// Tokens and the time that an engine took for them.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    tokens: f64,
    /// Time in milliseconds.
    time_ms: f64,
}

impl Totals {
    fn per_ms(self) -> f64 {
        self.tokens / self.time_ms.max(f64::MIN_POSITIVE)
    }

    fn plus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens + other.tokens,
            time_ms: self.time_ms + other.time_ms,
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            tokens: self.tokens * factor,
            time_ms: self.time_ms * factor,
        }
    }

    /// The same speed with at most `max_tokens`.
    fn bounded(self, max_tokens: f64) -> Self {
        self.scaled((max_tokens / self.tokens).min(1.0))
    }
}

/// Sum of the tokens of recent samples.
#[derive(Clone, Copy, Debug, Default)]
struct Volume {
    tokens: f64,
    /// Time of the last sample.
    at: Moment,
}

impl Volume {
    /// Adds tokens; returns the sum.
    fn add(&mut self, now: Moment, tokens: f64) -> f64 {
        self.tokens = self.at(now) + tokens;
        self.at = now;
        self.tokens
    }

    fn at(&self, now: Moment) -> f64 {
        self.tokens * remaining_share(now.saturating_sub(self.at), HALF_LIFE)
    }
}

/// Share of a weight that is left after some time.
fn remaining_share(age: Duration, half_life: Duration) -> f64 {
    libm::exp2(-age.as_secs_f64() / half_life.as_secs_f64())
}
