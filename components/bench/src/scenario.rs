//! What callers do: a mix of requests, read from YAML, and the arrivals drawn from it.

use std::{f64::consts::TAU, time::Duration};

use fastrand::Rng;
use serde::{Deserialize, Serialize};
use standins::engine::batch::{Batch, NewGeneration};
use types::Class;

use crate::{
    caller::{Wanted, What},
    deployment::{Plan, key_of},
};

/// Virtual time over which an engine's rate is taken, and the time before that.
const MEASURED: Duration = Duration::from_secs(300);
const SETTLING: Duration = Duration::from_secs(60);

/// A deployment and what its callers do.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The deployment.
    pub plan: Plan,
    /// Seconds at the start that don't count.
    pub warm_up: f64,
    /// The bursts.
    pub bursts: Bursts,
    /// The kinds of requests.
    pub mix: Vec<Kind>,
}

/// Arrivals come in bursts; over time the rate is as asked.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bursts {
    /// Seconds from one to the next.
    pub every: f64,
    /// Seconds that one lasts.
    pub length: f64,
    /// Factor on the mean rate during one.
    pub factor: f64,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its urgency by the tree.
    pub class: Class,
    /// Part of all generations; 0 for plain calls.
    #[serde(default)]
    pub share: f64,
    /// Plain calls a second at load 1; 0 for generations.
    #[serde(default)]
    pub per_second: f64,
    /// The shape of a generation.
    #[serde(default)]
    pub generate: Option<Shape>,
    /// The form of a plain call.
    #[serde(default)]
    pub call: Option<Form>,
}

/// The shape of a generation.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Shape {
    /// Its route.
    pub route: String,
    /// Tokens of the prompt.
    pub prompt: Lengths,
    /// Tokens of the answer.
    pub output: Lengths,
    /// Number of beginnings that prompts share.
    pub prefixes: u32,
    /// Tokens of such a beginning.
    pub prefix_tokens: usize,
}

/// Heavy-tailed lengths: the logarithm is normal.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// Median.
    pub median: f64,
    /// Spread of the logarithm.
    pub spread: f64,
    /// Largest.
    pub most: u64,
}

/// The form of a plain call.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Form {
    /// HTTP method; all but GET bring an idempotency key.
    pub method: String,
    /// Path; a number is put behind it.
    pub path: String,
}

/// A request and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the start of the run.
    pub at: Duration,
    /// Chooses the instance: the balancer's part.
    pub pick: usize,
    /// What is wanted.
    pub wanted: Wanted,
}

impl Lengths {
    fn draw(&self, rng: &mut Rng) -> u64 {
        let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
        let normal = radius * (TAU * rng.f64()).cos();
        let length = self.median * (normal * self.spread).exp();
        (length as u64).clamp(1, self.most)
    }
}

impl Bursts {
    /// Factor on the mean rate at a time.
    fn factor(&self, at: f64) -> f64 {
        if at % self.every < self.length {
            return self.factor;
        }
        let rest = self.every - self.length;
        ((self.every - self.factor * self.length) / rest).max(0.0)
    }
}

impl Scenario {
    /// Draws all arrivals of a run: the same for the same seed.
    #[must_use]
    pub fn arrivals(&self, load: f64, seed: u64, time: Duration) -> Vec<Arrival> {
        let generations = load * self.bearable(seed);
        let mut all = Vec::new();
        for (number, kind) in self.mix.iter().enumerate() {
            let mut rng = Rng::with_seed(seed.wrapping_mul(1000) + number as u64);
            let rate = kind.share * generations + kind.per_second * load;
            let most = rate * self.bursts.factor.max(1.0);
            let mut at = if rate > 0.0 { 0.0 } else { f64::INFINITY };
            loop {
                at -= (1.0 - rng.f64()).ln() / most;
                if at >= time.as_secs_f64() {
                    break;
                }
                if rng.f64() * most < rate * self.bursts.factor(at) {
                    all.push(self.arrival(kind, at, all.len(), &mut rng));
                }
            }
        }
        all.sort_by_key(|arrival| arrival.at);
        all
    }

