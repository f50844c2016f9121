//! One run: arrivals against a deployment.

use std::{collections::BTreeMap, io, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use futures_lite::future;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use settings::Strategy;
use smol::Task;
use standins::engine::EngineLog;
use timer::Timer;

use crate::{
    caller::{Caller, Record},
    deployment::Deployment,
    process::Programs,
    scenario::{Arrival, Scenario},
};

/// Time after the last arrival in which requests may still end.
const DRAIN: Duration = Duration::from_secs(60);
/// Seconds within which a data centre that was taken out must stop getting new work.
const SETTLE: f64 = 3.0;

/// What is asked of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// How requests are placed.
    pub strategy: Strategy,
    /// Load, in parts of what the engines bear.
    pub load: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Seconds that count, after the warm-up.
    pub seconds: f64,
    /// A data centre that leaves and returns.
    pub outing: Option<Outing>,
}

/// A data centre leaves and returns.
#[derive(Clone, Debug)]
pub struct Outing {
    /// Which one.
    pub zone: String,
    /// When it is taken out, in seconds from the start.
    pub out: f64,
    /// When it is taken back in.
    pub back: f64,
}

/// What engines did while it counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Engines {
    /// Preemptions.
    pub preemptions: u64,
    /// Seconds that preempted streams stood still.
    pub stall_s: f64,
    /// Tokens produced.
    pub tokens: u64,
    /// Cold engines that were given more than they bear, from the very start.
    pub overfills: u32,
    /// Largest part of its memory that any engine filled.
    pub most_used: f64,
}

/// What came of an outing.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Left {
    /// Generations that engines of the data centre took later than 3 s after it was taken out.
    pub late: usize,
    /// Whether both changes were accepted.
    pub accepted: bool,
}

/// What a run brought.
pub struct Measured {
    /// All requests sent after the warm-up.
    pub records: Vec<Record>,
    /// Requests that did not end in time.
    pub unended: usize,
    /// What the engines did.
    pub engines: Engines,
    /// What came of the outing.
    pub left: Option<Left>,
    /// Processor time of all instances, in seconds, over the whole run.
    pub cpu_s: f64,
    /// Largest resident memory of an instance at the end, in bytes.
    pub memory: u64,
}

/// Runs a scenario once, on a deployment of its own.
///
/// # Errors
/// Passes on what did not start.
pub async fn run(
    programs: &Programs,
    scenario: &Scenario,
    run: &Run,
    dir: &Path,
) -> io::Result<Measured> {
    let logs = Some(dir);
    let plan = &scenario.plan;
    let deployment = Deployment::start(programs.clone(), plan, run.strategy, logs).await?;
    let deployment = Arc::new(deployment);
    let time = Duration::from_secs_f64(scenario.warm_up + run.seconds);
    let arrivals = scenario.arrivals(run.load, run.seed, time);
    let timer = Timer::new();
    let load = workers::spawn(send_all(timer, deployment.entries(), arrivals));
    let outing = run.outing.clone().map(|outing| {
        let deployment = Arc::clone(&deployment);
        workers::spawn(async move { out_and_back(timer, &deployment, &outing).await })
    });
    timer.sleep(Duration::from_secs_f64(scenario.warm_up)).await;
    let before = engines(&deployment).await;
    let (mut records, unended) = load.await;
    let left = match outing {
        Some(task) => Some(task.await),
        None => None,
    };
    let counted = (scenario.warm_up * 1000.0) as u64;
    records.retain(|record| record.sent_ms >= counted);
    let processes = || {
        deployment
            .instances
            .iter()
            .filter_map(|i| i.process.as_ref())
    };
    Ok(Measured {
        records,
        unended,
        engines: difference(engines(&deployment).await, before),
        left,
        cpu_s: processes().map(|p| p.cpu().as_secs_f64()).sum(),
        memory: processes().map(|p| p.memory()).max().unwrap_or(0),
    })
}

/// Sends each arrival at its time; gives the records, and the number of requests without end.
pub async fn send_all(
    timer: Timer,
    entries: Vec<SocketAddr>,
    arrivals: Vec<Arrival>,
) -> (Vec<Record>, usize) {
    let caller = Caller::new(timer);
    let sent = arrivals.len();
    let records: Arc<Mutex<Vec<Record>>> = Arc::default();
    let mut tasks: Vec<Task<()>> = Vec::with_capacity(sent);
    for arrival in arrivals {
        timer.sleep(arrival.at.saturating_sub(timer.now())).await;
        let mut addrs = entries.clone();
        let first = arrival.pick % addrs.len();
        addrs.rotate_left(first);
        let caller = caller.clone();
        let records = Arc::clone(&records);
        tasks.push(workers::spawn(async move {
            let record = caller.follow(&addrs, &arrival.wanted).await;
            records.lock().push(record);
        }));
    }
    let all = async {
        for task in tasks {
            task.await;
        }
    };
    let late = async { timer.sleep(DRAIN).await };
    future::or(all, late).await;
    let records = std::mem::take(&mut *records.lock());
    let unended = sent - records.len();
    (records, unended)
}

async fn out_and_back(timer: Timer, deployment: &Deployment, outing: &Outing) -> Left {
    let until = |at: f64| timer.sleep(Duration::from_secs_f64(at).saturating_sub(timer.now()));
    until(outing.out).await;
    let out = deployment.turn(&outing.zone, "out").await;
    until(outing.out + SETTLE).await;
    let before = taken(deployment, &outing.zone).await;
    until(outing.back).await;
    let after = taken(deployment, &outing.zone).await;
    let back = deployment.turn(&outing.zone, "in").await;
    Left {
        late: after - before,
        accepted: out && back,
    }
}

/// Generations that a data centre's engines have taken so far.
async fn taken(deployment: &Deployment, zone: &str) -> usize {
    let mut sum = 0;
    for engine in deployment.engines.iter().filter(|e| e.zone == zone) {
        let log: Option<EngineLog> = deployment.log(engine.addr, "/control/log").await;
        sum += log.map_or(0, |log| log.generations.len());
    }
    sum
}

async fn engines(deployment: &Deployment) -> BTreeMap<String, EngineLog> {
    let mut logs = BTreeMap::new();
    for engine in &deployment.engines {
        let log = deployment.log(engine.addr, "/control/log?brief").await;
        logs.insert(engine.name.clone(), log.unwrap_or_default());
    }
    logs
}

fn difference(after: BTreeMap<String, EngineLog>, before: BTreeMap<String, EngineLog>) -> Engines {
    let mut sum = Engines::default();
    for (name, log) in after {
        let start = before.get(&name).map(|log| log.totals).unwrap_or_default();
        sum.preemptions += log.totals.preemptions - start.preemptions;
        sum.stall_s += (log.totals.stall_ms - start.stall_ms) as f64 / 1000.0;
        sum.tokens += log.totals.tokens - start.tokens;
        sum.overfills += log.lifecycle.overfills;
        let used = log.totals.max_used as f64 / log.capacity.max(1) as f64;
        sum.most_used = sum.most_used.max(used);
    }
    sum
}
