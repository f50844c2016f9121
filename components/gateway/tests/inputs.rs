//! Invalid requests: each is refused with a precise problem, and nothing runs.

mod fakes;

use fakes::{KEY_A, TestBed, admission::AdmissionStep, body, problem, read, until};
use gateway::resume_handle::{ResumeHandle, ResumeHandleCodec};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, prop_assert_eq, proptest};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use types::Class;

#[test]
fn the_refusal_of_an_invalid_body_names_the_field() {
    let cases = [
        ("{", "bad-json", "EOF"),
        ("\u{0}", "bad-json", "expected value"),
        ("[]", "bad-value", "an object"),
        ("{}", "bad-value", "`prompt`"),
        (r#"{"prompt":"x"}"#, "bad-value", "`model`"),
        (r#"{"prompt":"x","model":7}"#, "bad-value", "`model`"),
        (r#"{"prompt":[1,"x"],"model":"m"}"#, "bad-value", "`prompt`"),
        (
            r#"{"prompt":"x","model":"m","stream":"yes"}"#,
            "bad-value",
            "`stream`",
        ),
        (
            r#"{"prompt":"x","model":"m","max_tokens":0}"#,
            "bad-value",
            "`max_tokens`",
        ),
        (
            r#"{"prompt":"x","model":"m","max_tokens":1.5}"#,
            "bad-value",
            "`max_tokens`",
        ),
        (r#"{"prompt":"x","model":"m","n":2}"#, "bad-value", "`n`"),
    ];
    smol::block_on(async {
        let bed = TestBed::new().await;
        for (body, code, detail) in cases {
            let answer = bed.send("POST", "/v1/completions", &[], body).await;
            assert_eq!(answer.problem(), problem(400, code, "not-run"), "{body}");
            assert!(answer.body.contains(detail), "{body}: {}", answer.body);
        }
        for body in [
            r#"{"model":"m"}"#,
            r#"{"model":"m","messages":[]}"#,
            r#"{"model":"m","messages":["x"]}"#,
            r#"{"model":"m","messages":[{"role":"user","content":5}]}"#,
        ] {
            let answer = bed.send("POST", "/v1/chat/completions", &[], body).await;
            assert_eq!(
                answer.problem(),
                problem(400, "bad-value", "not-run"),
                "{body}"
            );
        }
        assert!(bed.admission.events().is_empty());
    });
}

#[test]
fn unknown_names_and_invalid_headers_are_refused() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        let path = "/v1/completions";
        let other = body(true).replace("\"m\"", "\"other\"");
        let unknown = problem(404, "unknown-model", "not-run");
        assert_eq!(bed.send("POST", path, &[], &other).await.problem(), unknown);
        let answer = bed.complete(true, &[("x-route", "nowhere")]).await;
        assert_eq!(answer.problem(), unknown);
        let answer = bed.send("GET", "/elsewhere", &[], "").await;
        assert_eq!(answer.problem(), problem(404, "unknown-route", "not-run"));
        let answer = bed.send("GET", path, &[], "").await;
        assert_eq!(
            answer.problem(),
            problem(405, "method-not-allowed", "not-run")
        );
        for header in [
            ("x-class", "royal"),
            ("x-deadline-ms", "-1"),
            ("x-deadline-ms", "0"),
        ] {
            let answer = bed.complete(true, &[header]).await;
            assert_eq!(answer.problem(), problem(400, "bad-header", "not-run"));
        }
        let answer = bed.send("GET", "/shop/%2e%2E/secret", &[], "").await;
        assert_eq!(answer.problem(), problem(400, "bad-path", "not-run"));
    });
}

#[test]
fn requests_without_a_known_key_are_refused() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        for key in ["", "key-c"] {
            let resp = bed
                .open(key, "POST", "/v1/completions", &[], &body(true))
                .await;
            let answer = read(resp).await;
            assert_eq!(answer.problem(), problem(401, "bad-key", "not-run"));
            assert_eq!(answer.headers["www-authenticate"], "Bearer");
        }
    });
}

#[test]
fn a_body_over_the_limit_is_refused() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        let long = "x".repeat(5000);
        let answer = bed.send("POST", "/v1/completions", &[], &long).await;
        assert_eq!(answer.problem(), problem(413, "body-too-large", "not-run"));
    });
}