    /// Generations a second that all engines together finish without preempting any, when there
    /// is always more to do and each is let in as soon as the known lengths leave room for it.
    #[must_use]
    pub fn bearable(&self, seed: u64) -> f64 {
        let mut rng = Rng::with_seed(seed);
        let mut batch = Batch::new(self.plan.engine.clone());
        let mut live: Vec<usize> = Vec::new();
        let mut now = Duration::ZERO;
        let mut finished = 0;
        let mut next = self.work(&mut rng);
        while now < SETTLING + MEASURED {
            live.retain(|number| batch.generations[*number].end.is_none());
            while fits(&batch, &live, &next) {
                live.push(batch.add(now, 1, next));
                next = self.work(&mut rng);
            }
            let Some(step) = batch.plan(now) else { break };
            now += step;
            let ended = batch.step(now);
            finished += if now > SETTLING { ended } else { 0 };
        }
        f64::from(finished) / MEASURED.as_secs_f64() * self.plan.engines as f64
    }

    /// A workspace; a few of them are large.
    fn workspace(&self, rng: &mut Rng) -> &str {
        let all = &self.plan.workspaces;
        let skewed = rng.f64().powi(2) * all.len() as f64;
        &all[skewed as usize]
    }

    fn work(&self, rng: &mut Rng) -> NewGeneration {
        let mut left = rng.f64() * self.mix.iter().map(|kind| kind.share).sum::<f64>();
        let shapes = self
            .mix
            .iter()
            .filter_map(|k| Some((k.share, k.generate.as_ref()?)));
        for (share, shape) in shapes {
            left -= share;
            if left <= 0.0 {
                return NewGeneration {
                    prompt_tokens: shape.prompt.draw(rng) + shape.prefix_tokens as u64,
                    output_tokens: shape.output.draw(rng),
                    ..NewGeneration::default()
                };
            }
        }
        NewGeneration::default()
    }

    fn arrival(&self, kind: &Kind, at: f64, number: usize, rng: &mut Rng) -> Arrival {
        let workspace = self.workspace(rng);
        let name = format!("{}-{number}", kind.name);
        let what = match (&kind.generate, &kind.call) {
            (Some(shape), _) => generation(&self.plan.model, shape, &name, rng),
            (None, Some(form)) => call(form, &name, rng),
            (None, None) => call(&Form::default(), &name, rng),
        };
        Arrival {
            at: Duration::from_secs_f64(at),
            pick: rng.usize(..),
            wanted: Wanted {
                name,
                kind: kind.name.clone(),
                class: kind.class,
                key: key_of(workspace),
                what,
            },
        }
    }
}

impl Default for Form {
    fn default() -> Self {
        Self {
            method: "GET".to_owned(),
            path: "/".to_owned(),
        }
    }
}

/// Whether a batch whose lengths are known never outgrows its memory with one generation more.
fn fits(batch: &Batch, live: &[usize], more: &NewGeneration) -> bool {
    let settings = batch.settings();
    let known = live.iter().map(|number| {
        let one = &batch.generations[*number];
        (
            one.prompt_tokens + one.produced,
            one.output_tokens - one.produced,
        )
    });
    let mut all: Vec<(u64, u64)> = known
        .chain([(more.prompt_tokens, more.output_tokens)])
        .collect();
    all.sort_unstable_by_key(|(_, left)| *left);
    // Memory peaks right before one of them ends; each has one token more by the next step.
    let peak = (0..all.len()).map(|first| {
        let left = all[first].1;
        all[first..]
            .iter()
            .map(|(size, _)| size + left + 1)
            .sum::<u64>()
    });
    live.len() < settings.max_running && peak.max() <= Some(settings.capacity)
}

/// Draws a generation.
pub fn generation(model: &str, shape: &Shape, name: &str, rng: &mut Rng) -> What {
    let prefix = rng.u32(..shape.prefixes.max(1));
    let shared = format!("{} {prefix:07} ", shape.route).repeat(shape.prefix_tokens);
    let own = shape.prompt.draw(rng) as usize * 4;
    let filler = format!("{name} ").repeat(own / name.len() + 1);
    What::Generate {
        model: model.to_owned(),
        route: Some(shape.route.clone()),
        prompt: format!("{}{}", &shared[..shape.prefix_tokens * 4], &filler[..own]),
        output: shape.output.draw(rng),
        most: shape.output.most,
    }
}

fn call(form: &Form, name: &str, rng: &mut Rng) -> What {
    let keyed = form.method != "GET";
    What::Plain {
        method: form.method.clone(),
        path: format!("{}/{}", form.path, rng.u32(..100_000)),
        idempotency_key: keyed.then(|| format!("key-{name}")),
    }
}
