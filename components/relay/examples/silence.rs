//! Compares idle timeouts for streams whose tokens arrive at different intervals.
//!
//! Prints for each stream and each timeout how often a working connection is considered lost, and
//! how long a silent connection stays undetected.

use std::time::Duration;

use relay::{
    GapEstimator,
    gap_estimator::{TOKEN_GAP_BOUNDS, TimeoutBounds},
};

const TOKENS: usize = 200_000;

/// A generator of gaps between tokens.
struct GapSource {
    name: &'static str,
    /// Returns the gap before the token at an index, in milliseconds.
    gap_ms: fn(&mut fastrand::Rng, usize) -> f64,
}

/// An idle timeout under comparison.
enum IdleTimeout {
    Fixed(Duration),
    Estimated(GapEstimator),
}

impl IdleTimeout {
    fn current(&self) -> Duration {
        match self {
            Self::Fixed(timeout) => *timeout,
            Self::Estimated(estimator) => estimator.timeout(),
        }
    }

    fn observe(&mut self, gap: Duration) {
        if let Self::Estimated(estimator) = self {
            estimator.observe(gap);
        }
    }
}

/// Returns a factor with about a log-normal distribution around 1.
fn spread(rng: &mut fastrand::Rng, sigma: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.f64()).sum();
    ((sum - 6.0) * sigma).exp()
}

fn sources() -> Vec<GapSource> {
    vec![
        GapSource {
            name: "steady, 10 ms",
            gap_ms: |rng, _| 10.0 * spread(rng, 0.1),
        },
        GapSource {
            name: "steady, 58 ms",
            gap_ms: |rng, _| 58.0 * spread(rng, 0.1),
        },
        GapSource {
            name: "uneven, 58 ms",
            gap_ms: |rng, _| 58.0 * spread(rng, 0.8),
        },
        GapSource {
            name: "bursts of 32 every 2 s",
            gap_ms: |rng, at| {
                if at.is_multiple_of(32) {
                    2000.0 * spread(rng, 0.1)
                } else {
                    0.1
                }
            },
        },
        GapSource {
            name: "58 ms, 1 in 500 takes 1 to 3 s",
            gap_ms: |rng, _| {
                if rng.usize(..500) == 0 {
                    rng.f64().mul_add(2000.0, 1000.0)
                } else {
                    58.0 * spread(rng, 0.2)
                }
            },
        },
    ]
}

fn timeouts() -> Vec<(&'static str, IdleTimeout)> {
    let no_min = TimeoutBounds {
        min: Duration::from_millis(1),
        ..TOKEN_GAP_BOUNDS
    };
    vec![
        (
            "fixed 500 ms",
            IdleTimeout::Fixed(Duration::from_millis(500)),
        ),
        ("fixed 5 s", IdleTimeout::Fixed(Duration::from_secs(5))),
        ("fixed 30 s", IdleTimeout::Fixed(Duration::from_secs(30))),
        (
            "rhythm without a floor",
            IdleTimeout::Estimated(GapEstimator::new(no_min)),
        ),
        (
            "rhythm",
            IdleTimeout::Estimated(GapEstimator::new(TOKEN_GAP_BOUNDS)),
        ),
    ]
}

fn main() {
    println!(
        "| stream | idle timeout | false detections per 1,000 tokens | silence undetected, median | p99 |"
    );
    println!("|---|---|---|---|---|");
    for source in sources() {
        for (name, mut timeout) in timeouts() {
            let mut rng = fastrand::Rng::with_seed(7);
            let mut false_detections = 0;
            let mut history = Vec::with_capacity(TOKENS);
            for at in 0..TOKENS {
                let gap = Duration::from_secs_f64((source.gap_ms)(&mut rng, at) / 1000.0);
                let current = timeout.current();
                false_detections += usize::from(gap > current);
                history.push(current);
                timeout.observe(gap);
            }
            history.sort_unstable();
            println!(
                "| {} | {name} | {:.2} | {:?} | {:?} |",
                source.name,
                1000.0 * false_detections as f64 / TOKENS as f64,
                round(history[TOKENS / 2]),
                round(history[TOKENS * 99 / 100]),
            );
        }
    }
}

fn round(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}
