//! Signals and planned stops leave no request without its answer.

mod support;

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use bench::{
    caller::{Caller, Outcome, Record, Wanted, What},
    deployment::{Deployment, OPERATOR_KEY, Plan},
    process::Signal,
};
use bytes::Bytes;
use events::Event;
use http_body_util::Full;
use hyper::Request;
use net::Client;
use smol::{Task, Timer, unblock};
use standins::platform;

/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a test gives up.
const MAX_POLLS: usize = 1500;
/// Tokens of a stream that takes several seconds.
const LONG_TOKENS: u64 = 150;
/// Shortly after this time since the order to stop, instances accept no further connections.
const ACCEPT_PERIOD: Duration = Duration::from_secs(1);
/// Time before the end of [`ACCEPT_PERIOD`] at which a connection is made that carries no request.
const IDLE_CONNECTION_LEAD: Duration = Duration::from_millis(20);
/// Time after the end of [`ACCEPT_PERIOD`] at which the first call is sent.
const FIRST_CALL_DELAY: Duration = Duration::from_millis(10);
/// How long the end of an instance is awaited after a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Seconds from the order to stop until the platform kills a process that has not ended.
const KILL_SECONDS: u64 = 4;
/// Latency of services that do not answer before then.
const ENDLESS_LATENCY_MS: f64 = 120_000.0;
/// Latency of the services: longer than an idle instance takes to end.
const LATENCY_MS: f64 = 900.0;
/// Calls to each instance as it stops accepting connections.
const LAST_CALLS: u32 = 4;

/// Calls to an instance during its start.
const EARLY_CALLS: usize = 60;
/// Time between two of these calls.
const EARLY_CALL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay of the table service's answers, which lets a change outlast an idle instance's stop.
const TABLE_DELAY_MS: u64 = 700;
/// How long an answer's body is awaited.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

fn plan() -> Plan {
    let mut plan = support::plan();
    plan.engine.lifecycle.warm = true;
    plan.replica.lifecycle.warm = true;
    plan
}

fn draft(name: &str) -> Wanted {
    let what = What::Generate {
        model: "catalogue".into(),
        route: None,
        prompt: "A long synopsis, please.".into(),
        output: LONG_TOKENS,
        most: 2 * LONG_TOKENS,
    };
    Wanted::new(name, "key-editors", what)
}

fn save(name: &str) -> Wanted {
    let what = What::Plain {
        method: "POST".into(),
        path: "/watchlist".into(),
        idempotency_key: None,
    };
    Wanted::new(name, "key-viewers", what)
}

fn follow(caller: &Caller, addr: SocketAddr, wanted: Wanted) -> Task<Record> {
    let caller = caller.clone();
    workers::spawn(async move { caller.follow(&[addr], &wanted).await })
}

