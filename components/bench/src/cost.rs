//! What an instance costs: latency added, processor time for each token, memory at rest.

use std::{
    fmt, io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use net::Client;
use settings::Strategy;
use standins::engine::EngineLog;
use timer::Timer;

use crate::{
    caller::{Caller, Wanted, What},
    deployment::{Deployment, key_of},
    process::Programs,
    scenario::{Scenario, generation},
    summary::{Times, times},
};

/// Calls sent before those that count.
const WARM_UP: usize = 200;
/// Tokens of the generations before those that count, and of these.
const SHORT: u64 = 20;
const LONG: u64 = 3000;
/// How often as many short ones as engines run at once are sent.
const SHORT_ROUNDS: usize = 8;
/// Time over which tokens are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// The figures.
#[derive(Debug)]
pub struct Cost {
    /// A call to the stand-in.
    pub direct: Times,
    /// The same call through an instance.
    pub through: Times,
    /// Tokens relayed for each second of processor time of the instance.
    pub tokens_per_core: f64,
    /// Tokens relayed a second in that measurement.
    pub tokens: f64,
    /// Resident bytes of the instance at rest.
    pub memory: u64,
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let added = |through: f64, direct: f64| through - direct;
        writeln!(
            f,
            "direct ms: p50 {:.3}, p99 {:.3}; through an instance: p50 {:.3}, p99 {:.3}; added: p50 {:.3}, p99 {:.3}",
            self.direct.p50,
            self.direct.p99,
            self.through.p50,
            self.through.p99,
            added(self.through.p50, self.direct.p50),
            added(self.through.p99, self.direct.p99),
        )?;
        writeln!(
            f,
            "tokens relayed for each second of processor time: {:.0} (at {:.0} tokens a second)",
            self.tokens_per_core, self.tokens
        )?;
        writeln!(
            f,
            "memory at rest: {:.1} MiB",
            self.memory as f64 / 1048576.0
        )
    }
}

/// Measures a scenario with one instance. Direct calls and calls through the instance take
/// turns, so both see the same machine.
///
/// # Errors
/// Passes on what did not start.
pub async fn run(programs: &Programs, scenario: &Scenario, calls: usize) -> io::Result<Cost> {
    let plan = &scenario.plan;
    let deployment = Deployment::start(programs.clone(), plan, Strategy::Owner, None).await?;
    Timer::new().sleep(Duration::from_secs(3)).await;
    let memory = resident(&deployment);
    let (direct, through) = latencies(&deployment, scenario, calls).await;
    let (tokens, cpu) = relay(&deployment, scenario).await;
    Ok(Cost {
        direct: times(&direct),
        through: times(&through),
        tokens_per_core: tokens / cpu.max(f64::MIN_POSITIVE),
        tokens: tokens / WINDOW.as_secs_f64(),
        memory,
    })
}

fn resident(deployment: &Deployment) -> u64 {
    let process = deployment.instances[0].process.as_ref();
    process.map_or(0, |p| p.memory())
}

async fn latencies(
    deployment: &Deployment,
    scenario: &Scenario,
    calls: usize,
) -> (Vec<u32>, Vec<u32>) {
    let client = Client::new();
    let path = scenario.mix.iter().find_map(|kind| kind.call.as_ref());
    let path = path.map_or("/", |form| form.path.as_str());
    let key = key_of(&scenario.plan.workspaces[0]);
    let (service, entry) = (deployment.services[0].addr, deployment.instances[0].listen);
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    for number in 0..WARM_UP + calls {
        let one = call(&client, service, path, &key).await;
        let other = call(&client, entry, path, &key).await;
        if number >= WARM_UP {
            direct.push(one);
            through.push(other);
        }
    }
    direct.sort_unstable();
    through.sort_unstable();
    (direct, through)
}

async fn call(client: &Client, addr: SocketAddr, path: &str, key: &str) -> u32 {
    let start = Instant::now();
    let req = Request::get(path)
        .header("authorization", format!("Bearer {key}"))
        .body(Full::<Bytes>::default());
    let Ok(req) = req else { return 0 };
    if let Ok(resp) = client.send(addr, req).await {
        // A lost answer shows as a call that took no time to be answered, which p50 and p99 of
        // thousands of calls bear.
        let _ = resp.into_body().collect().await;
    }
    start.elapsed().as_micros() as u32
}

/// Streams as many generations as the engines run at once; gives tokens and processor seconds.
async fn relay(deployment: &Deployment, scenario: &Scenario) -> (f64, f64) {
    let timer = Timer::new();
    let caller = Caller::new(timer);
    let entry = deployment.instances[0].listen;
    let streams = scenario.plan.engine.max_running * scenario.plan.engines;
    let start = |length| -> Vec<_> {
        let one = |number| {
            let (caller, wanted) = (caller.clone(), generate(scenario, number, length));
            workers::spawn(async move { caller.follow(&[entry], &wanted).await })
        };
        (0..streams).map(one).collect()
    };
    // Limits grow with what has finished, so short ones go first.
    for _ in 0..SHORT_ROUNDS {
        for task in start(SHORT) {
            task.await;
        }
    }
    let tasks = start(LONG);
    timer.sleep(WINDOW).await;
    let (tokens, cpu) = (tokens(deployment).await, used(deployment));
    timer.sleep(WINDOW).await;
    let sums = (
        self::tokens(deployment).await - tokens,
        used(deployment) - cpu,
    );
    drop(tasks);
    sums
}

fn generate(scenario: &Scenario, number: usize, length: u64) -> Wanted {
    let kind = scenario.mix.iter().find(|kind| kind.generate.is_some());
    let shape = kind.and_then(|kind| kind.generate.as_ref());
    let name = format!("{length}-{number}");
    let mut rng = fastrand::Rng::with_seed(number as u64);
    let mut what = match shape {
        Some(shape) => generation(&scenario.plan.model, shape, &name, &mut rng),
        None => What::Plain {
            method: "GET".to_owned(),
            path: "/".to_owned(),
            idempotency_key: None,
        },
    };
    if let What::Generate { output, .. } = &mut what {
        *output = length;
    }
    Wanted {
        name,
        kind: "generation".to_owned(),
        class: types::Class::Normal,
        key: key_of(&scenario.plan.workspaces[0]),
        what,
    }
}

async fn tokens(deployment: &Deployment) -> f64 {
    let mut sum = 0;
    for engine in &deployment.engines {
        let log: Option<EngineLog> = deployment.log(engine.addr, "/control/log?brief").await;
        sum += log.map_or(0, |log| log.totals.tokens);
    }
    sum as f64
}

fn used(deployment: &Deployment) -> f64 {
    let process = deployment.instances[0].process.as_ref();
    process.map_or(0.0, |p| p.cpu().as_secs_f64())
}
