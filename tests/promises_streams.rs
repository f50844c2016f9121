//! Each token reaches its caller once, in order, from one generation, whatever dies or stops.

mod support;

use std::{net::SocketAddr, time::Duration};

use bench::{
    caller::{Caller, Outcome, Record, Wanted, What},
    deployment::{Deployment, Plan},
    process::Signal,
    verify::{Logs, breaches},
};
use smol::Task;
use standins::{
    engine::batch::{EndReason, Generation},
    lifecycle::{FaultAction, Faults},
};
use timer::Timer;

/// Time between two looks at something that takes a while.
const POLL: Duration = Duration::from_millis(20);
/// Looks before a test gives up.
const LOOKS: usize = 1500;
/// Tokens of a long stream: seconds of it.
const LONG: u64 = 150;
/// Time for an instance to end when it is stopped as planned.
const STOP_PATIENCE: Duration = Duration::from_secs(60);
/// Short drafts that make three engines warm.
const WARM_UP: usize = 60;
/// Longer than any engine stands still in these tests.
const STALL_MS: u64 = 60_000;

fn plan() -> Plan {
    let mut plan = support::plan();
    plan.engine.lifecycle.warm = true;
    plan
}

fn draft(name: &str, output: u64) -> Wanted {
    let what = What::Generate {
        model: "catalogue".into(),
        route: None,
        prompt: "A long synopsis, please.".into(),
        output,
        most: 2 * LONG,
    };
    Wanted::new(name, "key-editors", what)
}

fn follow(caller: &Caller, addrs: &[SocketAddr], wanted: Wanted) -> Task<Record> {
    let (caller, addrs) = (caller.clone(), addrs.to_vec());
    workers::spawn(async move { caller.follow(&addrs, &wanted).await })
}

/// Short drafts until each engine has shown that it is warm: to a cold one instances send one
/// request after another.
async fn warm_up(deployment: &Deployment, caller: &Caller) {
    let entries = deployment.entries();
    let drafts = (0..WARM_UP).map(|n| {
        let addr = entries[n % entries.len()];
        follow(caller, &[addr], draft(&format!("warm-up-{n}"), 2))
    });
    for stream in drafts.collect::<Vec<_>>() {
        assert_eq!(stream.await.outcome, Outcome::Whole);
    }
}

/// The logs of all targets; one that has just crashed tells its own when it is back.
async fn logs(deployment: &Deployment) -> Logs {
    for _ in 0..LOOKS {
        let logs = deployment.logs().await;
        if logs.engines.len() == deployment.engines.len() {
            return logs;
        }
        smol::Timer::after(POLL).await;
    }
    panic!("an engine did not come back");
}

/// The generations that engines began for a caller's request, with the engine's number.
async fn generations(deployment: &Deployment, name: &str) -> Vec<(usize, Generation)> {
    let logs = logs(deployment).await;
    let mut found = Vec::new();
    for (number, engine) in deployment.engines.iter().enumerate() {
        let all = logs.engines[&engine.name].generations.iter();
        let own = all.filter(|g| g.caller == name);
        found.extend(own.map(|g| (number, g.clone())));
    }
    found
}

/// Waits until an engine has produced so many tokens for a request; tells which engine.
async fn until_produced(deployment: &Deployment, name: &str, tokens: u64) -> usize {
    for _ in 0..LOOKS {
        let found = generations(deployment, name).await;
        let begun = found.iter().find(|(_, g)| g.produced >= tokens);
        if let Some((number, _)) = begun {
            return *number;
        }
        smol::Timer::after(POLL).await;
    }
    let tails: Vec<String> = (0..deployment.instances.len())
        .map(|number| deployment.tail(number))
        .collect();
    let found = generations(deployment, name).await;
    let tails = tails.join("\n\n");
    panic!("{name} never had {tokens} tokens: {found:?}\n{tails}");
}

async fn act(deployment: &Deployment, engine: usize, act: FaultAction) {
    let faults = Faults {
        action: Some(act),
        ..Faults::default()
    };
    deployment
        .fault(deployment.engines[engine].addr, &faults)
        .await;
}

async fn stall(deployment: &Deployment, stall_ms: u64) {
    let faults = Faults {
        stall_ms: Some(stall_ms),
        ..Faults::default()
    };
    for engine in &deployment.engines {
        deployment.fault(engine.addr, &faults).await;
    }
}

async fn assert_no_breach(deployment: &Deployment, records: &[Record]) {
    let breaches = breaches(records, &logs(deployment).await);
    assert_eq!(breaches, Vec::<String>::new());
}

