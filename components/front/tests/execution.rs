//! A request counts as not run only where that is proved.

use std::net::SocketAddr;

use bytes::Bytes;
use front::{
    NamedRequest, ResponseHead,
    callers::refusal::{Refusal, promises_not_run},
    execution::{Execution, NotRun},
    reaching::envelope::{RelayOutcome, RelayStatement},
};
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode, header::HeaderValue, http::response::Parts};
use net::{Client, NewConnection, SendError, SendRules};
use smol::net::TcpListener;

/// All outcomes of a relayed request.
const OUTCOMES: [RelayOutcome; 6] = [
    RelayOutcome::Answered,
    RelayOutcome::Declined,
    RelayOutcome::NotReached {
        reaches_others: true,
    },
    RelayOutcome::NotReached {
        reaches_others: false,
    },
    RelayOutcome::Withheld,
    RelayOutcome::Lost,
];

fn head(status: u16) -> Parts {
    let resp = Response::builder().status(status).body(());
    resp.expect("a response").into_parts().0
}

fn stated(outcome: &RelayOutcome, request: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    outcome.write(&mut headers, request, "a reason");
    headers
}

/// Guards against a refusal that is believed although it names no request, another one or several, or has the
/// seal of an answer of a run.
#[test]
fn an_answer_is_proof_only_if_it_names_the_request_and_is_no_success() {
    let others = [
        NamedRequest::Unnamed,
        NamedRequest::Other("r-2".into()),
        NamedRequest::Other("r-1, r-2".into()),
    ];
    for status in 100..600 {
        let parsed = |named, states_not_run| ResponseHead {
            named,
            states_not_run,
            ..ResponseHead::default()
        };
        let is_proof = |parsed| NotRun::from_answer(&head(status), &parsed).is_some();
        for named in others.clone() {
            assert!(!is_proof(parsed(named, true)), "{status}");
        }
        assert!(!is_proof(parsed(NamedRequest::Sent, false)), "{status}");
        let is_success = (200..300).contains(&status);
        let stated = is_proof(parsed(NamedRequest::Sent, true));
        assert_eq!(stated, !is_success, "{status}");
        let contradictory = ResponseHead {
            sealed: true,
            ..parsed(NamedRequest::Sent, true)
        };
        assert!(!is_proof(contradictory), "{status}");
    }
    assert!(NotRun::from_answer(&head(503), &ResponseHead::default()).is_none());
}

/// Guards against taking a relay's answer that states nothing, or something of another request, for the
/// statement that nothing was sent.
#[test]
fn a_relay_is_believed_only_if_it_states_the_outcome_of_this_request_once() {
    for outcome in OUTCOMES {
        let headers = stated(&outcome, "r-1");
        let statement = RelayStatement::take(&mut headers.clone(), "r-1").expect("a statement");
        assert_eq!(statement.outcome(), &outcome);
        let is_proof = NotRun::from_relay(&statement).is_some();
        let may_have_run = matches!(outcome, RelayOutcome::Answered | RelayOutcome::Lost);
        assert_eq!(is_proof, !may_have_run, "{outcome:?}");
        assert!(RelayStatement::take(&mut headers.clone(), "r-2").is_none());
        for name in ["celerystand-relay", "celerystand-request"] {
            let mut missing = headers.clone();
            missing.remove(name);
            assert!(RelayStatement::take(&mut missing, "r-1").is_none());
            let mut twice = headers.clone();
            let value = twice[name].clone();
            twice.append(name, value);
            assert!(RelayStatement::take(&mut twice, "r-1").is_none());
            let mut other = headers.clone();
            other.insert(name, HeaderValue::from_static("something-else"));
            assert!(RelayStatement::take(&mut other, "r-1").is_none());
        }
    }
    assert!(RelayStatement::take(&mut HeaderMap::new(), "r-1").is_none());
}

/// Sends nothing.
struct NeverSend;

impl SendRules for NeverSend {
    fn name(&self) -> Option<&str> {
        None
    }

    fn may_send(&self) -> Result<(), std::sync::Arc<str>> {
        Err("it is withheld".into())
    }
}

async fn send(to: SocketAddr, rules: &dyn SendRules) -> SendError {
    let req = Request::get("/").body(Full::new(Bytes::new()));
    let client = Client::new();
    let sent = client.send_with(to, req.expect("a request"), rules);
    sent.await.expect_err("there is no answer")
}

/// Guards against a sending that is dropped, times out or loses its connection and counts as none.
#[test]
fn a_request_may_have_run_from_its_sending_until_each_one_is_disproved() {
    smol::block_on(async {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let addr = listener.expect("a port").local_addr().expect("an address");
        // The listener is gone, and the port refuses connections.
        let mut proofs = Vec::new();
        for rules in [&NewConnection as &dyn SendRules, &NeverSend] {
            let SendError::Unsent(unsent) = send(addr, rules).await else {
                panic!("nothing was sent");
            };
            proofs.push(NotRun::from_unsent(&unsent));
        }
        let execution = Execution::default();
        assert!(!execution.may_have_run());
        assert!(!execution.was_sent());
        for proof in &proofs {
            execution.begin().disprove(proof);
            assert!(!execution.may_have_run());
        }
        assert!(execution.was_sent(), "a disproved sending is one too");
        let (first, second) = (execution.begin(), execution.begin());
        first.disprove(&proofs[0]);
        assert!(execution.may_have_run(), "the second may be running");
        drop(second);
        assert!(execution.clone().may_have_run(), "nothing disproves it");
    });
}

/// Guards against a promise to the caller of a request that may have run, whatever the reason of its refusal.
#[test]
fn a_refusal_without_promise_has_no_status_that_promises() {
    for status in 400..600 {
        let status = StatusCode::from_u16(status).expect("a status");
        let refusal = Refusal::new(status, "a reason").without_promise();
        assert!(!promises_not_run(refusal.status), "{status}");
        if promises_not_run(status) {
            assert_eq!(refusal.status, StatusCode::BAD_GATEWAY);
            assert!(refusal.retry_after.is_none());
        } else {
            assert_eq!(refusal.status, status);
        }
    }
}
