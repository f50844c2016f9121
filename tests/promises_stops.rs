//! No order from outside leaves a request without its answer.

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

/// Time between two looks at something that takes a while.
const POLL: Duration = Duration::from_millis(20);
/// Looks before a test gives up.
const LOOKS: usize = 1500;
/// Tokens of a stream that takes seconds.
const LONG: u64 = 150;
/// Shortly after this time from the order to stop on, instances take no further connections.
const GRACE: Duration = Duration::from_secs(1);
/// Time before it at which a connection is made that brings nothing.
const BEFORE: Duration = Duration::from_millis(20);
/// Time after it at which the first call is sent.
const AFTER: Duration = Duration::from_millis(10);
/// Time for an instance to end when it is stopped as planned.
const STOP_PATIENCE: Duration = Duration::from_secs(60);
/// Longer than an instance takes to end once it has nothing to do.
const LATENCY_MS: f64 = 900.0;
/// Calls to each instance as it stops to take connections.
const LAST_CALLS: u32 = 4;

/// Calls to an instance that starts.
const EARLY_CALLS: usize = 60;
/// Time between two of them.
const EARLY_PAUSE: Duration = Duration::from_millis(5);
/// Delay of each answer of the table service that makes a change outlast a stop.
const TABLE_MS: u64 = 700;
/// Time for an answer's body.
const PATIENCE: Duration = Duration::from_secs(30);
/// Bytes of an answer at most.
const ANSWER_LIMIT: usize = 1 << 20;

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
        output: LONG,
        most: 2 * LONG,
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
    for _ in 0..LOOKS {
        let logs = deployment.logs().await;
        let mut generations = logs.engines.values().flat_map(|log| &log.generations);
        if generations.any(|g| g.caller == name && g.produced >= tokens) {
            return;
        }
        Timer::after(POLL).await;
    }
    panic!("{name} never had {tokens} tokens:\n{}", deployment.tail(0));
}

/// Waits until an instance says that it shuts down.
async fn until_draining(deployment: &Deployment, number: usize) {
    for _ in 0..LOOKS {
        if !deployment.is_ready(number).await {
            return;
        }
        Timer::after(Duration::from_millis(1)).await;
    }
    panic!("instance {number} never began to shut down");
}

async fn effects(deployment: &Deployment) -> BTreeMap<String, u32> {
    let logs = deployment.logs().await;
    let all = logs.services.into_values().flat_map(|log| log.effects);
    all.collect()
}

/// Writes a node of the tree that is not there yet; `None` if no whole answer came.
async fn write_new(admin: SocketAddr, path: &str) -> Option<u16> {
    let req = Request::put(path)
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .header("content-type", "application/json")
        .header("if-none-match", "*")
        .body(Full::new(Bytes::from_static(b"{}")))
        .expect("a request");
    let resp = Client::new().send_fresh(admin, req).await.ok()?;
    let status = resp.status().as_u16();
    net::read_all(resp.into_body(), ANSWER_LIMIT, PATIENCE)
        .await
        .ok()?;
    Some(status)
}

/// Connects and sends a save, with as little as possible between the two.
fn send_at_once(addr: SocketAddr, name: &str) -> io::Result<TcpStream> {
    let text = format!(
        "POST /watchlist HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-viewers\r\n\
         x-effect: {name}\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    let mut stream = TcpStream::connect(addr)?;
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}

/// Reads the status of an answer; `None` if there is none.
fn read_status(stream: io::Result<TcpStream>) -> Option<u16> {
    let mut line = String::new();
    BufReader::new(stream.ok()?).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Guards against a hangup ending the process, and with it every request, as it does by default.
#[test]
fn a_hangup_cuts_no_request() {
    let mut setting = support::start(&plan());
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        let caller = Caller::new(timer::Timer::new());
        let entry = deployment.entries()[0];
        let stream = follow(&caller, entry, draft("draft"));
        until_produced(deployment, "draft", 3).await;
        deployment.signal(0, Signal::Reload);
        let record = stream.await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        assert_eq!(record.tokens, LONG);
        let record = caller.follow(&[entry], &save("after")).await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        let told = Event::HangUp.to_string();
        assert!(deployment.tail(0).contains(&told), "{}", deployment.tail(0));
    });
}

