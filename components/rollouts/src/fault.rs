//! Finds out whether a version answers worse than the others do on the same route at the same time.

use std::collections::BTreeMap;

use derive_more::Display;
use types::{RouteId, TargetId};

use crate::evidence::{Evidence, Histogram, Tally};

/// What is compared.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Measure {
    /// Answers that are failures.
    #[display("failures")]
    Failures,
    /// Answers that arrive several times later than usual.
    #[display("slow answers")]
    Latency,
    /// Generations whose events come several times more slowly than usual.
    #[display("slow streams")]
    Gaps,
}

/// A number of answers, and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Bad answers; a fraction if part of them was attributed to single targets.
    pub bad: f64,
    /// All answers.
    pub total: f64,
}

/// In what a version is worse than the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The route; none if the answers of all routes were taken together.
    pub route: Option<RouteId>,
    /// What was compared.
    pub measure: Measure,
    /// Answers of the new version.
    pub new: Sample,
    /// Answers of the other versions.
    pub old: Sample,
}

/// Buckets above the median from which on an answer counts as slow; about twice the median.
const SLOW_ANSWER_BUCKETS: u8 = 4;
/// The same for the time between events, which varies less.
const SLOW_GAP_BUCKETS: u8 = 3;
/// Answers of the other versions that a median needs.
const MIN_REFERENCE: u32 = 8;
/// Targets that must take part in a fault, if the version has as many: that of fewer is no fault of the
/// version.
const MIN_FAULTY_TARGETS: f64 = 3.0;
/// The same as a part of the targets that would have bad answers if these were spread evenly.
const FAULTY_PART: f64 = 0.5;
/// Lowest share of bad answers that is assumed of the other versions.
const MIN_BAD_SHARE: f64 = 0.01;
/// Standard deviations by which the share of bad answers of the other versions is taken higher than
/// it was observed.
const REFERENCE_DEVIATIONS: f64 = 1.0;
/// Shares of bad answers, above that of the other versions, that the test is made to find.
const EXCESS_SHARES: [f64; 3] = [0.05, 0.2, 0.5];

/// Finds a fault of the new version, if the answers are at least this many times as likely under one as
/// without one.
#[must_use]
pub fn find_fault(evidence: &Evidence, min_ratio: f64) -> Option<Fault> {
    let mut all_failures = (Sample::default(), Sample::default());
    for (route, targets, old) in evidence.routes() {
        let old = old.cloned().unwrap_or_default();
        let by_measure = [
            (Measure::Failures, failures(targets, &old)),
            (Measure::Latency, latencies(targets, &old)),
            (Measure::Gaps, gaps(targets, &old)),
        ];
        for (measure, (new, reference)) in by_measure {
            if is_worse(new, reference, min_ratio) {
                return Some(Fault {
                    route: Some(route.clone()),
                    measure,
                    new,
                    old: reference,
                });
            }
        }
        let (new, reference) = failures(targets, &old);
        add(&mut all_failures.0, new);
        add(&mut all_failures.1, reference);
    }
    let (new, old) = all_failures;
    is_worse(new, old, min_ratio).then_some(Fault {
        route: None,
        measure: Measure::Failures,
        new,
        old,
    })
}

/// Whether the new version's share of bad answers is higher than that of the others.
///
/// A mixture of likelihood ratios: tested after each answer, it rejects a version that is no worse
/// with a probability of at most one in `min_ratio`, however many answers come.
#[must_use]
pub fn is_worse(new: Sample, old: Sample, min_ratio: f64) -> bool {
    let usual = reference_share(old);
    let good = new.total - new.bad;
    let ratio = |excess: &f64| {
        let faulty = (usual + excess).min(0.99);
        let log = new.bad * (faulty / usual).ln() + good * ((1.0 - faulty) / (1.0 - usual)).ln();
        log.exp()
    };
    let sum: f64 = EXCESS_SHARES.iter().map(ratio).sum();
    let count = u32::try_from(EXCESS_SHARES.len()).unwrap_or(u32::MAX);
    sum / f64::from(count) >= min_ratio
}

/// Share of bad answers of the other versions, with a margin for few answers.
fn reference_share(old: Sample) -> f64 {
    let share = (old.bad + 0.5) / (old.total + 1.0);
    let deviation = (share * (1.0 - share) / (old.total + 1.0)).sqrt();
    (share + REFERENCE_DEVIATIONS * deviation).clamp(MIN_BAD_SHARE, 0.95)
}

fn failures(targets: &BTreeMap<TargetId, Tally>, old: &Tally) -> (Sample, Sample) {
    let counts = targets.values().map(|t| (t.failures, t.answers));
    let reference = Sample {
        bad: f64::from(old.failures),
        total: f64::from(old.answers),
    };
    // Without answers of the others, nothing is known of what is usual on the route but that most
    // answers are no failures.
    (sample(counts), reference)
}

fn latencies(targets: &BTreeMap<TargetId, Tally>, old: &Tally) -> (Sample, Sample) {
    slow(targets, &old.latencies, SLOW_ANSWER_BUCKETS, |t| {
        &t.latencies
    })
}

fn gaps(targets: &BTreeMap<TargetId, Tally>, old: &Tally) -> (Sample, Sample) {
    slow(targets, &old.gaps, SLOW_GAP_BUCKETS, |t| &t.gaps)
}

fn slow(
    targets: &BTreeMap<TargetId, Tally>,
    usual: &Histogram,
    buckets: u8,
    histogram: impl Fn(&Tally) -> &Histogram,
) -> (Sample, Sample) {
    let median = usual.median().filter(|_| usual.total() >= MIN_REFERENCE);
    let Some(median) = median else {
        return (Sample::default(), Sample::default());
    };
    let from = median + buckets;
    let counts = targets.values().map(|tally| {
        let times = histogram(tally);
        (times.count_from(from), times.total())
    });
    let reference = Sample {
        bad: f64::from(usual.count_from(from)),
        total: f64::from(usual.total()),
    };
    (sample(counts), reference)
}

/// Sums the bad and all answers of the targets. Bad answers of a few targets count only as far as
/// others have them as well: those targets may have failed for a reason of their own.
fn sample(counts: impl Iterator<Item = (u32, u32)>) -> Sample {
    let counts: Vec<(u32, u32)> = counts.filter(|(_, total)| *total > 0).collect();
    let total: f64 = counts.iter().map(|(_, total)| f64::from(*total)).sum();
    let mut bad: Vec<f64> = counts.iter().map(|(bad, _)| f64::from(*bad)).collect();
    bad.sort_by(|a, b| b.total_cmp(a));
    let sum: f64 = bad.iter().sum();
    let mut shared = sum;
    let needed = faulty_targets(sum, bad.len());
    let mut rest = sum;
    let mut others = needed;
    for largest in bad {
        if others <= 1.0 {
            break;
        }
        rest -= largest;
        others -= 1.0;
        shared = shared.min(rest * needed / others);
    }
    Sample { bad: shared, total }
}

/// Number of targets that must have bad answers for `bad` of them to count in full.
fn faulty_targets(bad: f64, targets: usize) -> f64 {
    let targets = f64::from(u32::try_from(targets).unwrap_or(u32::MAX));
    let spread_evenly = targets * (1.0 - (1.0 - 1.0 / targets.max(1.0)).powf(bad));
    (spread_evenly * FAULTY_PART)
        .max(MIN_FAULTY_TARGETS)
        .min(targets)
}

fn add(sum: &mut Sample, sample: Sample) {
    sum.bad += sample.bad;
    sum.total += sample.total;
}