#[test]
fn a_caller_that_stops_in_the_middle_of_its_body_is_refused_and_disconnected() {
    // A caller sends a part of its body and then nothing. Many such callers would use up all
    // connections.
    smol::block_on(async {
        let bed = TestBed::new().await;
        let mut stream = TcpStream::connect(bed.addr).await.expect("a connection");
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY_A}\r\ncontent-length: 100\r\n\r\n{{"
        );
        stream.write_all(head.as_bytes()).await.expect("it is sent");
        let mut text = String::new();
        stream
            .read_to_string(&mut text)
            .await
            .expect("an answer and the end");
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert!(text.contains(r#""code":"body-too-slow""#), "{text}");
    });
}

#[test]
fn a_workspace_is_limited_in_its_requests_in_flight() {
    // One workspace sends requests without a limit. Those beyond its limit must be refused, and
    // other workspaces must not be affected.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.admission
            .script([AdmissionStep::Wait, AdmissionStep::Wait]);
        let first = bed.complete(true, &[]);
        let second = bed.complete(true, &[]);
        let third = async {
            until(|| bed.gateway.open_requests() == 2).await;
            let answer = bed.complete(true, &[]).await;
            assert_eq!(answer.problem(), problem(429, "in-flight", "not-run"));
            assert_eq!(answer.headers["retry-after"], "1");
            bed.engine
                .script_starts([Ok(vec![fakes::engine::Step::End])]);
            let body = body(true);
            let resp = bed.open(fakes::KEY_B, "POST", "/v1/completions", &[], &body);
            assert_eq!(read(resp.await).await.status, 200);
        };
        let waiting = futures_lite::future::zip(first, second);
        let waiting = async { drop(waiting.await) };
        futures_lite::future::or(waiting, third).await;
        bed.wait_until_idle().await;
    });
}

fn resume_handle() -> ResumeHandle {
    ResumeHandle {
        target: "t1".into(),
        stream: "s1".into(),
        holder: "entry-1".into(),
        route: "default".into(),
        class: Class::Background,
        prompt_tokens: 12,
        max_output: 400,
    }
}

#[test]
fn an_event_id_is_safe_in_urls_and_decodes_to_its_handle() {
    let codec = ResumeHandleCodec::new("key");
    let id = format!("{}.41", codec.encode("a", &resume_handle()));
    let safe = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    assert!(id.bytes().all(safe));
    assert_eq!(codec.decode("a", &id), Some((resume_handle(), 41)));
    assert_eq!(codec.decode("b", &id), None);
    assert_eq!(ResumeHandleCodec::new("other").decode("a", &id), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_text_makes_the_event_id_decoder_panic(id in ".{0,200}", tail in any::<u64>()) {
        let codec = ResumeHandleCodec::new("key");
        prop_assert!(codec.decode("a", &id).is_none());
        let id = format!("{id}.{tail}");
        prop_assert!(codec.decode("a", &id).is_none());
    }

    #[test]
    fn a_modified_event_id_is_refused(at in any::<prop::sample::Index>(), with in "[A-Za-z0-9_-]") {
        let codec = ResumeHandleCodec::new("key");
        let text = codec.encode("a", &resume_handle());
        let at = at.index(text.len());
        let mut modified = text.clone();
        modified.replace_range(at..=at, &with);
        let read = codec.decode("a", &format!("{modified}.1"));
        prop_assert_eq!(read.is_some(), modified == text);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_body_gets_an_answer_and_never_a_panic(
        text in "[ -~]{0,60}",
        model in "m|\\PC{0,5}",
        number in any::<i64>(),
    ) {
        let bodies = [
            text.clone(),
            serde_json::json!({"model": model, "prompt": text, "max_tokens": number}).to_string(),
            serde_json::json!({"model": "m", "messages": [{"role": text, "content": number}]}).to_string(),
        ];
        smol::block_on(async {
            let bed = TestBed::new().await;
            bed.engine.script_starts([Ok(vec![fakes::engine::Step::End])]);
            for body in bodies {
                for path in ["/v1/completions", "/v1/chat/completions"] {
                    let answer = bed.send("POST", path, &[], &body).await;
                    assert!(answer.status == 200 || (400..500).contains(&answer.status), "{body}");
                    bed.engine.script_starts([Ok(vec![fakes::engine::Step::End])]);
                }
            }
        });
    }
}