// The instance between a caller and its engine is killed, and the balancer sends the caller to
// another one, which has never heard of the stream. If that one began anew, the reader would see
// the draft start over or jump; if it asked for too little, words would be missing.
#[test]
fn a_stream_goes_on_at_another_instance_after_its_own_was_killed() {
    let mut setting = support::start(&plan());
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        let caller = Caller::new(Timer::new());
        warm_up(deployment, &caller).await;
        let entries = deployment.entries();
        let names: Vec<String> = (0..6).map(|n| format!("draft-{n}")).collect();
        let mut streams = Vec::new();
        for (number, name) in names.iter().enumerate() {
            let next = entries[1 + number % 2];
            streams.push(follow(&caller, &[entries[0], next], draft(name, LONG)));
        }
        for name in &names {
            until_produced(deployment, name, 3).await;
        }
        deployment.signal(0, Signal::Kill);
        let mut records = Vec::new();
        for stream in streams {
            records.push(stream.await);
        }
        for record in &records {
            assert_eq!(record.outcome, Outcome::Whole, "{}", record.name);
            assert_eq!(
                (record.tokens, record.resumed),
                (LONG, 1),
                "{}",
                record.name
            );
            let begun = generations(deployment, &record.name).await;
            assert_eq!(begun.len(), 1, "{} began {begun:?}", record.name);
        }
        assert_no_breach(deployment, &records).await;
    });
}

// An engine dies. Before the first token nothing has been shown, so the draft can come from
// another engine and the reader only waits longer. After it, a second generation would put two
// different drafts together; the reader must see what there is, and that it is not all.
#[test]
fn an_engine_that_dies_ends_its_streams_openly_or_is_replaced_before_the_first_token() {
    let mut setting = support::start(&plan());
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        let caller = Caller::new(Timer::new());
        let entries = deployment.entries();
        let mut records = Vec::new();

        stall(deployment, STALL_MS).await;
        let stream = follow(&caller, &entries[..1], draft("unseen", 20));
        let engine = until_produced(deployment, "unseen", 0).await;
        act(deployment, engine, FaultAction::Crash).await;
        stall(deployment, 0).await;
        let record = stream.await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        assert_eq!((record.tokens, record.resumed), (20, 0));
        let begun = generations(deployment, "unseen").await;
        let ends: Vec<Option<EndReason>> = begun.iter().map(|(_, g)| g.end).collect();
        assert!(ends.contains(&Some(EndReason::Dropped)), "{begun:?}");
        records.push(record);

        let stream = follow(&caller, &entries[1..2], draft("seen", LONG));
        let engine = until_produced(deployment, "seen", 10).await;
        act(deployment, engine, FaultAction::Crash).await;
        let record = stream.await;
        assert_eq!(record.outcome, Outcome::Partial, "{}", deployment.tail(1));
        assert!((1..LONG).contains(&record.tokens), "{record:?}");
        let begun = generations(deployment, "seen").await;
        assert_eq!(begun.len(), 1, "{begun:?}");
        records.push(record);
        assert_no_breach(deployment, &records).await;
    });
}

// Each instance is replaced in turn while long drafts run through it, and the balancer, whose
// list lags, keeps sending it new work for a while. A reader would see a draft break off, and
// have to go on with it at another instance.
#[test]
fn a_planned_stop_of_each_instance_in_turn_cuts_nothing() {
    let mut setting = support::start(&plan());
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        let caller = Caller::new(Timer::new());
        let mut records = Vec::new();
        warm_up(deployment, &caller).await;
        for number in 0..deployment.instances.len() {
            let mut addrs = deployment.entries();
            addrs.rotate_left(number);
            let long: Vec<String> = (0..6).map(|n| format!("long-{number}-{n}")).collect();
            let streams = long
                .iter()
                .map(|name| follow(&caller, &addrs, draft(name, LONG)));
            let mut streams: Vec<Task<Record>> = streams.collect();
            for name in &long {
                until_produced(deployment, name, 1).await;
            }
            // Connections are made anew or refused; the list still names the instance.
            let lagging = {
                let (caller, addrs) = (caller.clone(), addrs.clone());
                workers::spawn(async move {
                    let mut sent = Vec::new();
                    for n in 0..40 {
                        sent.push(follow(
                            &caller,
                            &addrs,
                            draft(&format!("late-{number}-{n}"), 10),
                        ));
                        smol::Timer::after(POLL).await;
                    }
                    sent
                })
            };
            let ended = deployment.stop_instance(number, STOP_PATIENCE).await;
            assert!(
                ended,
                "instance {number} did not end:\n{}",
                deployment.tail(number)
            );
            streams.extend(lagging.await);
            for stream in streams {
                records.push(stream.await);
            }
            deployment
                .start_instance(number)
                .await
                .expect("it starts again");
            deployment.until_ready().await.expect("all take work again");
        }
        for record in &records {
            assert_eq!(record.outcome, Outcome::Whole, "{}", record.name);
            assert_eq!(record.resumed, 0, "{} was cut", record.name);
        }
        assert_no_breach(deployment, &records).await;
    });
}
