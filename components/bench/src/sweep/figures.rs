//! What a run is judged by.

use std::time::Duration;

use hdrhistogram::Histogram;
use types::Class;

/// A gap between two tokens from which a stream counts as stalled.
const STALL: Duration = Duration::from_millis(250);

/// Figures of one run.
#[derive(Debug)]
pub struct Figures {
    /// Requests that arrived.
    pub arrived: u64,
    /// Generations that ended whole.
    pub finished: u64,
    /// Tokens of those.
    pub tokens: u64,
    /// Requests refused, by class.
    pub refused: [u64; 3],
    /// Preemptions.
    pub preemptions: u64,
    /// Work that was pulled back.
    pub recalls: u64,
    /// Time that streams stood still.
    pub stalled: Duration,
    /// Virtual seconds.
    pub seconds: f64,
    /// Mean share of memory in use.
    pub used: f64,
    gaps: Histogram<u64>,
    firsts: [Histogram<u64>; 3],
}

impl Figures {
    /// Starts with nothing counted.
    #[must_use]
    pub fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are valid");
        Self {
            arrived: 0,
            finished: 0,
            tokens: 0,
            refused: [0; 3],
            preemptions: 0,
            recalls: 0,
            stalled: Duration::ZERO,
            seconds: 0.0,
            used: 0.0,
            gaps: histogram(),
            firsts: [histogram(), histogram(), histogram()],
        }
    }

    /// Counts the gap between two tokens.
    pub fn gap(&mut self, gap: Duration) {
        self.gaps.saturating_record(micros(gap));
        if gap > STALL {
            self.stalled += gap;
        }
    }

    /// Counts the time to a first token.
    pub fn first(&mut self, class: Class, first: Duration) {
        self.firsts[class as usize].saturating_record(micros(first));
    }

    /// The head of the table.
    #[must_use]
    pub fn header() -> String {
        let names = [
            "load %",
            "variant",
            "finished/s",
            "tokens/s",
            "preempted per 1000",
            "recalled per 1000",
            "refused per 1000 (urgent, normal, background)",
            "stalled s per 1000",
            "gap p99/p99.9/max ms",
            "first p50/p99 ms urgent",
            "normal",
            "background",
            "memory used",
        ];
        let rule = vec!["---"; names.len()].join("|");
        format!("|{}|\n|{rule}|", names.join("|"))
    }

    /// One line of the table.
    #[must_use]
    pub fn line(&self, load: u32, variant: &str) -> String {
        let per = 1000.0 / self.finished.max(1) as f64;
        let gap = |quantile| millis(self.gaps.value_at_quantile(quantile));
        let first = |class: Class| {
            let firsts = &self.firsts[class as usize];
            let at = |quantile| millis(firsts.value_at_quantile(quantile));
            format!("{:.0}/{:.0}", at(0.5), at(0.99))
        };
        let refused = self.refused.map(|count| {
            let share = count as f64 * 1000.0 / self.arrived.max(1) as f64;
            format!("{share:.1}")
        });
        format!(
            "|{load}|{variant}|{:.2}|{:.0}|{:.2}|{:.2}|{}|{:.1}|{:.0}/{:.0}/{:.0}|{}|{}|{}|{:.2}|",
            self.finished as f64 / self.seconds,
            self.tokens as f64 / self.seconds,
            self.preemptions as f64 * per,
            self.recalls as f64 * per,
            refused.join(", "),
            self.stalled.as_secs_f64() * per,
            gap(0.99),
            gap(0.999),
            millis(self.gaps.max()),
            first(Class::Urgent),
            first(Class::Normal),
            first(Class::Background),
            self.used,
        )
    }
}

impl Default for Figures {
    fn default() -> Self {
        Self::new()
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