async fn until_produced(deployment: &Deployment, name: &str, tokens: u64) {
    for _ in 0..MAX_POLLS {
        let logs = deployment.logs().await;
        let mut generations = logs.engines.values().flat_map(|log| &log.generations);
        if generations.any(|g| g.caller == name && g.produced >= tokens) {
            return;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    panic!(
        "{name} never reached {tokens} tokens:\n{}",
        deployment.tail(0)
    );
}

/// Waits until an instance reports that it is not ready.
async fn until_draining(deployment: &Deployment, number: usize) {
    for _ in 0..MAX_POLLS {
        if !deployment.is_ready(number).await {
            return;
        }
        Timer::after(Duration::from_millis(1)).await;
    }
    panic!("instance {number} is still ready");
}

async fn effects(deployment: &Deployment) -> BTreeMap<String, u32> {
    let logs = deployment.logs().await;
    let all = logs.services.into_values().flat_map(|log| log.effects);
    all.collect()
}

/// Writes a new node of the tree; returns the status, or `None` if no complete answer arrived.
async fn write_new(admin: SocketAddr, path: &str) -> Option<u16> {
    let req = Request::put(path)
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .header("content-type", "application/json")
        .header("if-none-match", "*")
        .body(Full::new(Bytes::from_static(b"{}")))
        .expect("a request");
    let resp = Client::new().send_fresh(admin, req).await.ok()?;
    let status = resp.status().as_u16();
    net::read_all(resp.into_body(), MAX_ANSWER_BYTES, BODY_TIMEOUT)
        .await
        .ok()?;
    Some(status)
}

/// Connects and sends a save without any delay between the two.
fn send_at_once(addr: SocketAddr, name: &str) -> io::Result<TcpStream> {
    let text = format!(
        "POST /watchlist HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-viewers\r\n\
         x-effect: {name}\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    let mut stream = TcpStream::connect(addr)?;
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}

/// Reads the status of an answer; `None` if no answer arrives.
fn read_status(stream: io::Result<TcpStream>) -> Option<u16> {
    let mut line = String::new();
    BufReader::new(stream.ok()?).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Guards against a hangup signal that ends the process and all its requests, as it does by
/// default.
#[test]
fn a_hangup_signal_aborts_no_request() {
    let mut started = support::start(&plan());
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let caller = Caller::new(timer::Timer::new());
        let entry = deployment.entries()[0];
        let stream = follow(&caller, entry, draft("draft"));
        until_produced(deployment, "draft", 3).await;
        deployment.signal(0, Signal::Reload);
        let record = stream.await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        assert_eq!(record.tokens, LONG_TOKENS);
        let record = caller.follow(&[entry], &save("after")).await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        let log_line = Event::HangUp.to_string();
        assert!(
            deployment.tail(0).contains(&log_line),
            "{}",
            deployment.tail(0)
        );
    });
}

/// Guards against a second terminate or a hangup signal that ends a shutdown before its last
/// request is answered.
#[test]
fn further_signals_during_a_stop_abort_no_request() {
    let mut started = support::start(&plan());
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let caller = Caller::new(timer::Timer::new());
        let entry = deployment.entries()[0];
        let stream = follow(&caller, entry, draft("draft"));
        until_produced(deployment, "draft", 3).await;
        for signal in [Signal::Terminate, Signal::Reload, Signal::Terminate] {
            deployment.signal(0, signal);
            Timer::after(POLL_INTERVAL * 5).await;
        }
        let ended = deployment.stop_instance(0, STOP_TIMEOUT).await;
        assert!(ended, "{}", deployment.tail(0));
        let record = stream.await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        assert_eq!((record.tokens, record.resumed), (LONG_TOKENS, 0));
    });
}

/// Guards against a process that ends before it has served the connection that it accepted last.
#[test]
fn a_call_over_a_connection_made_as_the_instance_stops_accepting_is_answered() {
    let mut plan = plan();
    plan.replica.latency_ms = LATENCY_MS;
    let mut started = support::start(&plan);
    let deployment = &mut started.deployment;
    smol::block_on(async {
        for number in 0..deployment.instances.len() {
            let addr = deployment.instances[number].listen;
            deployment.signal(number, Signal::Terminate);
            until_draining(deployment, number).await;
            Timer::after(ACCEPT_PERIOD.saturating_sub(IDLE_CONNECTION_LEAD)).await;
            // The server now waits for the next connection until after the first call.
            drop(TcpStream::connect(addr).expect("a connection"));
            Timer::after(IDLE_CONNECTION_LEAD + FIRST_CALL_DELAY).await;
            let calls: Vec<_> = (0..LAST_CALLS)
                .map(|call| (format!("last-{number}-{call}"), addr))
                .map(|(name, addr)| (send_at_once(addr, &name), name))
                .collect();
            let mut answers = Vec::new();
            for (stream, name) in calls {
                answers.push((name, unblock(|| read_status(stream)).await));
            }
            let ended = deployment.stop_instance(number, STOP_TIMEOUT).await;
            assert!(ended, "{}", deployment.tail(number));
            // Services complete a call even if its connection is gone.
            Timer::after(Duration::from_secs(1)).await;
            let effects = effects(deployment).await;
            for (name, answer) in answers {
                let ran = effects.contains_key(&name);
                assert!(
                    !ran || answer == Some(200),
                    "{name} ran and its caller got {answer:?}:\n{}",
                    deployment.tail(number)
                );
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
    });
}

/// Guards against a process that ends while the table service processes an operator's change.
#[test]
fn an_operators_change_in_flight_at_a_stop_is_answered() {
    let mut started = support::start(&plan());
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let slow = platform::Faults {
            table_slow_ms: Some(TABLE_DELAY_MS),
            ..platform::Faults::default()
        };
        deployment.platform_fault(&slow).await;
        let admin = deployment.instances[0].admin;
        let path = "/v1/tree/services/viewer/routes/added";
        let change = workers::spawn(write_new(admin, path));
        let ended = deployment.stop_instance(0, STOP_TIMEOUT).await;
        assert!(ended, "{}", deployment.tail(0));
        assert_eq!(change.await, Some(200), "{}", deployment.tail(0));
    });
}

