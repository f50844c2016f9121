//! Counts of the answers that two versions of a service's targets gave during a rollout.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use types::{RouteId, TargetId};

/// Lower bound of the second bucket of a histogram, in milliseconds.
const FIRST_BUCKET_MS: f64 = 0.5;
/// Ratio between the bounds of neighbouring buckets.
const BUCKET_RATIO: f64 = 1.25;
/// Number of the last bucket.
const MAX_BUCKET: u8 = 60;

/// Numbers of durations in buckets whose bounds grow by a constant ratio.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Histogram {
    counts: BTreeMap<u8, u32>,
}

impl Histogram {
    /// Counts a duration.
    pub fn record(&mut self, time: Duration) {
        add(self.counts.entry(bucket(time)).or_default(), 1);
    }

    /// Number of durations.
    #[must_use]
    pub fn total(&self) -> u32 {
        sum(self.counts.values().copied())
    }

    /// Bucket of the median; none without any duration.
    #[must_use]
    pub fn median(&self) -> Option<u8> {
        let half = self.total().div_ceil(2);
        let mut below = 0;
        for (bucket, count) in &self.counts {
            add(&mut below, *count);
            if below >= half && half > 0 {
                return Some(*bucket);
            }
        }
        None
    }

    /// Number of durations in a bucket and those above it.
    #[must_use]
    pub fn count_from(&self, bucket: u8) -> u32 {
        sum(self.counts.range(bucket..).map(|(_, count)| *count))
    }

    fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.counts {
            add(self.counts.entry(*bucket).or_default(), *count);
        }
    }

    fn subtract(&mut self, earlier: &Self) {
        for (bucket, count) in &mut self.counts {
            let before = earlier.counts.get(bucket).copied().unwrap_or_default();
            *count = count.saturating_sub(before);
        }
    }
}

/// Adds to a count. Counts of other instances may be of any size.
const fn add(count: &mut u32, more: u32) {
    *count = count.saturating_add(more);
}

fn sum(counts: impl Iterator<Item = u32>) -> u32 {
    counts.fold(0, u32::saturating_add)
}

fn bucket(time: Duration) -> u8 {
    let ratio = time.as_secs_f64() * 1_000.0 / FIRST_BUCKET_MS;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range of the type"
    )]
    let number = (ratio.max(1.0).ln() / BUCKET_RATIO.ln())
        .floor()
        .min(f64::from(MAX_BUCKET)) as u8;
    number
}

/// An answer of a target, or the end of the time in which one was expected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Answer {
    /// Whether the target answered with a failure.
    pub failed: bool,
    /// Time to the answer, or to the first event of a generation; none if it does not count, as that
    /// of a target that is still warming up.
    pub latency: Option<Duration>,
}

/// Counts of the answers to one route's requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Number of answers.
    pub answers: u32,
    /// Number of failures among them.
    pub failures: u32,
    /// Latencies of the other answers.
    pub latencies: Histogram,
    /// Mean times between two events of generations.
    pub gaps: Histogram,
}

impl Tally {
    fn record(&mut self, answer: Answer) {
        add(&mut self.answers, 1);
        if answer.failed {
            add(&mut self.failures, 1);
        } else if let Some(latency) = answer.latency {
            self.latencies.record(latency);
        }
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: &Self) {
        add(&mut self.answers, other.answers);
        add(&mut self.failures, other.failures);
        self.latencies.merge(&other.latencies);
        self.gaps.merge(&other.gaps);
    }

    fn subtract(&mut self, earlier: &Self) {
        self.answers = self.answers.saturating_sub(earlier.answers);
        self.failures = self.failures.saturating_sub(earlier.failures);
        self.latencies.subtract(&earlier.latencies);
        self.gaps.subtract(&earlier.gaps);
    }
}

/// Counts of one instance, or of all, since the order. They only grow, so that a lost or repeated
/// report does no harm.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Requests sent to the service's targets.
    pub arrivals: u64,
    /// Requests among them that were sent to the new version.
    pub exposed: u64,
    /// Answers of the other versions by route.
    old: BTreeMap<RouteId, Tally>,
    /// Answers of the new version by route and target: a failure that has its cause in a few targets
    /// is none of the version.
    new: BTreeMap<RouteId, BTreeMap<TargetId, Tally>>,
}

