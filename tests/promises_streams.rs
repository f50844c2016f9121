//! Each token reaches its caller once, in order and from one generation, also when instances or
//! engines crash or stop.

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

/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a test gives up.
const MAX_POLLS: usize = 1500;
/// Tokens of a stream that takes several seconds.
const LONG_TOKENS: u64 = 150;
/// How long the end of an instance is awaited after a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of short drafts that make three engines warm.
const WARM_UP_DRAFTS: usize = 60;
/// A stall of an engine that outlasts any of these tests, unless it is ended.
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
        most: 2 * LONG_TOKENS,
    };
    Wanted::new(name, "key-editors", what)
}

fn follow(caller: &Caller, addrs: &[SocketAddr], wanted: Wanted) -> Task<Record> {
    let (caller, addrs) = (caller.clone(), addrs.to_vec());
    workers::spawn(async move { caller.follow(&addrs, &wanted).await })
}

/// Sends short drafts until each engine is known to be warm: instances send only one request at a
/// time to a cold engine.
async fn warm_up(deployment: &Deployment, caller: &Caller) {
    let entries = deployment.entries();
    let drafts = (0..WARM_UP_DRAFTS).map(|n| {
        let addr = entries[n % entries.len()];
        follow(caller, &[addr], draft(&format!("warm-up-{n}"), 2))
    });
    for stream in drafts.collect::<Vec<_>>() {
        assert_eq!(stream.await.outcome, Outcome::Whole);
    }
}

/// The logs of all targets; waits for those of engines that are restarting.
async fn logs(deployment: &Deployment) -> Logs {
    for _ in 0..MAX_POLLS {
        let logs = deployment.logs().await;
        if logs.engines.len() == deployment.engines.len() {
            return logs;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    panic!("an engine did not restart");
}

/// The generations that engines started for a caller's request, each with the engine's index.
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

/// Waits until an engine has produced this many tokens for a request; returns the engine's index.
async fn until_produced(deployment: &Deployment, name: &str, tokens: u64) -> usize {
    for _ in 0..MAX_POLLS {
        let found = generations(deployment, name).await;
        let begun = found.iter().find(|(_, g)| g.produced >= tokens);
        if let Some((number, _)) = begun {
            return *number;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    let tails: Vec<String> = (0..deployment.instances.len())
        .map(|number| deployment.tail(number))
        .collect();
    let found = generations(deployment, name).await;
    let tails = tails.join("\n\n");
    panic!("{name} never reached {tokens} tokens: {found:?}\n{tails}");
}

async fn inject(deployment: &Deployment, engine: usize, action: FaultAction) {
    let faults = Faults {
        action: Some(action),
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

async fn assert_no_violation(deployment: &Deployment, records: &[Record]) {
    let breaches = breaches(records, &logs(deployment).await);
    assert_eq!(breaches, Vec::<String>::new());
}

/// The instance between a caller and its engine is killed, and the balancer sends the caller to
/// another one that doesn't know the stream. If that one started a new generation, the text would
/// start over or jump; if it resumed at the wrong token, words would be missing.
#[test]
fn a_stream_is_resumed_at_another_instance_after_its_own_was_killed() {
    let mut started = support::start(&plan());
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let caller = Caller::new(Timer::new());
        warm_up(deployment, &caller).await;
        let entries = deployment.entries();
        let names: Vec<String> = (0..6).map(|n| format!("draft-{n}")).collect();
        let mut streams = Vec::new();
        for (number, name) in names.iter().enumerate() {
            let next = entries[1 + number % 2];
            streams.push(follow(
                &caller,
                &[entries[0], next],
                draft(name, LONG_TOKENS),
            ));
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
                (LONG_TOKENS, 1),
                "{}",
                record.name
            );
            let begun = generations(deployment, &record.name).await;
            assert_eq!(begun.len(), 1, "{} was started as {begun:?}", record.name);
        }
        assert_no_violation(deployment, &records).await;
    });
}

/// An engine crashes. Before the first token the draft can be generated by another engine, and its
/// caller only waits longer. After the first token a second generation would join two different
/// drafts, so that the caller must get the truncated stream and see that it is not complete.
#[test]
fn streams_of_a_crashed_engine_restart_before_their_first_token_or_end_as_truncated() {
    let mut started = support::start(&plan());
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let caller = Caller::new(Timer::new());
        let entries = deployment.entries();
        let mut records = Vec::new();

        stall(deployment, STALL_MS).await;
        let stream = follow(&caller, &entries[..1], draft("unseen", 20));
        let engine = until_produced(deployment, "unseen", 0).await;
        inject(deployment, engine, FaultAction::Crash).await;
        stall(deployment, 0).await;
        let record = stream.await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        assert_eq!((record.tokens, record.resumed), (20, 0));
        let begun = generations(deployment, "unseen").await;
        let ends: Vec<Option<EndReason>> = begun.iter().map(|(_, g)| g.end).collect();
        assert!(ends.contains(&Some(EndReason::Dropped)), "{begun:?}");
        records.push(record);

        let stream = follow(&caller, &entries[1..2], draft("seen", LONG_TOKENS));
        let engine = until_produced(deployment, "seen", 10).await;
        inject(deployment, engine, FaultAction::Crash).await;
        let record = stream.await;
        assert_eq!(record.outcome, Outcome::Partial, "{}", deployment.tail(1));
        assert!((1..LONG_TOKENS).contains(&record.tokens), "{record:?}");
        let begun = generations(deployment, "seen").await;
        assert_eq!(begun.len(), 1, "{begun:?}");
        records.push(record);
        assert_no_violation(deployment, &records).await;
    });
}

/// Each instance is stopped in turn while long drafts run through it, and the balancer, whose list
/// lags, keeps sending it new requests for a while. Guards against streams that break off and that
/// their callers have to resume at another instance.
#[test]
fn a_planned_stop_of_each_instance_in_turn_truncates_no_stream() {
    let mut started = support::start(&plan());
    let deployment = &mut started.deployment;
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
                .map(|name| follow(&caller, &addrs, draft(name, LONG_TOKENS)));
            let mut streams: Vec<Task<Record>> = streams.collect();
            for name in &long {
                until_produced(deployment, name, 1).await;
            }
            // The balancer still lists the instance, which may refuse new connections.
            let late = {
                let (caller, addrs) = (caller.clone(), addrs.clone());
                workers::spawn(async move {
                    let mut sent = Vec::new();
                    for n in 0..40 {
                        sent.push(follow(
                            &caller,
                            &addrs,
                            draft(&format!("late-{number}-{n}"), 10),
                        ));
                        smol::Timer::after(POLL_INTERVAL).await;
                    }
                    sent
                })
            };
            let ended = deployment.stop_instance(number, STOP_TIMEOUT).await;
            assert!(
                ended,
                "instance {number} did not end:\n{}",
                deployment.tail(number)
            );
            streams.extend(late.await);
            for stream in streams {
                records.push(stream.await);
            }
            deployment
                .start_instance(number)
                .await
                .expect("it restarts");
            deployment
                .until_ready()
                .await
                .expect("all instances are ready again");
        }
        for record in &records {
            assert_eq!(record.outcome, Outcome::Whole, "{}", record.name);
            assert_eq!(record.resumed, 0, "{} was interrupted", record.name);
        }
        assert_no_violation(deployment, &records).await;
    });
}
