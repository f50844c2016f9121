//! Calls to plain HTTP services, with and without idempotency keys.

mod fakes;

use std::{sync::atomic::Ordering, time::Duration};

use claims::{ClaimError, ClaimOutcome, RecordedAnswer};
use fakes::{
    TestBed,
    admission::{AdmissionEvent, AdmissionStep},
    in_time,
    plain::{Settlement, answer},
    problem, until,
};
use futures_lite::future;
use gateway::WorkOutcome;
use targets::TargetError;
use types::Refusal;

const ORDER: &str = "/shop/order?sheet=3";
/// Time within which a crash check ends.
const CRASH_CHECK_TIME: Duration = Duration::from_millis(2_500);
/// How long targets at their connection limit refuse connections.
const CONNECTION_LIMIT_TIME: Duration = Duration::from_millis(700);

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
    TargetError::Rejected {
        reason: "busy".into(),
        retry_after: None,
        is_certain: true,
    }
}

fn full() -> Refusal {
    Refusal::new(503, "full", "Full", "retry later")
}

const KEY: [(&str, &str); 1] = [("idempotency-key", "order-1")];

#[test]
fn a_call_is_forwarded_without_hop_by_hop_headers_and_key() {
    smol::block_on(async {
        let bed = TestBed::new().await;
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
fn an_answer_without_a_body_keeps_its_content_length() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        let mut head = answer("");
        head.headers.push(("content-length".into(), "41".into()));
        bed.plain.script([Ok(head)]);
        let answer = bed.send("HEAD", "/shop/title", &[], "").await;
        assert_eq!(answer.headers["content-length"], "41");
    });
}

#[test]
fn an_idempotent_call_that_was_lost_is_retried() {
    // The service crashes while it runs an idempotent call. The retry must answer the caller.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.plain
            .script([Err(lost()), Err(unsent()), Ok(answer("found"))]);
        let answer = bed.send("GET", "/shop/title", &[], "").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "found"));
        assert_eq!(bed.plain.call_count(), 3);
    });
}

#[test]
fn the_refusal_of_an_idempotent_call_says_whether_it_may_have_run() {
    smol::block_on(async {
        for (error, run) in [
            (lost(), "unknown"),
            (unsent(), "not-run"),
            (turned(), "not-run"),
        ] {
            let bed = TestBed::new().await;
            bed.admission
                .script([AdmissionStep::Grant("t1"), AdmissionStep::Refuse(full())]);
            bed.plain.script([Err(error)]);
            let answer = bed.send("GET", "/shop/title", &[], "").await;
            assert_eq!(answer.problem(), problem(503, "full", run));
        }
    });
}

#[test]
fn a_call_that_may_have_run_is_never_sent_again() {
    // The connection breaks after a non-idempotent call was sent. A retry might run it twice.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.plain.script([Err(lost())]);
        let answer = bed.send("POST", ORDER, &[], "sheet").await;
        assert_eq!(answer.problem(), problem(504, "answer-lost", "unknown"));
        assert_eq!(bed.plain.call_count(), 1);
        assert_eq!(
            bed.admission.outcomes(),
            [AdmissionEvent::Finish(WorkOutcome::Failed)]
        );
    });
}

#[test]
fn a_call_that_certainly_did_not_run_is_sent_elsewhere() {
    // A target refuses the connection or the call. The call did not run there, so it may be sent to
    // another target.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.plain
            .script([Err(unsent()), Err(turned()), Ok(answer("ordered"))]);
        let answer = bed.send("POST", ORDER, &[], "sheet").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "ordered"));
        let outcomes = bed.admission.outcomes();
        assert_eq!(outcomes[0], AdmissionEvent::Retry(WorkOutcome::Unreachable));
        assert_eq!(outcomes[1], AdmissionEvent::Retry(WorkOutcome::Overloaded));
    });
}

#[test]
fn a_keyed_call_runs_once_and_its_answer_is_recorded() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        let headers = [KEY[0], ("accept-encoding", "gzip")];
        let answer = bed.send("POST", ORDER, &headers, "sheet").await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "fine"));
        let sent = bed.plain.calls.lock()[0].headers.clone();
        assert!(sent.iter().all(|(name, _)| **name != *"accept-encoding"));
        bed.wait_until_idle().await;
        let recorded = RecordedAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: "fine".into(),
            base64: false,
        };
        assert_eq!(bed.claims.settlements(), [Settlement::Recorded(recorded)]);
        let call = bed.claims.calls.lock()[0].clone();
        assert_eq!((&*call.workspace, &*call.key), ("a", "order-1"));
    });
}

#[test]
fn the_digest_differs_for_different_calls() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        for (path, body) in [
            (ORDER, "a"),
            (ORDER, "a"),
            (ORDER, "b"),
            ("/shop/order", "a"),
        ] {
            bed.send("POST", path, &KEY, body).await;
        }
        let calls = bed.claims.calls.lock();
        assert_eq!(calls[0].digest, calls[1].digest);
        assert_ne!(calls[0].digest, calls[2].digest);
        assert_ne!(calls[0].digest, calls[3].digest);
    });
}

