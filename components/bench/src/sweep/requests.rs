//! Arrivals and lengths, drawn ahead from a seed so that all variants see the same.

use std::time::Duration;

use types::{Class, Moment, Tokens};

/// The tokens of memory of one toy engine.
pub const CAPACITY: Tokens = 16_000;
/// How many toy engines there are.
pub const ENGINES: usize = 12;
/// Factor on the arrival rate within a burst.
const BURST: f64 = 2.0;
/// Length of a burst and of the time between two, in seconds.
const BURST_SECONDS: f64 = 3.0;
/// Time from one burst's begin to the next.
const BURST_PERIOD: f64 = 30.0;
/// Requests drawn to learn the mean need.
const SAMPLES: u32 = 20_000;

/// One request and its true length.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// When it arrives.
    pub at: Moment,
    /// Urgency.
    pub class: Class,
    /// Who asks: an index into the workspaces.
    pub workspace: usize,
    /// Its route.
    pub route: &'static str,
    /// Tokens in the prompt.
    pub prompt: Tokens,
    /// Tokens that it really produces.
    pub length: Tokens,
    /// The most tokens that its caller lets the engine produce.
    pub max_output: Tokens,
    /// The caller's patience for the first token.
    pub patience: Duration,
}

/// One kind of request.
struct Kind {
    route: &'static str,
    class: Class,
    share: f64,
    median: f64,
    sigma: f64,
    max_output: Tokens,
    patience: Duration,
}

const KINDS: [Kind; 3] = [
    Kind {
        route: "draft",
        class: Class::Normal,
        share: 0.55,
        median: 300.0,
        sigma: 1.0,
        max_output: 4096,
        patience: Duration::from_secs(30),
    },
    Kind {
        route: "tags",
        class: Class::Background,
        share: 0.4,
        median: 40.0,
        sigma: 0.7,
        max_output: 512,
        patience: Duration::from_secs(120),
    },
    Kind {
        route: "check",
        class: Class::Urgent,
        share: 0.05,
        median: 60.0,
        sigma: 0.5,
        max_output: 512,
        patience: Duration::from_secs(10),
    },
];

/// Factors on the lengths of the workspaces, and their shares of the requests.
const WORKSPACES: [(f64, f64); 5] = [(1.0, 0.4), (0.6, 0.3), (1.8, 0.1), (1.0, 0.1), (1.3, 0.1)];

/// Draws all requests of `seconds`, for a share `load` of what the engines' memory can bear.
#[must_use]
pub fn draw(seed: u64, seconds: u64, load: f64) -> Vec<Drawn> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let rate = load * capacity_rate(&mut fastrand::Rng::with_seed(0));
    let mut drawn = Vec::new();
    let mut at = 0.0;
    while at < seconds as f64 {
        let now = rate * burst_factor(at);
        at += -(1.0 - rng.f64()).ln() / now;
        drawn.push(one(&mut rng, Duration::from_secs_f64(at)));
    }
    drawn
}

/// Requests a second that keep all engines' memory full all the time.
fn capacity_rate(rng: &mut fastrand::Rng) -> f64 {
    let mut area = 0.0;
    let mut steps = 0.0;
    for _ in 0..SAMPLES {
        let request = one(rng, Duration::ZERO);
        let length = request.length as f64;
        area += length * (request.prompt as f64 + length / 2.0);
        steps += length;
    }
    let resident = area / steps;
    let running = CAPACITY as f64 / resident;
    let step = super::engine::step_seconds(running, 0.0);
    let area = area / f64::from(SAMPLES);
    ENGINES as f64 * CAPACITY as f64 / (area * step)
}

/// Keeps the mean at one.
fn burst_factor(at: f64) -> f64 {
    if at % BURST_PERIOD < BURST_SECONDS {
        BURST
    } else {
        (BURST_PERIOD - BURST * BURST_SECONDS) / (BURST_PERIOD - BURST_SECONDS)
    }
}

fn one(rng: &mut fastrand::Rng, at: Moment) -> Drawn {
    let kind = pick(rng, &KINDS, |kind| kind.share);
    let workspace = {
        let chosen = pick(rng, &WORKSPACES, |workspace| workspace.1);
        WORKSPACES
            .iter()
            .position(|workspace| std::ptr::eq(workspace, chosen))
            .unwrap_or(0)
    };
    let factor = WORKSPACES[workspace].0;
    let length = kind.median * factor * (kind.sigma * normal(rng)).exp();
    Drawn {
        at,
        class: kind.class,
        workspace,
        route: kind.route,
        prompt: 50 + (200.0 * (0.6 * normal(rng)).exp()) as Tokens,
        length: (length as Tokens).clamp(1, kind.max_output),
        max_output: kind.max_output,
        patience: kind.patience,
    }
}

fn pick<'a, T>(rng: &mut fastrand::Rng, among: &'a [T], share: impl Fn(&T) -> f64) -> &'a T {
    let mut left = rng.f64();
    for one in among {
        left -= share(one);
        if left <= 0.0 {
            return one;
        }
    }
    &among[among.len() - 1]
}

/// A draw from the standard normal distribution (Box and Muller).
fn normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}
