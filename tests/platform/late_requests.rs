//! Requests that reach an instance while it stops, over all kinds of connections.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use platform_standin::plain::Fault;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    support::{Caller, Instance, Mode, Platform},
    throttle::Throttle,
};

/// Times after the order to stop at which requests are sent, in milliseconds. New connections are accepted for
/// 2.6 s.
const SENT_AT_MS: [u64; 7] = [0, 1_500, 2_500, 2_570, 2_600, 2_640, 2_900];
/// Time within which a connection whose request was not passed on may end without an answer.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Pause within a body that is sent slowly.
const BODY_PAUSE: Duration = Duration::from_millis(400);
/// Time of a slow target for an answer.
const SLOW_ANSWER: Duration = Duration::from_millis(700);
/// Time that is longer than what is left of a stop when a call is sent.
const LONG_ANSWER: Duration = Duration::from_millis(4_000);
/// Time after the order to stop at which that call is sent.
const LATE: Duration = Duration::from_millis(2_300);
/// Calls that show how long answers take.
const EARLIER_CALLS: usize = 8;
/// Time within which a request that can't be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Share of a processor of an instance that is short of it.
const SHARE: f64 = 0.2;

/// How a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Over a connection that has carried another request.
    Kept,
    /// Over a new connection.
    New,
    /// Over a new connection, by HTTP/1.0.
    Http10,
    /// Over a new connection, with a pause in the body.
    SlowBody,
}

const WAYS: [Way; 4] = [Way::Kept, Way::New, Way::Http10, Way::SlowBody];

/// What a caller has received.
struct Received {
    id: String,
    /// The status of a complete answer.
    status: Option<u16>,
    /// Time from the last byte of the request to the end of the answer or the connection.
    took: Duration,
    text: String,
}

/// A request whose body is sent in two parts.
fn parts(way: Way, id: &str) -> (String, &'static str) {
    let version = if way == Way::Http10 { "1.0" } else { "1.1" };
    let head = format!(
        "POST /grants/1 HTTP/{version}\r\nhost: a.example\r\nrequest-id: {id}\r\n\
         deadline-milliseconds: 6000\r\nauthorization: Token key-1\r\ncontent-length: 4\r\n\r\nab"
    );
    (head, "cd")
}

/// The status of a complete answer.
fn complete_status(text: &str) -> Option<u16> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then_some(value)
    });
    let length: usize = length?.trim().parse().ok()?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    (body.len() >= length).then_some(status)
}

/// Reads an answer until it is complete or the connection ends.
async fn read(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buf = [0; 4_096];
    while complete_status(&text).is_none() {
        match stream.read(&mut buf).await {
            Ok(count) if count > 0 => text.push_str(&String::from_utf8_lossy(&buf[..count])),
            _ => break,
        }
    }
    text
}

/// Opens a connection, for [`Way::Kept`] with a request that is answered.
async fn open(addr: SocketAddr, way: Way, id: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    if way == Way::Kept {
        let (head, rest) = parts(way, &format!("{id}-first"));
        stream.write_all((head + rest).as_bytes()).await.ok()?;
        assert_eq!(complete_status(&read(&mut stream).await), Some(200), "{id}");
    }
    Some(stream)
}

/// Sends a request at a time after the order to stop.
async fn send(instance: &Instance, way: Way, at: Duration, name: &str) -> Option<Received> {
    let id = format!("{name}-{way:?}-{}", at.as_millis());
    let kept = match way {
        Way::Kept => Some(open(instance.addr, way, &id).await?),
        _ => None,
    };
    wait_after_stop(instance, at).await;
    let mut stream = match kept {
        Some(stream) => stream,
        None => open(instance.addr, way, &id).await?,
    };
    let (head, rest) = parts(way, &id);
    // Fails if the connection is closed already, which the answer shows.
    let _ = stream.write_all(head.as_bytes()).await;
    if way == Way::SlowBody {
        Timer::after(BODY_PAUSE).await;
    }
    let _ = stream.write_all(rest.as_bytes()).await;
    let sent = Instant::now();
    let text = read(&mut stream).await;
    Some(Received {
        id,
        status: complete_status(&text),
        took: sent.elapsed(),
        text,
    })
}

