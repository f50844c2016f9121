//! The figures of one run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::Class;

use crate::{
    caller::{Outcome, Record},
    drive::{Engines, Left, Measured, Run},
};

/// A gap counts as a stall above so many times the median gap.
const STALL_FACTOR: u32 = 5;
/// Points of the curve of gaps, as the part of gaps above.
pub const CURVE: [f64; 13] = [
    0.5, 0.2, 0.1, 0.05, 0.02, 0.01, 0.005, 0.002, 0.001, 0.0005, 0.0002, 0.0001, 0.0,
];

/// Milliseconds at some percentiles.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Times {
    /// Half are shorter.
    pub p50: f64,
    /// 95 in 100 are shorter.
    pub p95: f64,
    /// 99 in 100 are shorter.
    pub p99: f64,
    /// 999 in 1,000 are shorter.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

/// How the requests of one class fared.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Fared {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Explicit parts.
    pub partial: u64,
    /// Refusals, by code.
    pub refused: BTreeMap<String, u64>,
    /// Connections broken.
    pub broken: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Time to the first token or the whole plain answer.
    pub first: Times,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Second {
    /// Requests sent in it.
    pub sent: u32,
    /// Those of them that were answered whole.
    pub whole: u32,
    /// Urgent ones sent in it.
    pub urgent: u32,
    /// Those of them that were answered whole.
    pub urgent_whole: u32,
}

/// The figures of one run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Summary {
    /// How requests were placed.
    pub strategy: String,
    /// Load.
    pub load: f64,
    /// Seed.
    pub seed: u64,
    /// Seconds that counted.
    pub seconds: f64,
    /// By class.
    pub classes: BTreeMap<Class, Fared>,
    /// Generations that ended whole.
    pub generations: u64,
    /// Generations that ended whole, a second.
    pub goodput: f64,
    /// Tokens of these, a second.
    pub token_goodput: f64,
    /// Preemptions per 1,000 generations.
    pub preemptions: f64,
    /// Time between tokens.
    pub gaps: Times,
    /// The same at the points of the curve.
    pub curve: Vec<f64>,
    /// Seconds that callers saw their streams stand still, per 1,000 generations.
    pub stall_s: f64,
    /// What the engines did.
    pub engines: Engines,
    /// Requests that did not end in time.
    pub unended: usize,
    /// What came of the outing.
    pub left: Option<Left>,
    /// Requests by second of sending, after the warm-up.
    pub seconds_by: Vec<Second>,
    /// Processor time of all instances, in seconds.
    pub cpu_s: f64,
    /// Largest resident memory of an instance, in bytes.
    pub memory: u64,
}

impl Summary {
    /// Sums up a run.
    #[must_use]
    pub fn new(run: &Run, warm_up: f64, measured: &Measured) -> Self {
        let records = &measured.records;
        let is_whole = |r: &&Record| r.tokens > 0 && r.outcome == Outcome::Whole;
        let whole: Vec<&Record> = records.iter().filter(is_whole).collect();
        let generations = whole.len() as u64;
        let tokens: u64 = whole.iter().map(|r| r.tokens).sum();
        let mut gaps: Vec<u32> = records.iter().flat_map(|r| &r.gaps_us).copied().collect();
        gaps.sort_unstable();
        let stall = gaps
            .get(gaps.len() / 2)
            .map_or(0, |median| median * STALL_FACTOR);
        let stalls = gaps.iter().filter(|gap| **gap > stall);
        let stalled: u64 = stalls.map(|gap| u64::from(*gap)).sum();
        let per_thousand = 1000.0 / generations.max(1) as f64;
        Self {
            strategy: strategy_name(run),
            load: run.load,
            seed: run.seed,
            seconds: run.seconds,
            classes: classes(records),
            generations,
            goodput: generations as f64 / run.seconds,
            token_goodput: tokens as f64 / run.seconds,
            preemptions: measured.engines.preemptions as f64 * per_thousand,
            gaps: times(&gaps),
            curve: CURVE
                .iter()
                .map(|above| ms_at(&gaps, 1.0 - above))
                .collect(),
            stall_s: stalled as f64 / 1e6 * per_thousand,
            engines: measured.engines,
            unended: measured.unended,
            left: measured.left,
            seconds_by: seconds(records, warm_up, run.seconds),
            cpu_s: measured.cpu_s,
            memory: measured.memory,
        }
    }
}

/// A strategy's name as the settings write it.
#[must_use]
pub fn strategy_name(run: &Run) -> String {
    let text = serde_json::to_string(&run.strategy).unwrap_or_default();
    text.trim_matches('"').to_owned()
}

fn classes(records: &[Record]) -> BTreeMap<Class, Fared> {
    let mut classes: BTreeMap<Class, Fared> = BTreeMap::new();
    for record in records {
        let fared = classes.entry(record.class).or_default();
        fared.sent += 1;
        match &record.outcome {
            Outcome::Whole => fared.whole += 1,
            Outcome::Partial => fared.partial += 1,
            Outcome::Refused { code, .. } => *fared.refused.entry(code.clone()).or_default() += 1,
            Outcome::Broken => fared.broken += 1,
            Outcome::Wrong { .. } => fared.wrong += 1,
        }
    }
    for (class, fared) in &mut classes {
        let same = records.iter().filter(|r| r.class == *class);
        let first = same.filter_map(|r| r.first_us);
        let mut first: Vec<u32> = first.map(|us| us.min(u64::from(u32::MAX)) as u32).collect();
        first.sort_unstable();
        fared.first = times(&first);
    }
    classes
}

fn seconds(records: &[Record], warm_up: f64, seconds: f64) -> Vec<Second> {
    let mut all = vec![Second::default(); seconds.ceil() as usize];
    for record in records {
        let at = record.sent_ms as f64 / 1000.0 - warm_up;
        let Some(second) = all.get_mut(at as usize) else {
            continue;
        };
        let whole = u32::from(record.outcome == Outcome::Whole);
        let urgent = u32::from(record.class == Class::Urgent);
        second.sent += 1;
        second.whole += whole;
        second.urgent += urgent;
        second.urgent_whole += urgent * whole;
    }
    all
}

/// Percentiles of sorted microseconds.
#[must_use]
pub fn times(sorted: &[u32]) -> Times {
    Times {
        p50: ms_at(sorted, 0.5),
        p95: ms_at(sorted, 0.95),
        p99: ms_at(sorted, 0.99),
        p999: ms_at(sorted, 0.999),
        max: ms_at(sorted, 1.0),
    }
}

fn ms_at(sorted: &[u32], part: f64) -> f64 {
    let place = (sorted.len() as f64 * part).ceil() as usize;
    let found = sorted.get(place.max(1) - 1);
    found.map_or(0.0, |us| f64::from(*us) / 1000.0)
}
