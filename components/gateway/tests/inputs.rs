//! Requests that can't be served: each gets a precise answer, and nothing runs.

mod fakes;

use fakes::{Bed, KEY_A, admission::Say, body, problem, read, until};
use gateway::resume_handle::{ResumeHandle, ResumeHandleCodec};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, prop_assert_eq, proptest};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use types::Class;

#[test]
fn wrong_bodies_are_told_what_is_wrong() {
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
        let bed = Bed::new().await;
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
        assert!(bed.admission.notes().is_empty());
    });
}

#[test]
fn unknown_names_and_wrong_headers_are_told() {
    smol::block_on(async {
        let bed = Bed::new().await;
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
fn without_a_known_key_nothing_is_served() {
    smol::block_on(async {
        let bed = Bed::new().await;
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
        let bed = Bed::new().await;
        let long = "x".repeat(5000);
        let answer = bed.send("POST", "/v1/completions", &[], &long).await;
        assert_eq!(answer.problem(), problem(413, "body-too-large", "not-run"));
    });
}

#[test]
fn a_sender_that_stops_halfway_is_told_and_cut_off() {
    // A caller sends half of its body and then nothing. Many of them would use up all
    // connections.
    smol::block_on(async {
        let bed = Bed::new().await;
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
fn a_workspace_has_its_limit_of_requests_in_flight() {
    // One workspace's runaway script sends without end. Its requests beyond the limit are
    // refused, and other workspaces notice nothing.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.admission.script([Say::Wait, Say::Wait]);
        let first = bed.complete(true, &[]);
        let second = bed.complete(true, &[]);
        let third = async {
            until(|| bed.gateway.open_requests() == 2).await;
            let answer = bed.complete(true, &[]).await;
            assert_eq!(answer.problem(), problem(429, "in-flight", "not-run"));
            assert_eq!(answer.headers["retry-after"], "1");
            bed.engine.starts([Ok(vec![fakes::engine::Step::End])]);
            let body = body(true);
            let resp = bed.open(fakes::KEY_B, "POST", "/v1/completions", &[], &body);
            assert_eq!(read(resp.await).await.status, 200);
        };
        let waiting = futures_lite::future::zip(first, second);
        let waiting = async { drop(waiting.await) };
        futures_lite::future::or(waiting, third).await;
        bed.idle().await;
    });
}

fn ticket() -> ResumeHandle {
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
fn an_event_id_is_safe_in_urls_and_says_the_same_again() {
    let tickets = ResumeHandleCodec::new("key");
    let id = format!("{}.41", tickets.write("a", &ticket()));
    let safe = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    assert!(id.bytes().all(safe));
    assert_eq!(tickets.read("a", &id), Some((ticket(), 41)));
    assert_eq!(tickets.read("b", &id), None);
    assert_eq!(ResumeHandleCodec::new("other").read("a", &id), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_text_makes_the_event_id_decoder_panic(id in ".{0,200}", tail in any::<u64>()) {
        let tickets = ResumeHandleCodec::new("key");
        prop_assert!(tickets.read("a", &id).is_none());
        let id = format!("{id}.{tail}");
        prop_assert!(tickets.read("a", &id).is_none());
    }

    #[test]
    fn a_changed_event_id_is_refused(at in any::<prop::sample::Index>(), with in "[A-Za-z0-9_-]") {
        let tickets = ResumeHandleCodec::new("key");
        let text = tickets.write("a", &ticket());
        let at = at.index(text.len());
        let mut changed = text.clone();
        changed.replace_range(at..=at, &with);
        let read = tickets.read("a", &format!("{changed}.1"));
        prop_assert_eq!(read.is_some(), changed == text);
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
            let bed = Bed::new().await;
            bed.engine.starts([Ok(vec![fakes::engine::Step::End])]);
            for body in bodies {
                for path in ["/v1/completions", "/v1/chat/completions"] {
                    let answer = bed.send("POST", path, &[], &body).await;
                    assert!(answer.status == 200 || (400..500).contains(&answer.status), "{body}");
                    bed.engine.starts([Ok(vec![fakes::engine::Step::End])]);
                }
            }
        });
    }
}
