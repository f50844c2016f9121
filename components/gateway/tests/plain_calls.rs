//! Calls to plain services, with and without idempotency keys.

mod fakes;

use claims::{ClaimError, Claimed, Recorded};
use fakes::{
    Bed,
    admission::{Note, Say},
    in_time,
    plain::{Settled, answer},
    problem, until,
};
use gateway::WorkOutcome;
use targets::TargetError;
use types::Refusal;

const ORDER: &str = "/shop/order?sheet=3";

fn lost() -> TargetError {
    TargetError::Lost {
        reason: "reset".into(),
    }
}

fn unsent() -> TargetError {
    TargetError::Unsent {
        reason: "refused".into(),
    }
}

fn turned() -> TargetError {
    TargetError::Turned {
        reason: "busy".into(),
        retry_after: None,
    }
}

fn full() -> Refusal {
    Refusal::new(503, "full", "Full", "come back")
}

const KEY: [(&str, &str); 1] = [("idempotency-key", "order-1")];

#[test]
fn a_call_is_passed_on_without_the_headers_of_the_connection_or_the_key() {
    smol::block_on(async {
        let bed = Bed::new().await;
        let headers = [
            ("x-mine", "1"),
            ("connection", "x-hop"),
            ("x-hop", "1"),
            ("te", "trailers"),
            ("x-class", "background"),
        ];
        let answer = bed.send("POST", "/shop/a%20b?q=1", &headers, "body").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "fine"));
        let cookies: Vec<_> = answer.headers.get_all("set-cookie").iter().collect();
        assert_eq!(cookies, ["a=1", "b=2"]);
        assert!(!answer.headers.contains_key("keep-alive"));
        let call = bed.plain.calls.lock()[0].clone();
        assert_eq!(answer.headers["x-request-id"], *call.request);
        assert_eq!((&*call.method, &*call.path), ("POST", "/shop/a%20b?q=1"));
        assert_eq!(&call.body[..], b"body");
        let names: Vec<_> = call.headers.iter().map(|(name, _)| &**name).collect();
        assert_eq!(names, ["x-mine"]);
    });
}

#[test]
fn an_answer_without_a_body_keeps_the_length_that_it_tells() {
    smol::block_on(async {
        let bed = Bed::new().await;
        let mut head = answer("");
        head.headers.push(("content-length".into(), "41".into()));
        bed.plain.script([Ok(head)]);
        let answer = bed.send("HEAD", "/shop/title", &[], "").await;
        assert_eq!(answer.headers["content-length"], "41");
    });
}

#[test]
fn a_lost_lookup_is_asked_again() {
    // The service dies with a viewer's lookup. Asked again it is answered, and the page is not
    // empty.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.plain
            .script([Err(lost()), Err(unsent()), Ok(answer("found"))]);
        let answer = bed.send("GET", "/shop/title", &[], "").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "found"));
        assert_eq!(bed.plain.called(), 3);
    });
}

#[test]
fn a_lookup_refused_in_the_end_says_whether_it_may_have_run() {
    smol::block_on(async {
        for (error, run) in [
            (lost(), "unknown"),
            (unsent(), "not-run"),
            (turned(), "not-run"),
        ] {
            let bed = Bed::new().await;
            bed.admission.script([Say::Go("t1"), Say::No(full())]);
            bed.plain.script([Err(error)]);
            let answer = bed.send("GET", "/shop/title", &[], "").await;
            assert_eq!(answer.problem(), problem(503, "full", run));
        }
    });
}

#[test]
fn a_call_that_may_have_run_is_never_sent_again() {
    // The link dies after a material order was sent. Sent again, the franchisee might pay for
    // the sheet twice.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.plain.script([Err(lost())]);
        let answer = bed.send("POST", ORDER, &[], "sheet").await;
        assert_eq!(answer.problem(), problem(504, "answer-lost", "unknown"));
        assert_eq!(bed.plain.called(), 1);
        assert_eq!(bed.admission.endings(), [Note::End(WorkOutcome::Failed)]);
    });
}

#[test]
fn a_call_that_surely_did_not_run_is_sent_elsewhere() {
    // A service refuses the connection or turns the order away. Neither ran it, so another one
    // may.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.plain
            .script([Err(unsent()), Err(turned()), Ok(answer("ordered"))]);
        let answer = bed.send("POST", ORDER, &[], "sheet").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "ordered"));
        let endings = bed.admission.endings();
        assert_eq!(endings[0], Note::Again(WorkOutcome::Unreachable));
        assert_eq!(endings[1], Note::Again(WorkOutcome::Overloaded));
    });
}

#[test]
fn a_keyed_call_runs_once_and_its_answer_is_recorded() {
    smol::block_on(async {
        let bed = Bed::new().await;
        let headers = [KEY[0], ("accept-encoding", "gzip")];
        let answer = bed.send("POST", ORDER, &headers, "sheet").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "fine"));
        let sent = bed.plain.calls.lock()[0].headers.clone();
        assert!(sent.iter().all(|(name, _)| **name != *"accept-encoding"));
        bed.idle().await;
        let recorded = Recorded {
            status: 200,
            content_type: "text/plain".into(),
            body: "fine".into(),
            base64: false,
        };
        assert_eq!(bed.claims.settled(), [Settled::Recorded(recorded)]);
        let asked = bed.claims.asked.lock()[0].clone();
        assert_eq!((&*asked.workspace, &*asked.key), ("a", "order-1"));
    });
}

