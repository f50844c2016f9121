//! Limits the callers' connections that an instance takes on while it is short of processor time.
//!
//! An instance that gets most new connections of a data centre may be given more than its share of a
//! processor can do. Each task then waits behind all others, and a request that needs several turns is
//! answered late or not at all. Connections beyond what it can do are closed unread: their callers retry at
//! other instances.

use std::time::Duration;

use types::Moment;

/// Part of the strictest latency objective by which a timer may be late. A plain call waits for its turn, or
/// for a readiness event, about twenty times.
const OBJECTIVE_FRACTION: f64 = 0.025;
/// Bounds of the lateness that is allowed. Below the lower one, ordinary work on a small share of a processor
/// would count as a shortage.
const LATENESS_BOUNDS: (Duration, Duration) = (Duration::from_millis(3), Duration::from_millis(12));
/// Weight of the latest sample in the mean lateness.
const SAMPLE_WEIGHT: f64 = 0.5;
/// A sample counts at most this many times the allowed lateness, so that the mean passes it after two samples at
/// the earliest: a process that was suspended once is not short of processor time.
const MAX_SAMPLE: f64 = 2.0;
/// Fraction of the allowed lateness below which more is taken on again.
const LOW_FRACTION: f64 = 0.5;
/// By what the limit on open requests is multiplied with each sample during a shortage.
const DECREASE: f64 = 0.7;
/// By what it is multiplied with each sample in time, and the least that it grows.
const INCREASE: (f64, f64) = (1.1, 1.0);
/// The limit is lifted once this many times as many requests are allowed as are open.
const LIFT_FACTOR: f64 = 4.0;
/// Part of its objective within which an answer is in time: its caller may have been refused by another instance before.
const IN_TIME_FRACTION: f64 = 0.5;
/// Weight of the latest sample in the mean rate of answers, and in the part that is late.
const RATE_WEIGHT: f64 = 0.2;
/// Part of the answers that may be late before less is taken on during a shortage.
const MAX_LATE_PART: f64 = 0.25;
/// How long late answers alone hold the limit after timers were late.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Open requests that are always allowed: an instance without a crowd rarely has more.
const MIN_OPEN: f64 = 8.0;
/// A connection is taken on after this time without one, whatever the shortage.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Connections that may wait for their first turn together.
const MAX_WAITING: usize = 64;

/// The beginning or the end of a shortage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The process is later than allowed.
    Began {
        /// Its mean lateness.
        lateness: Duration,
        /// The lateness that is allowed.
        allowed: Duration,
    },
    /// The limit is lifted.
    Ended {
        /// Length of the shortage.
        after: Duration,
    },
}

/// Numbers of answers.
#[derive(Clone, Copy, Debug, Default)]
struct Answered {
    in_time: usize,
    late: usize,
}

/// The limit on open requests during a shortage.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    since: Moment,
    /// Requests that may be open.
    max_open: f64,
}

/// Decides which connections are taken on, by how late the timers of this process are.
#[derive(Clone, Debug)]
pub struct IntakeLimit {
    /// The mean lateness, in seconds.
    lateness: f64,
    allowed: Duration,
    /// The strictest latency objective of all routes.
    objective: Duration,
    /// Answers since the last sample: those in time for the objectives of their routes, and those that were late.
    answered: Answered,
    /// The mean rate of answers in time, a second.
    answers_per_s: f64,
    /// The mean part of answers that are late.
    late_part: f64,
    /// When the last sample was taken.
    sampled_at: Moment,
    /// When timers were last later than allowed.
    late_at: Moment,
    shortage: Option<Shortage>,
    /// Connections that were taken on and wait for their first turn.
    waiting: usize,
    /// The longest wait for a first turn since the last sample.
    longest_wait: Duration,
    admitted_at: Moment,
}

impl Default for IntakeLimit {
    fn default() -> Self {
        Self {
            lateness: 0.0,
            allowed: LATENESS_BOUNDS.1,
            objective: Duration::ZERO,
            answered: Answered::default(),
            answers_per_s: 0.0,
            late_part: 0.0,
            sampled_at: Duration::ZERO,
            late_at: Duration::ZERO,
            shortage: None,
            waiting: 0,
            longest_wait: Duration::ZERO,
            admitted_at: Duration::ZERO,
        }
    }
}

impl IntakeLimit {
    /// Sets the strictest latency objective of all routes.
    pub fn set_objective(&mut self, objective: Duration) {
        let (least, most) = LATENESS_BOUNDS;
        self.allowed = objective.mul_f64(OBJECTIVE_FRACTION).clamp(least, most);
        self.objective = objective;
    }