/// Guards against calls, or an order to stop, that arrive before all parts of the instance have
/// started.
#[test]
fn calls_to_an_instance_that_is_stopped_right_after_its_start_are_answered_or_refused() {
    let mut started = support::start(&plan());
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let addr = deployment.instances[0].listen;
        assert!(deployment.stop_instance(0, STOP_TIMEOUT).await);
        deployment.start_instance(0).await.expect("it restarts");
        let mut calls = Vec::new();
        while calls.len() < EARLY_CALLS {
            let stream = send_at_once(addr, "early");
            if stream.is_ok() {
                calls.push(unblock(|| read_status(stream)));
            }
            if calls.len() == EARLY_CALLS / 2 {
                deployment.signal(0, Signal::Terminate);
            }
            Timer::after(EARLY_CALL_INTERVAL).await;
        }
        for call in calls {
            let answer = call.await;
            let is_answered = matches!(answer, Some(200 | 503));
            assert!(is_answered, "{answer:?}\n{}", deployment.tail(0));
        }
        assert!(deployment.stop_instance(0, STOP_TIMEOUT).await);
    });
}

/// A plan whose services answer no call before a stop is over.
fn endless_plan(shutdown_seconds: u64) -> Plan {
    let mut plan = plan();
    plan.shutdown_seconds = shutdown_seconds;
    plan.replica.latency_ms = ENDLESS_LATENCY_MS;
    for route in ["saves", "lookups"] {
        let path = format!("/services/viewer/routes/{route}");
        let route = plan.tree.get_mut(path.as_str()).expect("a route");
        route.knobs.deadline_ms = Some(ENDLESS_LATENCY_MS as u64);
    }
    plan
}

/// Guards against a stop without a time limit: the platform kills the process, and its callers get no answer.
#[test]
fn calls_that_outlast_a_stop_are_answered_before_the_process_is_killed() {
    let mut started = support::start(&endless_plan(KILL_SECONDS));
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let addr = deployment.instances[0].listen;
        let early = send_at_once(addr, "early");
        deployment.signal(0, Signal::Terminate);
        until_draining(deployment, 0).await;
        let late = send_at_once(addr, "late");
        let answers = [early, late].map(|stream| unblock(|| read_status(stream)));
        let kill_after = Duration::from_secs(KILL_SECONDS);
        let ended = deployment.stop_instance(0, kill_after).await;
        assert!(ended, "{}", deployment.tail(0));
        for answer in answers {
            assert_eq!(answer.await, Some(504), "{}", deployment.tail(0));
        }
    });
}

/// Guards against a stream that looks complete, or is cancelled, because the time for a stop is over.
#[test]
fn a_stream_that_outlasts_a_stop_is_resumed_at_another_instance() {
    let seconds = KILL_SECONDS / 2;
    let mut started = support::start(&endless_plan(seconds));
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let caller = Caller::new(timer::Timer::new());
        let entries = deployment.entries();
        let wanted = draft("draft");
        let stream = workers::spawn(async move { caller.follow(&entries, &wanted).await });
        until_produced(deployment, "draft", 3).await;
        let kill_after = Duration::from_secs(seconds);
        let ended = deployment.stop_instance(0, kill_after).await;
        assert!(ended, "{}", deployment.tail(0));
        let record = stream.await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        assert_eq!((record.tokens, record.resumed), (LONG_TOKENS, 1));
    });
}
