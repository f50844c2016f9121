//! The client of engines, against bytes on a wire.

mod wire;

use std::sync::Arc;

use bytes::Bytes;
use net::Client;
use targets::{Command, CommandKind, Engine, EngineCall, OpenAiEngine, StreamItem, TargetError};
use timer::Timer;
use types::Target;
use wire::{Turn, Wire};

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-stream-id: s-1\r\ntransfer-encoding: chunked\r\n\r\n";

fn engine() -> OpenAiEngine {
    OpenAiEngine::new(Client::new(), Timer::new())
}

fn call() -> EngineCall {
    EngineCall {
        path: "/v1/completions".into(),
        body: Bytes::from_static(br#"{"model":"m","stream":true}"#),
        request: "entry-1".into(),
    }
}

/// Events from one offset to before another, each in a chunk of its own, and the end.
fn events(from: u64, to: u64) -> String {
    let mut text = String::new();
    let mut add = |event: &str| text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    for offset in from..to {
        add(&format!("id: {offset}\ndata: t{offset}\n\n"));
    }
    add("data: [DONE]\n\n");
    text.push_str("0\r\n\r\n");
    text
}

/// Reads tokens until the end or an error, and goes on over a new connection after each loss.
async fn read(engine: &OpenAiEngine, target: &Target) -> Result<(Vec<Bytes>, usize), TargetError> {
    let mut stream = engine.start(target, &call()).await?;
    let mut data: Vec<Bytes> = Vec::new();
    let mut resumes = 0;
    loop {
        match stream.next().await {
            Ok(StreamItem::Tokens {
                first, data: more, ..
            }) => {
                assert_eq!(first, data.len() as u64, "tokens came out of order");
                data.extend(more);
            }
            Ok(StreamItem::End) => return Ok((data, resumes)),
            Err(TargetError::Lost { .. }) => {
                resumes += 1;
                let id = stream.id();
                stream = engine.resume(target, &id, data.len() as u64).await?;
            }
            Err(e) => return Err(e),
        }
    }
}

fn all(count: u64) -> Vec<Bytes> {
    (0..count).map(|at| format!("t{at}").into()).collect()
}

#[test]
fn an_answer_cut_at_any_byte_is_lost_or_resumed_but_never_said_not_to_have_run() {
    // The link dies somewhere within the answer, with the request long at the engine. Before the
    // head is whole nobody knows the stream's name; after it the caller must get each token once
    // whatever the place of the cut.
    let whole = format!("{HEAD}{}", events(0, 4));
    smol::block_on(async {
        for cut in 0..whole.len() {
            // What the client has got by the cut is not known here, so the second connection
            // serves by the request's `Last-Event-ID`: one turn for each possible place.
            let first = Turn::answer(&whole.as_bytes()[..cut]);
            let have = whole[..cut].matches("\n\n\r\n").count() as u64;
            let have_more = whole[..cut].ends_with("\n\n") || whole[..cut].ends_with("\n\n\r");
            let have = (have + u64::from(have_more)).min(4);
            let second = Turn::answer(format!("{HEAD}{}", events(have, 4)));
            let wire = Wire::start(vec![first, second]).await;
            match read(&engine(), &wire.target()).await {
                Ok((data, resumes)) => {
                    assert_eq!(data, all(4), "cut at {cut}");
                    assert!(resumes <= 1, "cut at {cut}");
                    assert!(cut >= HEAD.len(), "cut at {cut}");
                }
                Err(e) => {
                    assert!(matches!(e, TargetError::Lost { .. }), "cut at {cut}: {e}");
                    assert!(cut < HEAD.len(), "cut at {cut}: {e}");
                }
            }
        }
    });
}

#[test]
fn a_request_cut_at_any_byte_is_said_not_sent_only_if_the_engine_read_none_of_it() {
    // The engine dies while the request is on its way. Saying that it did not run would let a
    // caller send again what may be running.
    smol::block_on(async {
        for read in [1, 2, 16, 64, 120] {
            let turn = Turn {
                read: Some(read),
                answer: Vec::new(),
                hang: false,
            };
            let wire = Wire::start(vec![turn]).await;
            let result = engine().start(&wire.target(), &call()).await;
            let error = result.err().expect("there is no answer");
            assert!(matches!(error, TargetError::Lost { .. }), "{read}: {error}");
        }
    });
}

#[test]
fn a_refused_connection_is_said_not_sent() {
    // The engine's process is gone. Nothing ran, so the request may go to another one.
    let mut target = smol::block_on(Wire::start(Vec::new())).target();
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    target.addr = free.local_addr().expect("an address");
    drop(free);
    let result = smol::block_on(engine().start(&target, &call()));
    assert!(matches!(result.err(), Some(TargetError::Unsent { .. })));
}

fn answered(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

fn refusal(status: &str, headers: &str, body: &str) -> TargetError {
    smol::block_on(async {
        let wire = Wire::start(vec![Turn::answer(answered(status, headers, body))]).await;
        let result = engine().start(&wire.target(), &call()).await;
        result.err().expect("it is refused")
    })
}

#[test]
fn an_engine_that_says_so_did_not_run_it() {
    // A full engine turns a request away. The caller's request may go elsewhere at once.
    let by_header = refusal("503 Busy", "retry-after: 3\r\n", "");
    assert!(
        matches!(by_header, TargetError::Rejected { retry_after: Some(after), .. }
        if after.as_secs() == 3)
    );
    let by_problem = refusal("503 Busy", "", r#"{"run":"not-run"}"#);
    assert!(matches!(by_problem, TargetError::Rejected { .. }));
}

#[test]
fn a_bare_or_doubtful_503_proves_nothing() {
    // Something between the two ends answers 503 because it lost the engine's answer. Taking it
    // for a refusal would run the request twice.
    let bare = refusal("503 Lost", "", "");
    assert!(matches!(bare, TargetError::Lost { .. }));
    let doubtful = refusal("503 Lost", "retry-after: 1\r\n", r#"{"run":"unknown"}"#);
    assert!(matches!(doubtful, TargetError::Lost { .. }));
}

#[test]
fn a_wrong_request_is_told_with_its_body() {
    let error = refusal("422 Wrong", "", "no such adapter");
    let body = Bytes::from_static(b"no such adapter");
    assert_eq!(error, TargetError::ClientError { status: 422, body });
}

#[test]
fn a_stream_that_the_engine_does_not_know_is_gone() {
    // The engine was restarted. Without a clear word the caller's stream would be tried again
    // and again.
    let error = smol::block_on(async {
        let wire = Wire::start(vec![Turn::answer(answered("404 Not Found", "", ""))]).await;
        let id = Arc::from("s-1");
        let result = engine().resume(&wire.target(), &id, 3).await;
        assert!(wire.requests()[0].contains("last-event-id: 2"));
        result.err().expect("it is gone")
    });
    assert_eq!(error, TargetError::Gone);
}

#[test]
fn an_answer_for_another_stream_is_not_taken() {
    // Answers got crossed on the way. The caller would read somebody else's text.
    let head = HEAD.replace("s-1", "s-2");
    let result = smol::block_on(async {
        let wire = Wire::start(vec![Turn::answer(format!("{head}{}", events(1, 2)))]).await;
        let id = Arc::from("s-1");
        engine().resume(&wire.target(), &id, 1).await
    });
    assert!(matches!(result.err(), Some(TargetError::Lost { .. })));
}

#[test]
fn a_load_report_keeps_what_it_knows_and_passes_over_the_rest() {
    let body = r#"{"incarnation":7,"age_ms":250,"running":3,"waiting":1,"used":900,"capacity":1000,"preemptions":2,"warm":true,"mood":"good"}"#;
    let report = smol::block_on(async {
        let wire = Wire::start(vec![Turn::answer(answered("200 OK", "", body))]).await;
        engine().report(&wire.target()).await
    });
    let report = report.expect("a report");
    assert_eq!((report.incarnation, report.age.as_millis()), (7, 250));
    assert_eq!((report.running, report.waiting), (3, 1));
    assert_eq!((report.used, report.capacity), (900, 1000));
    assert_eq!((report.preemptions, report.warm), (2, true));
}

#[test]
fn garbage_for_a_load_report_is_an_error() {
    let result = smol::block_on(async {
        let wire = Wire::start(vec![Turn::answer(answered(
            "200 OK",
            "",
            "{\"running\":-1}",
        ))])
        .await;
        engine().report(&wire.target()).await
    });
    assert!(matches!(result, Err(TargetError::Lost { .. })));
}

#[test]
fn a_command_carries_its_fencing_number() {
    let sent = smol::block_on(async {
        let wire = Wire::start(vec![Turn::answer(answered("200 OK", "", ""))]).await;
        let command = Command {
            kind: CommandKind::Load("v2".into()),
            fence: 41,
        };
        let result = engine().send_command(&wire.target(), &command).await;
        assert_eq!(result, Ok(()));
        assert_eq!(wire.left(), 0);
        wire.requests().remove(0)
    });
    assert!(sent.starts_with("POST /v1/orders "));
    assert!(sent.contains(r#""fence":41"#) && sent.contains(r#""kind":"load""#));
}

#[test]
fn the_engine_gets_the_requests_name() {
    let sent = smol::block_on(async {
        let answer = format!("{HEAD}{}", events(0, 1));
        let wire = Wire::start(vec![Turn::answer(answer)]).await;
        let result = read(&engine(), &wire.target()).await;
        assert_eq!(result.map(|(data, _)| data), Ok(all(1)));
        wire.requests().remove(0)
    });
    assert!(sent.contains("x-request-id: entry-1"));
}
