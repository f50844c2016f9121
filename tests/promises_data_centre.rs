//! A data centre that operators take out gets no new work within seconds, and loses none.

mod support;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bench::{
    caller::{Caller, Outcome, Record, Wanted, What},
    deployment::{Deployment, Plan},
    verify::{Logs, breaches},
};
use smol::{Task, future};
use standins::platform;
use timer::Timer;

/// Time between two requests of the load.
const PACE: Duration = Duration::from_millis(40);
/// Time within which a data centre that was taken out must stop getting new work.
const SETTLE: Duration = Duration::from_secs(3);
/// How long it is watched after that.
const WATCH: Duration = Duration::from_secs(3);
/// Time between two looks at something that takes a while.
const POLL: Duration = Duration::from_millis(50);
/// Looks before a test gives up.
const LOOKS: usize = 200;
/// Time for an instance to end when it is stopped as planned.
const STOP_PATIENCE: Duration = Duration::from_secs(60);
/// Time until the balancer's list no longer names an instance that stops.
const BALANCER_LAG: Duration = Duration::from_millis(500);
/// The data centre that leaves.
const ZONE: &str = "dc-1";

fn plan() -> Plan {
    let mut plan = support::plan();
    plan.engine.lifecycle.warm = true;
    plan.engine.step_ms = 10.0;
    plan.replica.lifecycle.warm = true;
    plan
}

fn draft(name: &str, output: u64) -> Wanted {
    let what = What::Generate {
        model: "catalogue".into(),
        route: None,
        prompt: "A long synopsis, please.".into(),
        output,
        most: 400,
    };
    Wanted::new(name, "key-editors", what)
}

fn lookup(name: &str) -> Wanted {
    let what = What::Plain {
        method: "GET".into(),
        path: "/titles/7".into(),
        idempotency_key: None,
    };
    Wanted::new(name, "key-viewers", what)
}

/// The balancer's list: an instance that was started is on it once it says that it is ready.
#[derive(Clone)]
struct Balancer {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries: Arc::new(Mutex::new(entries)),
        }
    }

    fn set(&self, entries: Vec<SocketAddr>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// All instances, another one first each time.
    fn choose(&self, number: usize) -> Vec<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut addrs = entries.clone();
        addrs.rotate_left(number % entries.len());
        addrs
    }
}

/// Sends drafts and lookups at every instance in turn until told to end.
fn load(balancer: Balancer, ends: Arc<AtomicBool>) -> Task<Vec<Record>> {
    workers::spawn(async move {
        let caller = Caller::new(Timer::new());
        let mut sent = Vec::new();
        let mut number = 0;
        while !ends.load(Ordering::Relaxed) {
            let addrs = balancer.choose(number);
            let output = if number % 10 == 0 { 200 } else { 10 };
            let wanted = [
                draft(&format!("draft-{number}"), output),
                lookup(&format!("lookup-{number}")),
            ];
            for wanted in wanted {
                let (caller, addrs) = (caller.clone(), addrs.clone());
                sent.push(workers::spawn(async move {
                    caller.follow(&addrs, &wanted).await
                }));
            }
            number += 1;
            smol::Timer::after(PACE).await;
        }
        let mut records = Vec::new();
        for task in sent {
            records.push(task.await);
        }
        records
    })
}

/// The requests that targets of the data centre have taken so far, by the callers' names.
fn taken(deployment: &Deployment, logs: &Logs) -> BTreeSet<String> {
    let mut taken = BTreeSet::new();
    for engine in deployment.engines.iter().filter(|e| e.zone == ZONE) {
        let all = logs.engines[&engine.name].generations.iter();
        taken.extend(all.map(|g| g.caller.clone()));
    }
    for service in deployment.services.iter().filter(|s| s.zone == ZONE) {
        taken.extend(logs.services[&service.name].lookups.keys().cloned());
    }
    taken
}

/// Waits until targets of the data centre have taken further requests of these kinds.
async fn until_taken(
    deployment: &Deployment,
    before: &BTreeSet<String>,
    kinds: &[&str],
    when: &str,
) {
    for _ in 0..LOOKS {
        let now = taken(deployment, &deployment.logs().await);
        let fresh: Vec<&String> = now.difference(before).collect();
        let has = |kind: &str| fresh.iter().any(|name| name.starts_with(kind));
        if kinds.iter().all(|kind| has(kind)) {
            return;
        }
        smol::Timer::after(POLL).await;
    }
    let now = taken(deployment, &deployment.logs().await);
    let fresh: Vec<&String> = now.difference(before).take(5).collect();
    let tails: Vec<String> = (0..deployment.instances.len())
        .map(|number| deployment.tail(number))
        .collect();
    let tails = tails.join("\n\n");
    panic!("{ZONE} gets no work {when}, only {fresh:?}\n{tails}");
}

async fn table_down(deployment: &Deployment, down: bool) {
    let faults = platform::Faults {
        table_down: Some(down),
        ..platform::Faults::default()
    };
    deployment.platform_fault(&faults).await;
}

// Operators take a data centre out before its power is cut. An instance that has not heard of it,
// because the table service went down right after or because it was just started, would go on
// sending work there, and callers would lose it together with the machines.
#[test]
fn a_data_centre_that_was_taken_out_gets_no_new_work_and_loses_none() {
    let mut setting = support::start(&plan());
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        let ends = Arc::new(AtomicBool::new(false));
        let balancer = Balancer::new(deployment.entries());
        let load = load(balancer.clone(), Arc::clone(&ends));
        until_taken(
            deployment,
            &BTreeSet::new(),
            &["draft", "lookup"],
            "at the start",
        )
        .await;

        assert!(deployment.turn(ZONE, "out").await);
        table_down(deployment, true).await;
        smol::Timer::after(SETTLE).await;
        let settled = taken(deployment, &deployment.logs().await);
        smol::Timer::after(WATCH).await;
        let later = taken(deployment, &deployment.logs().await);
        let late: Vec<&String> = later.difference(&settled).collect();
        assert!(late.is_empty(), "new work with the table down: {late:?}");

        // An instance that has just been started knows the order from the others.
        // The balancer drops it from its list while it still serves, as it does in operation.
        let others = deployment.entries()[..2].to_vec();
        let listed = balancer.clone();
        let drops = async {
            smol::Timer::after(BALANCER_LAG).await;
            listed.set(others);
        };
        let stops = deployment.stop_instance(2, STOP_PATIENCE);
        let (ended, ()) = future::zip(stops, drops).await;
        assert!(ended, "{}", deployment.tail(2));
        deployment.start_instance(2).await.expect("it starts");
        deployment.until_ready().await.expect("it takes work");
        balancer.set(deployment.entries());
        smol::Timer::after(WATCH).await;
        table_down(deployment, false).await;
        smol::Timer::after(WATCH).await;
        let later = taken(deployment, &deployment.logs().await);
        let late: Vec<&String> = later.difference(&settled).collect();
        assert!(late.is_empty(), "new work after a start: {late:?}");

        assert!(deployment.turn(ZONE, "in").await);
        // Lookups are so few that one service may do for all of them.
        until_taken(deployment, &later, &["draft"], "after it came back").await;
        ends.store(true, Ordering::Relaxed);
        let records = load.await;
        for record in &records {
            assert_eq!(record.outcome, Outcome::Whole, "{}", record.name);
            assert_eq!(record.resumed, 0, "{} was cut", record.name);
        }
        let breaches = breaches(&records, &deployment.logs().await);
        assert_eq!(breaches, Vec::<String>::new());
    });
}