/// Waits until this time has passed since an instance began to drain.
async fn wait_after_stop(instance: &Instance, time: Duration) {
    let begun = Duration::from_millis(instance.first_logged_at("Draining").await);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.expect("the clock is past 1970");
    Timer::after((begun + time).saturating_sub(now)).await;
}

/// Stops an instance and sends requests meanwhile; returns those that were lost.
async fn lost_requests(platform: &Platform, instance: Instance, name: &str) -> Vec<String> {
    let instance = Arc::new(instance);
    let mut senders = Vec::new();
    for way in WAYS {
        for at in SENT_AT_MS.map(Duration::from_millis) {
            let (instance, name) = (Arc::clone(&instance), name.to_owned());
            senders.push(smol::spawn(
                async move { send(&instance, way, at, &name).await },
            ));
        }
    }
    Timer::after(Duration::from_millis(500)).await;
    instance.terminate();
    let mut lost = Vec::new();
    for sender in senders {
        let Some(got) = sender.await else {
            continue;
        };
        let runs = platform.runs(&got.id);
        let is_promised = matches!(got.status, Some(408 | 421 | 429 | 503));
        let is_lost = got.status.is_none() && (runs > 0 || got.took > LOSS_SLACK);
        if is_lost || runs > 1 || (is_promised && runs > 0) {
            let Received {
                id,
                status,
                took,
                text,
            } = &got;
            lost.push(format!(
                "{id}: {status:?} after {took:?}, ran {runs} times: {text}"
            ));
        }
    }
    lost
}

/// Guards against requests that are read while an instance stops and end without an answer.
#[test]
fn late_requests_over_kept_and_new_connections_are_answered() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("late-requests").await;
        let lost = lost_requests(&platform, instance, "plain").await;
        assert!(lost.is_empty(), "{lost:#?}");
    });
}

/// Guards against the same while targets answer slowly.
#[test]
fn late_requests_to_slow_targets_are_answered() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("late-slow").await;
        for process in &platform.plain {
            process.set_fault(Fault::Late(SLOW_ANSWER));
        }
        let lost = lost_requests(&platform, instance, "slow").await;
        assert!(lost.is_empty(), "{lost:#?}");
    });
}

/// Guards against the same where the requests go through another instance.
#[test]
fn late_requests_that_are_relayed_are_answered() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (instance, links) = platform.instance_with_links("late-relayed").await;
        let _relay = platform.instance_without_links("late-relay").await;
        links.set_mode(Mode::RefuseNew);
        links.reset_connections();
        let caller = Caller::new("key-1");
        for number in 0..EARLIER_CALLS {
            let id = format!("found-{number}");
            caller.call(instance.addr, "GET", "/titles/1", &id).await;
        }
        let lost = lost_requests(&platform, instance, "relayed").await;
        assert!(lost.is_empty(), "{lost:#?}");
    });
}

/// Guards against the same where the process gets a fifth of a processor.
#[test]
fn late_requests_to_an_instance_short_of_a_processor_are_answered() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("late-short").await;
        let _throttle = Throttle::new(instance.process_id(), SHARE);
        let lost = lost_requests(&platform, instance, "short").await;
        assert!(lost.is_empty(), "{lost:#?}");
    });
}

/// Guards against calls that are sent although they take longer than the rest of a stop: their callers are told
/// that they may have run, where another instance would have served them.
#[test]
fn calls_that_would_outlast_a_stop_are_refused_at_once() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("late-long").await;
        for process in &platform.plain {
            process.set_fault(Fault::Late(LONG_ANSWER));
        }
        let earlier = (0..EARLIER_CALLS).map(|number| {
            let addr = instance.addr;
            smol::spawn(async move {
                let id = format!("earlier-{number}");
                Caller::new("key-1")
                    .call(addr, "POST", "/grants/1", &id)
                    .await
            })
        });
        for call in earlier.collect::<Vec<_>>() {
            assert_eq!(call.await.status, 200);
        }
        instance.terminate();
        wait_after_stop(&instance, LATE).await;
        let sent = Instant::now();
        let caller = Caller::new("key-1");
        let got = caller
            .call(instance.addr, "POST", "/grants/1", "late")
            .await;
        assert_eq!(got.status, 503, "{}", got.body);
        assert!(sent.elapsed() < REFUSAL_TIME, "{:?}", sent.elapsed());
        assert_eq!(platform.runs("late"), 0);
    });
}
