//! A call that is not idempotent runs at most once, and refusals report correctly whether it ran.

mod support;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bench::{
    caller::{Caller, Outcome, Record, Wanted, What},
    deployment::{Deployment, Plan},
    process::Signal,
    verify::breaches,
};
use standins::{
    lifecycle::{FaultAction, Faults},
    platform,
};
use timer::Timer;
use types::Execution;

/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a test gives up.
const MAX_POLLS: usize = 1500;

fn plan() -> Plan {
    let mut plan = support::plan();
    plan.replica.lifecycle.warm = true;
    // Long enough that calls sent at the same time are in flight at the same time.
    plan.replica.latency_ms = 150.0;
    plan
}

fn save(name: &str, idempotency_key: Option<&str>) -> Wanted {
    let what = What::Plain {
        method: "POST".into(),
        path: "/watchlist".into(),
        idempotency_key: idempotency_key.map(String::from),
    };
    Wanted::new(name, "key-viewers", what)
}

async fn effects(deployment: &Deployment, name: &str) -> u32 {
    let logs = deployment.logs().await;
    let counts = logs
        .services
        .values()
        .filter_map(|log| log.effects.get(name));
    counts.sum()
}

async fn until_effect(deployment: &Deployment, name: &str) {
    for _ in 0..MAX_POLLS {
        if effects(deployment, name).await > 0 {
            return;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    let tails: Vec<String> = (0..deployment.instances.len())
        .map(|number| deployment.tail(number))
        .collect();
    panic!("{name} never took effect\n{}", tails.join("\n\n"));
}

/// Sends a call, and retries it while the refusal says that it is still running, as callers should.
async fn follow_until_settled(caller: &Caller, addr: SocketAddr, wanted: &Wanted) -> Record {
    for _ in 0..MAX_POLLS {
        let record = caller.follow(&[addr], wanted).await;
        let running =
            matches!(&record.outcome, Outcome::Refused { code, .. } if code == "still-running");
        if !running {
            return record;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    panic!("{} is still running", wanted.name);
}

/// Retries a call until the outage of the table service is over; returns the first other outcome.
async fn follow_until_table_up(caller: &Caller, addr: SocketAddr, wanted: &Wanted) -> Record {
    for _ in 0..MAX_POLLS {
        let record = caller.follow(&[addr], wanted).await;
        let down = matches!(&record.outcome, Outcome::Refused { code, .. } if code == "store-down");
        if !down {
            return record;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    panic!("the table service is still reported as down");
}

async fn set_never_answer(deployment: &Deployment, times: u32) {
    let faults = Faults {
        never_answer: Some(times),
        ..Faults::default()
    };
    for service in &deployment.services {
        deployment.fault(service.addr, &faults).await;
    }
}

async fn cut_services(deployment: &Deployment) {
    let faults = Faults {
        action: Some(FaultAction::Cut),
        ..Faults::default()
    };
    for service in &deployment.services {
        deployment.fault(service.addr, &faults).await;
    }
}

async fn set_table_down(deployment: &Deployment, down: bool) {
    let faults = platform::Faults {
        table_down: Some(down),
        ..platform::Faults::default()
    };
    deployment.platform_fault(&faults).await;
}

fn refusal(record: &Record) -> (u16, &str, Option<Execution>) {
    match &record.outcome {
        Outcome::Refused {
            status, code, run, ..
        } => (*status, code, *run),
        other => panic!("{} was not refused: {other:?}", record.name),
    }
}

async fn assert_no_violation(deployment: &Deployment, records: &[Record]) {
    let breaches = breaches(records, &deployment.logs().await);
    assert_eq!(breaches, Vec::<String>::new());
}

/// A caller or a proxy sends one save through three instances at the same moment. Without a claim
/// that all instances see, it would take effect three times.
#[test]
fn one_idempotency_key_sent_to_three_instances_at_once_takes_effect_once() {
    let mut started = support::start(&plan());
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let caller = Caller::new(Timer::new());
        let entries = deployment.entries();
        let mut records = Vec::new();
        for round in 0..5 {
            let name = format!("save-{round}");
            let wanted = save(&name, Some(&format!("key-{round}")));
            let sends: Vec<_> = entries
                .iter()
                .map(|addr| {
                    let (caller, addr, wanted) = (caller.clone(), *addr, wanted.clone());
                    workers::spawn(
                        async move { follow_until_settled(&caller, addr, &wanted).await },
                    )
                })
                .collect();
            for send in sends {
                let record = send.await;
                assert_eq!(record.outcome, Outcome::Whole, "{name}");
                records.push(record);
            }
            assert_eq!(effects(deployment, &name).await, 1, "{name}");
        }
        // Another body with a known key.
        let other = save("other", Some("key-0"));
        for addr in entries {
            let record = caller.follow(&[addr], &other).await;
            assert_eq!(
                refusal(&record),
                (422, "key-reused", Some(Execution::NotRun))
            );
            records.push(record);
        }
        assert_eq!(effects(deployment, "other").await, 0);
        assert_no_violation(deployment, &records).await;
    });
}

/// The instance that holds a key's claim is killed after it sent the call and before it recorded
/// the answer, or the table service is down, or the connection breaks after the effect. A retry by
/// the instance would run the call twice, and so would one by the caller if the call were reported
/// as not run.
#[test]
fn a_call_whose_outcome_is_unknown_never_runs_again() {
    let mut started = support::start(&plan());
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let caller = Caller::new(Timer::new());
        let entries = deployment.entries();
        let mut records = Vec::new();

        // The connection breaks after the effect of a call without a key.
        set_never_answer(deployment, 1).await;
        let keyless = save("keyless", None);
        let response = {
            let (caller, addr) = (caller.clone(), entries[0]);
            workers::spawn(async move { caller.follow(&[addr], &keyless).await })
        };
        until_effect(deployment, "keyless").await;
        cut_services(deployment).await;
        let record = response.await;
        assert_eq!(
            refusal(&record),
            (504, "answer-lost", Some(Execution::Unknown))
        );
        records.push(record);
        assert_eq!(effects(deployment, "keyless").await, 1);

        // The table service is down.
        set_never_answer(deployment, 0).await;
        set_table_down(deployment, true).await;
        for (number, addr) in entries.iter().enumerate() {
            let name = format!("outage-{number}");
            let record = caller.follow(&[*addr], &save(&name, Some(&name))).await;
            assert_eq!(
                refusal(&record),
                (503, "store-down", Some(Execution::NotRun))
            );
            assert_eq!(effects(deployment, &name).await, 0);
            records.push(record);
            // Calls without a key are still served.
            let name = format!("meanwhile-{number}");
            let record = caller.follow(&[*addr], &save(&name, None)).await;
            assert_eq!(record.outcome, Outcome::Whole);
            assert_eq!(effects(deployment, &name).await, 1);
            records.push(record);
        }
        set_table_down(deployment, false).await;
        let record =
            follow_until_table_up(&caller, entries[0], &save("after", Some("after"))).await;
        assert_eq!(record.outcome, Outcome::Whole);
        assert_eq!(effects(deployment, "after").await, 1);

        // The instance that holds the claim is killed after the effect and before it records the
        // answer.
        set_never_answer(deployment, 1).await;
        let keyed = save("keyed", Some("kept"));
        let response = {
            let (caller, addr, keyed) = (caller.clone(), entries[0], keyed.clone());
            workers::spawn(async move { caller.follow(&[addr], &keyed).await })
        };
        until_effect(deployment, "keyed").await;
        deployment.signal(0, Signal::Kill);
        assert_eq!(response.await.outcome, Outcome::Broken);
        set_never_answer(deployment, 0).await;
        let mut codes = BTreeMap::new();
        for addr in &entries[1..] {
            let record = follow_until_settled(&caller, *addr, &keyed).await;
            let (_, code, run) = refusal(&record);
            codes.insert(code.to_owned(), run);
        }
        let unknown = BTreeMap::from([("outcome-unknown".to_owned(), Some(Execution::Unknown))]);
        assert_eq!(codes, unknown, "all instances give the same refusal");
        assert_eq!(effects(deployment, "keyed").await, 1);
        assert_no_violation(deployment, &records).await;
    });
}