/// Guards against a second order, or a hangup, that ends a shutdown before the last request.
#[test]
fn further_signals_in_a_stop_cut_no_request() {
    let mut setting = support::start(&plan());
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        let caller = Caller::new(timer::Timer::new());
        let entry = deployment.entries()[0];
        let stream = follow(&caller, entry, draft("draft"));
        until_produced(deployment, "draft", 3).await;
        for signal in [Signal::Terminate, Signal::Reload, Signal::Terminate] {
            deployment.signal(0, signal);
            Timer::after(POLL * 5).await;
        }
        let ended = deployment.stop_instance(0, STOP_PATIENCE).await;
        assert!(ended, "{}", deployment.tail(0));
        let record = stream.await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        assert_eq!((record.tokens, record.resumed), (LONG, 0));
    });
}

/// Guards against a process that ends before a connection which it took at the very last.
#[test]
fn a_call_over_a_connection_made_as_the_instance_stops_accepting_gets_its_answer() {
    let mut plan = plan();
    plan.replica.latency_ms = LATENCY_MS;
    let mut setting = support::start(&plan);
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        for number in 0..deployment.instances.len() {
            let addr = deployment.instances[number].listen;
            deployment.signal(number, Signal::Terminate);
            until_draining(deployment, number).await;
            Timer::after(GRACE.saturating_sub(BEFORE)).await;
            // From here on the server waits for the next connection for longer than until the
            // first call.
            drop(TcpStream::connect(addr).expect("a connection"));
            Timer::after(BEFORE + AFTER).await;
            let calls: Vec<_> = (0..LAST_CALLS)
                .map(|call| (format!("last-{number}-{call}"), addr))
                .map(|(name, addr)| (send_at_once(addr, &name), name))
                .collect();
            let mut answers = Vec::new();
            for (stream, name) in calls {
                answers.push((name, unblock(|| read_status(stream)).await));
            }
            let ended = deployment.stop_instance(number, STOP_PATIENCE).await;
            assert!(ended, "{}", deployment.tail(number));
            // Services finish what they began, whoever has gone.
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
                .expect("it starts again");
            deployment.until_ready().await.expect("all take work again");
        }
    });
}

/// Guards against a process that ends while the table service takes an operator's change.
#[test]
fn an_operators_change_in_flight_at_a_stop_gets_its_answer() {
    let mut setting = support::start(&plan());
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        let slow = platform::Faults {
            table_slow_ms: Some(TABLE_MS),
            ..platform::Faults::default()
        };
        deployment.platform_fault(&slow).await;
        let admin = deployment.instances[0].admin;
        let path = "/v1/tree/services/viewer/routes/added";
        let change = workers::spawn(write_new(admin, path));
        let ended = deployment.stop_instance(0, STOP_PATIENCE).await;
        assert!(ended, "{}", deployment.tail(0));
        assert_eq!(change.await, Some(200), "{}", deployment.tail(0));
    });
}

/// Guards against calls that are taken, or a stop that is ordered, before all parts are there.
#[test]
fn calls_to_an_instance_that_starts_and_is_stopped_at_once_are_answered_or_refused() {
    let mut setting = support::start(&plan());
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        let addr = deployment.instances[0].listen;
        assert!(deployment.stop_instance(0, STOP_PATIENCE).await);
        deployment.start_instance(0).await.expect("it starts again");
        let mut calls = Vec::new();
        while calls.len() < EARLY_CALLS {
            let stream = send_at_once(addr, "early");
            if stream.is_ok() {
                calls.push(unblock(|| read_status(stream)));
            }
            if calls.len() == EARLY_CALLS / 2 {
                deployment.signal(0, Signal::Terminate);
            }
            Timer::after(EARLY_PAUSE).await;
        }
        for call in calls {
            let answer = call.await;
            let told = matches!(answer, Some(200 | 503));
            assert!(told, "{answer:?}\n{}", deployment.tail(0));
        }
        assert!(deployment.stop_instance(0, STOP_PATIENCE).await);
    });
}