#[test]
fn a_repeated_call_gets_the_recorded_answer_and_is_not_sent() {
    // A caller repeats a call because the first answer was slow. The repeated call must get the
    // answer of the first.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.claims
            .script(Ok(ClaimOutcome::Completed(RecordedAnswer {
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
        assert_eq!(bed.plain.call_count(), 0);
    });
}

#[test]
fn a_keyed_call_that_cannot_be_claimed_is_not_sent() {
    // The table service is unavailable, or the key is in use. Without a claim the call could run
    // twice, so it must not be sent.
    let cases = [
        (
            Err(ClaimError::StoreUnavailable),
            (503, "store-down", "not-run"),
        ),
        (Err(ClaimError::OtherCall), (422, "key-reused", "not-run")),
        (
            Err(ClaimError::StillRunning),
            (409, "still-running", "unknown"),
        ),
        (
            Ok(ClaimOutcome::Unknown),
            (504, "outcome-unknown", "unknown"),
        ),
    ];
    smol::block_on(async {
        for (claim, (status, code, run)) in cases {
            let bed = TestBed::new().await;
            bed.claims.script(claim);
            let answer = bed.send("POST", ORDER, &KEY, "sheet").await;
            assert_eq!(answer.problem(), problem(status, code, run));
            assert_eq!(
                answer.headers.contains_key("retry-after"),
                status == 503 || status == 409
            );
            assert_eq!(
                (bed.plain.call_count(), bed.claims.settlements().len()),
                (0, 0)
            );
        }
    });
}

#[test]
fn a_claim_is_always_settled() {
    // A call refused by admission did not run, so its key must become free. A call that was lost
    // after it was sent may have run, so its key must never be used again.
    let cases = [
        (
            vec![AdmissionStep::Refuse(full())],
            None,
            Settlement::Released,
        ),
        (
            vec![AdmissionStep::Grant("t1"), AdmissionStep::Refuse(full())],
            Some(unsent()),
            Settlement::Released,
        ),
        (
            vec![AdmissionStep::Grant("t1")],
            Some(lost()),
            Settlement::Abandoned,
        ),
    ];
    smol::block_on(async {
        for (script, error, settled) in cases {
            let bed = TestBed::new().await;
            bed.admission.script(script);
            bed.plain.script(error.map(Err));
            bed.send("POST", ORDER, &KEY, "sheet").await;
            bed.wait_until_idle().await;
            assert_eq!(bed.claims.settlements(), [settled]);
        }
    });
}

#[test]
fn a_caller_that_disconnects_before_its_keyed_call_is_sent_frees_the_key() {
    // The caller disconnects while its call waits for a permit. A claim left behind would answer
    // every repeated call with `unknown`.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.admission.script([AdmissionStep::Wait]);
        let request = async { drop(bed.send("POST", ORDER, &KEY, "sheet").await) };
        let disconnect = until(|| !bed.admission.events().is_empty());
        future::or(request, disconnect).await;
        bed.wait_until_idle().await;
        assert_eq!(bed.claims.settlements(), [Settlement::Released]);
        assert_eq!(bed.plain.call_count(), 0);
    });
}

/// Guards against a call that admission never answers and whose caller waits forever.
#[test]
fn a_call_that_admission_never_answers_is_refused_after_its_deadline() {
    smol::block_on(async {
        let deadline = ("x-deadline-ms", "50");
        for headers in [&[deadline][..], &[deadline, KEY[0]][..]] {
            let bed = TestBed::new().await;
            bed.admission.script([AdmissionStep::Wait]);
            let answer = in_time(bed.send("POST", ORDER, headers, "")).await;
            assert_eq!(answer.problem(), problem(504, "deadline", "not-run"));
            bed.wait_until_idle().await;
            assert_eq!(bed.plain.call_count(), 0);
        }
    });
}

/// Sends the same call three times, each lost at another target, and waits for the crash checks.
async fn lose_at_three_targets(bed: &TestBed) {
    for name in ["t1", "t2", "t3"] {
        bed.admission.script([AdmissionStep::Grant(name)]);
        bed.plain.script([Err(lost())]);
        let answer = bed.send("POST", ORDER, &[], "body").await;
        assert_eq!(answer.status, 504);
    }
    smol::Timer::after(CRASH_CHECK_TIME).await;
}

/// Guards against taking an instance's own lost network for crashes of the targets: its requests would be
/// quarantined at all instances.
#[test]
fn calls_that_are_lost_where_no_target_is_reached_are_no_evidence_of_crashes() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        *bed.plain.is_cut_off.lock() = true;
        lose_at_three_targets(&bed).await;
        assert_eq!(bed.quarantine.crashes.load(Ordering::Acquire), 0);
    });
}

/// Guards against taking targets that refuse connections for a moment, as they have as many as they may, for crashed
/// ones.
#[test]
fn calls_that_are_lost_at_targets_at_their_connection_limit_are_no_evidence_of_crashes() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        *bed.plain.refusing.lock() = vec!["t1", "t2", "t3"];
        let relieve = async {
            smol::Timer::after(CONNECTION_LIMIT_TIME).await;
            bed.plain.refusing.lock().clear();
        };
        future::zip(lose_at_three_targets(&bed), relieve).await;
        assert_eq!(bed.quarantine.crashes.load(Ordering::Acquire), 0);
    });
}

#[test]
fn calls_that_are_lost_at_targets_that_refuse_connections_are_evidence_of_crashes() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        *bed.plain.refusing.lock() = vec!["t1", "t2", "t3"];
        lose_at_three_targets(&bed).await;
        assert_eq!(bed.quarantine.crashes.load(Ordering::Acquire), 3);
    });
}