#[test]
fn the_digest_tells_other_calls_apart() {
    smol::block_on(async {
        let bed = Bed::new().await;
        for (path, body) in [
            (ORDER, "a"),
            (ORDER, "a"),
            (ORDER, "b"),
            ("/shop/order", "a"),
        ] {
            bed.send("POST", path, &KEY, body).await;
        }
        let asked = bed.claims.asked.lock();
        assert_eq!(asked[0].digest, asked[1].digest);
        assert_ne!(asked[0].digest, asked[2].digest);
        assert_ne!(asked[0].digest, asked[3].digest);
    });
}

#[test]
fn a_repeat_gets_the_answer_on_record_and_is_not_sent() {
    // A viewer presses rent twice because the page was slow. The second press must find the
    // first one's grant.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.claims.script(Ok(Claimed::Before(Recorded {
            status: 201,
            content_type: "image/png".into(),
            body: "/wA=".into(),
            base64: true,
        })));
        let resp = bed.open(fakes::KEY_A, "POST", ORDER, &KEY, "sheet").await;
        assert_eq!(resp.status().as_u16(), 201);
        assert_eq!(resp.headers()["content-type"], "image/png");
        assert_eq!(resp.headers()["idempotency-replayed"], "true");
        let body = http_body_util::BodyExt::collect(resp.into_body()).await;
        assert_eq!(&body.expect("a body").to_bytes()[..], [255, 0]);
        assert_eq!(bed.plain.called(), 0);
    });
}

#[test]
fn a_keyed_call_that_cannot_be_claimed_is_not_sent() {
    // The table service is down, or the key is in use. Without a claim a second run could not be
    // ruled out, so nothing is sent.
    let cases = [
        (Err(ClaimError::StoreDown), (503, "store-down", "not-run")),
        (Err(ClaimError::OtherCall), (422, "key-reused", "not-run")),
        (
            Err(ClaimError::StillRunning),
            (409, "still-running", "unknown"),
        ),
        (Ok(Claimed::Unknown), (504, "outcome-unknown", "unknown")),
    ];
    smol::block_on(async {
        for (claim, (status, code, run)) in cases {
            let bed = Bed::new().await;
            bed.claims.script(claim);
            let answer = bed.send("POST", ORDER, &KEY, "sheet").await;
            assert_eq!(answer.problem(), problem(status, code, run));
            assert_eq!(
                answer.headers.contains_key("retry-after"),
                status == 503 || status == 409
            );
            assert_eq!((bed.plain.called(), bed.claims.settled().len()), (0, 0));
        }
    });
}

#[test]
fn a_claim_always_comes_to_an_end() {
    // Refused by admission the call did not run, so the key must be free again; lost on the way
    // it may have run, so the key must never run again.
    let cases = [
        (vec![Say::No(full())], None, Settled::Released),
        (
            vec![Say::Go("t1"), Say::No(full())],
            Some(unsent()),
            Settled::Released,
        ),
        (vec![Say::Go("t1")], Some(lost()), Settled::GivenUp),
    ];
    smol::block_on(async {
        for (script, error, settled) in cases {
            let bed = Bed::new().await;
            bed.admission.script(script);
            bed.plain.script(error.map(Err));
            bed.send("POST", ORDER, &KEY, "sheet").await;
            bed.idle().await;
            assert_eq!(bed.claims.settled(), [settled]);
        }
    });
}

#[test]
fn a_caller_that_leaves_before_its_keyed_call_is_sent_frees_the_key() {
    // A viewer closes the page while the grant waits for a place. A claim left behind would
    // answer the next press with `unknown` for ever.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.admission.script([Say::Wait]);
        let asking = async { drop(bed.send("POST", ORDER, &KEY, "sheet").await) };
        let leaving = until(|| !bed.admission.notes().is_empty());
        futures_lite::future::or(asking, leaving).await;
        bed.idle().await;
        assert_eq!(bed.claims.settled(), [Settled::Released]);
        assert_eq!(bed.plain.called(), 0);
    });
}

/// Guards against a call that is never placed nor refused, and whose caller hears nothing.
#[test]
fn a_call_that_is_never_decided_is_refused_after_its_deadline() {
    smol::block_on(async {
        let deadline = ("x-deadline-ms", "50");
        for headers in [&[deadline][..], &[deadline, KEY[0]][..]] {
            let bed = Bed::new().await;
            bed.admission.script([Say::Wait]);
            let answer = in_time(bed.send("POST", ORDER, headers, "")).await;
            assert_eq!(answer.problem(), problem(504, "deadline", "not-run"));
            bed.idle().await;
            assert_eq!(bed.plain.called(), 0);
        }
    });
}
