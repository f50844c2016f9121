//! A data centre that operators take out gets no new requests within seconds, and loses none in
//! flight.

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

/// Time between two pairs of a draft and a lookup.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a data centre that was taken out must get no new requests.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long it is observed after that.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of polls after which a test gives up.
const MAX_POLLS: usize = 200;
/// How long the end of an instance is awaited after a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Time until the balancer's list no longer names a stopping instance.
const BALANCER_LAG: Duration = Duration::from_millis(500);
/// The data centre that is taken out.
const DATA_CENTRE: &str = "dc-1";

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

/// The balancer's list of instances that reported that they are ready.
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

    /// All instances, rotated by `number`.
    fn choose(&self, number: usize) -> Vec<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut addrs = entries.clone();
        addrs.rotate_left(number % entries.len());
        addrs
    }
}

/// Sends drafts and lookups to the instances in turn until `is_over` is set.
fn send_load(balancer: Balancer, is_over: Arc<AtomicBool>) -> Task<Vec<Record>> {
    workers::spawn(async move {
        let caller = Caller::new(Timer::new());
        let mut sent = Vec::new();
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
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
            smol::Timer::after(REQUEST_INTERVAL).await;
        }
        let mut records = Vec::new();
        for task in sent {
            records.push(task.await);
        }
        records
    })
}

/// Names of the requests that targets of the data centre have received so far.
fn received(deployment: &Deployment, logs: &Logs) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for engine in deployment.engines.iter().filter(|e| e.zone == DATA_CENTRE) {
        let all = logs.engines[&engine.name].generations.iter();
        names.extend(all.map(|g| g.caller.clone()));
    }
    for service in deployment.services.iter().filter(|s| s.zone == DATA_CENTRE) {
        names.extend(logs.services[&service.name].lookups.keys().cloned());
    }
    names
}

/// Waits until targets of the data centre have received further requests of these kinds.
async fn until_received(
    deployment: &Deployment,
    before: &BTreeSet<String>,
    kinds: &[&str],
    when: &str,
) {
    for _ in 0..MAX_POLLS {
        let now = received(deployment, &deployment.logs().await);
        let fresh: Vec<&String> = now.difference(before).collect();
        let has = |kind: &str| fresh.iter().any(|name| name.starts_with(kind));
        if kinds.iter().all(|kind| has(kind)) {
            return;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    let now = received(deployment, &deployment.logs().await);
    let fresh: Vec<&String> = now.difference(before).take(5).collect();
    let tails: Vec<String> = (0..deployment.instances.len())
        .map(|number| deployment.tail(number))
        .collect();
    let tails = tails.join("\n\n");
    panic!("{DATA_CENTRE} gets too few requests {when}, only {fresh:?}\n{tails}");
}

async fn set_table_down(deployment: &Deployment, down: bool) {
    let faults = platform::Faults {
        table_down: Some(down),
        ..platform::Faults::default()
    };
    deployment.platform_fault(&faults).await;
}

/// Operators take a data centre out before its power is cut. Guards against instances that don't
/// know of it, because the table service went down right after or because they have just been
/// started, and continue to send requests there that would be lost.
#[test]
fn a_data_centre_that_was_taken_out_gets_no_new_requests_and_loses_none() {
    let mut started = support::start(&plan());
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let is_over = Arc::new(AtomicBool::new(false));
        let balancer = Balancer::new(deployment.entries());
        let load = send_load(balancer.clone(), Arc::clone(&is_over));
        until_received(
            deployment,
            &BTreeSet::new(),
            &["draft", "lookup"],
            "at the start",
        )
        .await;

        assert!(deployment.turn(DATA_CENTRE, "out").await);
        set_table_down(deployment, true).await;
        smol::Timer::after(SETTLE_TIME).await;
        let settled = received(deployment, &deployment.logs().await);
        smol::Timer::after(OBSERVATION_TIME).await;
        let later = received(deployment, &deployment.logs().await);
        let late: Vec<&String> = later.difference(&settled).collect();
        assert!(
            late.is_empty(),
            "new requests during the table service's outage: {late:?}"
        );

        // A restarted instance gets the change from its peers. The balancer removes the instance
        // from its list while it still serves, as in operation.
        let others = deployment.entries()[..2].to_vec();
        let listed = balancer.clone();
        let delist = async {
            smol::Timer::after(BALANCER_LAG).await;
            listed.set(others);
        };
        let stop = deployment.stop_instance(2, STOP_TIMEOUT);
        let (ended, ()) = future::zip(stop, delist).await;
        assert!(ended, "{}", deployment.tail(2));
        deployment.start_instance(2).await.expect("it starts");
        deployment.until_ready().await.expect("it is ready");
        balancer.set(deployment.entries());
        smol::Timer::after(OBSERVATION_TIME).await;
        set_table_down(deployment, false).await;
        smol::Timer::after(OBSERVATION_TIME).await;
        let later = received(deployment, &deployment.logs().await);
        let late: Vec<&String> = later.difference(&settled).collect();
        assert!(late.is_empty(), "new requests after a restart: {late:?}");

        assert!(deployment.turn(DATA_CENTRE, "in").await);
        // Lookups are so few that a single service may serve all of them.
        until_received(deployment, &later, &["draft"], "after it was taken in").await;
        is_over.store(true, Ordering::Relaxed);
        let records = load.await;
        for record in &records {
            assert_eq!(record.outcome, Outcome::Whole, "{}", record.name);
            assert_eq!(record.resumed, 0, "{} was interrupted", record.name);
        }
        let breaches = breaches(&records, &deployment.logs().await);
        assert_eq!(breaches, Vec::<String>::new());
    });
}