impl Evidence {
    /// Sets the numbers of requests sent.
    #[must_use]
    pub const fn with_requests(mut self, arrivals: u64, exposed: u64) -> Self {
        self.arrivals = arrivals;
        self.exposed = exposed;
        self
    }

    /// Counts an answer of a target of the new version.
    pub fn record_new(&mut self, route: &RouteId, target: &TargetId, answer: Answer) {
        self.new_tally(route, target).record(answer);
    }

    /// Counts an answer of a target of another version.
    pub fn record_old(&mut self, route: &RouteId, answer: Answer) {
        self.old.entry(route.clone()).or_default().record(answer);
    }

    /// Counts the mean time between the events of a generation of the new version.
    pub fn record_new_gap(&mut self, route: &RouteId, target: &TargetId, gap: Duration) {
        self.new_tally(route, target).gaps.record(gap);
    }

    /// Counts the mean time between the events of a generation of another version.
    pub fn record_old_gap(&mut self, route: &RouteId, gap: Duration) {
        self.old.entry(route.clone()).or_default().gaps.record(gap);
    }

    /// Adds the counts of other evidence.
    pub fn merge(&mut self, other: &Self) {
        self.arrivals = self.arrivals.saturating_add(other.arrivals);
        self.exposed = self.exposed.saturating_add(other.exposed);
        for (route, tally) in &other.old {
            self.old.entry(route.clone()).or_default().merge(tally);
        }
        for (route, targets) in &other.new {
            for (target, tally) in targets {
                self.new_tally(route, target).merge(tally);
            }
        }
    }

    /// What was counted since an earlier state of this evidence.
    #[must_use]
    pub fn since(mut self, earlier: &Self) -> Self {
        self.arrivals = self.arrivals.saturating_sub(earlier.arrivals);
        self.exposed = self.exposed.saturating_sub(earlier.exposed);
        for (route, tally) in &earlier.old {
            if let Some(current) = self.old.get_mut(route) {
                current.subtract(tally);
            }
        }
        for (route, targets) in &earlier.new {
            for (target, tally) in targets {
                self.new_tally(route, target).subtract(tally);
            }
        }
        self
    }

    /// Number of answers of the new version.
    #[must_use]
    pub fn new_answers(&self) -> u32 {
        sum(self.new_tallies().map(|tally| tally.answers))
    }

    /// Number of failures among the answers of the new version.
    #[must_use]
    pub fn new_failures(&self) -> u32 {
        sum(self.new_tallies().map(|tally| tally.failures))
    }

    /// Number of answers of the other versions.
    #[must_use]
    pub fn old_answers(&self) -> u32 {
        sum(self.old.values().map(|tally| tally.answers))
    }

    /// Number of failures among the answers of the other versions.
    #[must_use]
    pub fn old_failures(&self) -> u32 {
        sum(self.old.values().map(|tally| tally.failures))
    }

    /// Drops the histograms if there are more tallies than this, so that the size stays bounded.
    #[must_use]
    pub fn bounded(mut self, max_tallies: usize) -> Self {
        if self.new_tallies().count() > max_tallies {
            let new = self.new.values_mut().flat_map(BTreeMap::values_mut);
            for tally in new.chain(self.old.values_mut()) {
                tally.latencies = Histogram::default();
                tally.gaps = Histogram::default();
            }
        }
        self
    }

    fn new_tallies(&self) -> impl Iterator<Item = &Tally> {
        self.new.values().flat_map(BTreeMap::values)
    }

    /// The routes that the new version has answered, with its counts by target and those of the
    /// other versions, if they have answered the route.
    pub fn routes(
        &self,
    ) -> impl Iterator<Item = (&RouteId, &BTreeMap<TargetId, Tally>, Option<&Tally>)> {
        let with_old = |(route, targets)| (route, targets, self.old.get(route));
        self.new.iter().map(with_old)
    }

    fn new_tally(&mut self, route: &RouteId, target: &TargetId) -> &mut Tally {
        let targets = self.new.entry(route.clone()).or_default();
        targets.entry(target.clone()).or_default()
    }
}
