//! Compares ways to judge the silence of a link, for streams of different rhythms.
//!
//! For each rhythm and way: how often a good link is suspected, and how long a link that falls
//! silent stays unnoticed.

use std::time::Duration;

use relay::{
    Rhythm,
    rhythm::{Bounds, GAP},
};

const TOKENS: usize = 200_000;

/// A source of gaps between tokens, in milliseconds.
struct Source {
    name: &'static str,
    gap: fn(&mut fastrand::Rng, usize) -> f64,
}

/// A way to judge.
enum Way {
    Fixed(Duration),
    Rhythm(Rhythm),
}

impl Way {
    fn limit(&self) -> Duration {
        match self {
            Self::Fixed(limit) => *limit,
            Self::Rhythm(rhythm) => rhythm.limit(),
        }
    }

    fn observe(&mut self, gap: Duration) {
        if let Self::Rhythm(rhythm) = self {
            rhythm.observe(gap);
        }
    }
}

/// About log-normal around 1.
fn spread(rng: &mut fastrand::Rng, sigma: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.f64()).sum();
    ((sum - 6.0) * sigma).exp()
}

fn sources() -> Vec<Source> {
    vec![
        Source {
            name: "steady, 10 ms",
            gap: |rng, _| 10.0 * spread(rng, 0.1),
        },
        Source {
            name: "steady, 58 ms",
            gap: |rng, _| 58.0 * spread(rng, 0.1),
        },
        Source {
            name: "uneven, 58 ms",
            gap: |rng, _| 58.0 * spread(rng, 0.8),
        },
        Source {
            name: "bursts of 32 every 2 s",
            gap: |rng, at| {
                if at.is_multiple_of(32) {
                    2000.0 * spread(rng, 0.1)
                } else {
                    0.1
                }
            },
        },
        Source {
            name: "58 ms, 1 in 500 stands 1 to 3 s",
            gap: |rng, _| {
                if rng.usize(..500) == 0 {
                    rng.f64().mul_add(2000.0, 1000.0)
                } else {
                    58.0 * spread(rng, 0.2)
                }
            },
        },
    ]
}

fn ways() -> Vec<(&'static str, Way)> {
    let no_floor = Bounds {
        floor: Duration::from_millis(1),
        ..GAP
    };
    vec![
        ("fixed 500 ms", Way::Fixed(Duration::from_millis(500))),
        ("fixed 5 s", Way::Fixed(Duration::from_secs(5))),
        ("fixed 30 s", Way::Fixed(Duration::from_secs(30))),
        ("rhythm without a floor", Way::Rhythm(Rhythm::new(no_floor))),
        ("rhythm", Way::Rhythm(Rhythm::new(GAP))),
    ]
}

fn main() {
    println!(
        "| rhythm of the stream | way | good links suspected per 1,000 tokens | silence unnoticed, median | p99 |"
    );
    println!("|---|---|---|---|---|");
    for source in sources() {
        for (name, mut way) in ways() {
            let mut rng = fastrand::Rng::with_seed(7);
            let mut suspected = 0;
            let mut limits = Vec::with_capacity(TOKENS);
            for at in 0..TOKENS {
                let gap = Duration::from_secs_f64((source.gap)(&mut rng, at) / 1000.0);
                let limit = way.limit();
                suspected += usize::from(gap > limit);
                limits.push(limit);
                way.observe(gap);
            }
            limits.sort_unstable();
            println!(
                "| {} | {name} | {:.2} | {:?} | {:?} |",
                source.name,
                1000.0 * suspected as f64 / TOKENS as f64,
                round(limits[TOKENS / 2]),
                round(limits[TOKENS * 99 / 100]),
            );
        }
    }
}

fn round(time: Duration) -> Duration {
    Duration::from_millis(time.as_millis() as u64)
}
