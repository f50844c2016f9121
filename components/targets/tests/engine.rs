//! The client of engines, tested against a server that sends prepared bytes.

mod scripted_server;

use std::sync::Arc;

use bytes::Bytes;
use net::Client;
use scripted_server::{Exchange, ScriptedServer};
use targets::{Command, CommandKind, Engine, EngineCall, OpenAiEngine, StreamItem, TargetError};
use timer::Timer;
use types::Target;

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

/// Returns the events from offset `from` to before `to`, each in an HTTP chunk, and the stream's
/// end.
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

/// Reads tokens until the end or an error. Resumes over a new connection after each lost one.
/// Returns the tokens' data and the number of resumptions.
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

/// Returns the data of the first `count` tokens.
fn all(count: u64) -> Vec<Bytes> {
    (0..count).map(|at| format!("t{at}").into()).collect()
}

#[test]
fn an_answer_cut_at_any_byte_is_lost_or_resumed_but_never_reported_as_not_run() {
    // The connection breaks at any byte of the answer, when the engine has the request. Until the
    // head is complete the stream's id is unknown, and the request may have run. After that the
    // caller must get each token exactly once.
    let complete = format!("{HEAD}{}", events(0, 4));
    smol::block_on(async {
        for cut in 0..complete.len() {
            // The second connection continues after the events that are complete before the cut.
            // An event is complete once its empty line has arrived, even within an HTTP chunk.
            let first = Exchange::answer(&complete.as_bytes()[..cut]);
            let have = complete[..cut].matches("\n\n\r\n").count() as u64;
            let have_more =
                complete[..cut].ends_with("\n\n") || complete[..cut].ends_with("\n\n\r");
            let have = (have + u64::from(have_more)).min(4);
            let second = Exchange::answer(format!("{HEAD}{}", events(have, 4)));
            let server = ScriptedServer::start(vec![first, second]).await;
            match read(&engine(), &server.target()).await {
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
fn a_request_of_which_the_engine_read_any_byte_is_reported_as_lost() {
    // The engine crashes while the request is in transit. If the error said that the request did
    // not run, the caller would repeat a request that may be running.
    smol::block_on(async {
        for read in [1, 2, 16, 64, 120] {
            let exchange = Exchange {
                read: Some(read),
                answer: Vec::new(),
                hang: false,
            };
            let server = ScriptedServer::start(vec![exchange]).await;
            let result = engine().start(&server.target(), &call()).await;
            let error = result.err().expect("there is no answer");
            assert!(matches!(error, TargetError::Lost { .. }), "{read}: {error}");
        }
    });
}

#[test]
fn a_refused_connection_is_reported_as_unsent() {
    // The engine's process has ended. Nothing ran, so the request may go to another engine.
    let mut target = smol::block_on(ScriptedServer::start(Vec::new())).target();
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    target.addr = free.local_addr().expect("an address");
    drop(free);
    let result = smol::block_on(engine().start(&target, &call()));
    assert!(matches!(result.err(), Some(TargetError::Unsent { .. })));
}

/// Returns the bytes of an answer.
fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Returns the error for a generation whose start gets this answer.
fn start_error(status: &str, headers: &str, body: &str) -> TargetError {
    smol::block_on(async {
        let server =
            ScriptedServer::start(vec![Exchange::answer(answer(status, headers, body))]).await;
        let result = engine().start(&server.target(), &call()).await;
        result.err().expect("it is refused")
    })
}

#[test]
fn an_engine_can_reject_a_request_as_not_run() {
    // An overloaded engine rejects a request, which may then go to another engine at once.
    let by_header = start_error("503 Busy", "retry-after: 3\r\n", "");
    assert!(
        matches!(by_header, TargetError::Rejected { retry_after: Some(after), .. }
        if after.as_secs() == 3)
    );
    let by_problem = start_error("503 Busy", "", r#"{"run":"not-run"}"#);
    assert!(matches!(by_problem, TargetError::Rejected { .. }));
}

#[test]
fn a_503_without_proof_does_not_count_as_rejected() {
    // A proxy answers 503 because it lost the engine's answer. If that counted as a rejection, the
    // request could run twice.
    let bare = start_error("503 Lost", "", "");
    assert!(matches!(bare, TargetError::Lost { .. }));
    let unknown = start_error("503 Lost", "retry-after: 1\r\n", r#"{"run":"unknown"}"#);
    assert!(matches!(unknown, TargetError::Lost { .. }));
}

#[test]
fn a_client_error_is_returned_with_its_body() {
    let error = start_error("422 Wrong", "", "no such adapter");
    let body = Bytes::from_static(b"no such adapter");
    assert_eq!(error, TargetError::ClientError { status: 422, body });
}

#[test]
fn a_stream_unknown_to_the_engine_is_gone() {
    // The engine was restarted. Without a distinct error the relay would try to resume the stream
    // again and again.
    let error = smol::block_on(async {
        let server =
            ScriptedServer::start(vec![Exchange::answer(answer("404 Not Found", "", ""))]).await;
        let id = Arc::from("s-1");
        let result = engine().resume(&server.target(), &id, 3).await;
        assert!(server.requests()[0].contains("last-event-id: 2"));
        result.err().expect("it is gone")
    });
    assert_eq!(error, TargetError::Gone);
}

#[test]
fn an_answer_with_another_stream_is_rejected() {
    // Answers were mixed up on the path. The caller would get another caller's text.
    let head = HEAD.replace("s-1", "s-2");
    let result = smol::block_on(async {
        let server =
            ScriptedServer::start(vec![Exchange::answer(format!("{head}{}", events(1, 2)))]).await;
        let id = Arc::from("s-1");
        engine().resume(&server.target(), &id, 1).await
    });
    assert!(matches!(result.err(), Some(TargetError::Lost { .. })));
}

#[test]
fn a_load_report_is_decoded_and_its_unknown_fields_are_ignored() {
    let body = r#"{"incarnation":7,"age_ms":250,"running":3,"waiting":1,"used":900,"capacity":1000,"preemptions":2,"warm":true,"mood":"good"}"#;
    let report = smol::block_on(async {
        let server =
            ScriptedServer::start(vec![Exchange::answer(answer("200 OK", "", body))]).await;
        engine().report(&server.target()).await
    });
    let report = report.expect("a report");
    assert_eq!((report.incarnation, report.age.as_millis()), (7, 250));
    assert_eq!((report.running, report.waiting), (3, 1));
    assert_eq!((report.used, report.capacity), (900, 1000));
    assert_eq!((report.preemptions, report.warm), (2, true));
}

#[test]
fn an_invalid_load_report_is_an_error() {
    let result = smol::block_on(async {
        let server = ScriptedServer::start(vec![Exchange::answer(answer(
            "200 OK",
            "",
            "{\"running\":-1}",
        ))])
        .await;
        engine().report(&server.target()).await
    });
    assert!(matches!(result, Err(TargetError::Lost { .. })));
}

#[test]
fn a_command_contains_its_fencing_number() {
    let sent = smol::block_on(async {
        let server = ScriptedServer::start(vec![Exchange::answer(answer("200 OK", "", ""))]).await;
        let command = Command {
            kind: CommandKind::Load("v2".into()),
            fence: 41,
        };
        let result = engine().send_command(&server.target(), &command).await;
        assert_eq!(result, Ok(()));
        assert_eq!(server.remaining(), 0);
        server.requests().remove(0)
    });
    assert!(sent.starts_with("POST /v1/orders "));
    assert!(sent.contains(r#""fence":41"#) && sent.contains(r#""kind":"load""#));
}

#[test]
fn the_engine_gets_the_request_id() {
    let sent = smol::block_on(async {
        let answer = format!("{HEAD}{}", events(0, 1));
        let server = ScriptedServer::start(vec![Exchange::answer(answer)]).await;
        let result = read(&engine(), &server.target()).await;
        assert_eq!(result.map(|(data, _)| data), Ok(all(1)));
        server.requests().remove(0)
    });
    assert!(sent.contains("x-request-id: entry-1"));
}