    /// Records that a request was answered after this time, on a route with this objective.
    pub fn record_answer(&mut self, took: Duration, objective: Duration) {
        if took <= objective.mul_f64(IN_TIME_FRACTION) {
            self.answered.in_time += 1;
        } else {
            self.answered.late += 1;
        }
    }

    /// Whether a further connection would be taken on now, beside a number of open requests.
    #[must_use]
    pub fn has_room(&self, now: Moment, open: usize) -> bool {
        let max_open = self.shortage.map(|shortage| shortage.max_open);
        let has_room = max_open.is_none_or(|most| as_f64(open + self.waiting) < most);
        let is_due = now.saturating_sub(self.admitted_at) >= MAX_PAUSE;
        self.waiting < MAX_WAITING && has_room || is_due
    }

    /// Whether to take on a connection that was accepted now, beside a number of open requests.
    pub fn admit(&mut self, now: Moment, open: usize) -> bool {
        let is_admitted = self.has_room(now, open);
        if is_admitted {
            self.waiting += 1;
            self.admitted_at = now;
        }
        is_admitted
    }

    /// Whether a connection is closed after its answer, beside a number of open requests: those over kept connections
    /// are beyond the limit otherwise.
    #[must_use]
    pub fn sheds(&self, open: usize) -> bool {
        self.shortage
            .is_some_and(|shortage| as_f64(open) > shortage.max_open)
    }

    /// Records that a connection that was taken on has had its first turn.
    pub fn record_start(&mut self, waited: Duration) {
        self.waiting = self.waiting.saturating_sub(1);
        self.longest_wait = self.longest_wait.max(waited);
    }

    /// Records by how much a periodic timer was late. Returns whether a shortage has begun or ended.
    pub fn record_tick(&mut self, now: Moment, late: Duration, open: usize) -> Option<Change> {
        let late = late.max(std::mem::take(&mut self.longest_wait));
        let allowed = self.allowed.as_secs_f64();
        let sample = late.as_secs_f64().min(allowed * MAX_SAMPLE);
        self.lateness += (sample - self.lateness) * SAMPLE_WEIGHT;
        self.sample_answers(now);
        let open = as_f64(open);
        if self.lateness > allowed {
            self.late_at = now;
        }
        // What comes with a shortage of processor time may fill the link as well, which only late answers show. But
        // they may also be late at their targets.
        let is_held = self.is_short() && now.saturating_sub(self.late_at) < MAX_HOLD;
        if self.late_at == now || (is_held && self.late_part > MAX_LATE_PART) {
            return self.tighten(now, open);
        }
        if self.lateness < allowed * LOW_FRACTION {
            return self.relax(now, open);
        }
        None
    }

    /// Whether the process is short of processor time.
    #[must_use]
    pub const fn is_short(&self) -> bool {
        self.shortage.is_some()
    }

    fn sample_answers(&mut self, now: Moment) {
        let period = now.saturating_sub(std::mem::replace(&mut self.sampled_at, now));
        let Answered { in_time, late } = std::mem::take(&mut self.answered);
        if !period.is_zero() {
            let sample = as_f64(in_time) / period.as_secs_f64();
            self.answers_per_s += (sample - self.answers_per_s) * RATE_WEIGHT;
        }
        let all = in_time + late;
        let sample = as_f64(late) / as_f64(all.max(1));
        self.late_part += (sample - self.late_part) * RATE_WEIGHT;
    }

    /// Open requests that are allowed however late the timers are: as many as are answered in time at the present
    /// rate, by Little's law. Timers may also be late for reasons that do not delay answers.
    fn min_open(&self) -> f64 {
        let sojourn_s = self.objective.as_secs_f64() * IN_TIME_FRACTION;
        (self.answers_per_s * sojourn_s).max(MIN_OPEN)
    }

    fn tighten(&mut self, now: Moment, open: f64) -> Option<Change> {
        let most = self.shortage.map_or(open, |it| it.max_open.min(open));
        let max_open = (most * DECREASE).max(self.min_open());
        let since = self.shortage.map_or(now, |shortage| shortage.since);
        let is_new = self.shortage.is_none();
        self.shortage = Some(Shortage { since, max_open });
        is_new.then(|| Change::Began {
            lateness: Duration::from_secs_f64(self.lateness),
            allowed: self.allowed,
        })
    }

    fn relax(&mut self, now: Moment, open: f64) -> Option<Change> {
        let shortage = self.shortage.as_mut()?;
        let (factor, least) = INCREASE;
        shortage.max_open = (shortage.max_open * factor).max(shortage.max_open + least);
        if shortage.max_open < open.max(MIN_OPEN) * LIFT_FACTOR {
            return None;
        }
        let after = now.saturating_sub(shortage.since);
        self.shortage = None;
        Some(Change::Ended { after })
    }
}

/// A count as a floating-point number.
fn as_f64(count: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
    let value = count as f64;
    value
}
