//! A request that crashes engines is stopped after a few of them, whichever instances it is sent
//! to.

mod support;

use std::{net::SocketAddr, time::Duration};

use bench::{
    caller::{Caller, Outcome, Wanted, What},
    deployment::{Deployment, Plan},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use net::Client;
use serde_json::json;
use standins::engine::CRASH_TRIGGER;
use timer::Timer;

/// Time between two requests: a crashed engine has restarted by then.
const REQUEST_INTERVAL: Duration = Duration::from_millis(900);
/// Time within which a crash seen by one instance is known to all.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Number of engines that a request may crash before it is rejected, including those that an
/// attempt in flight may crash meanwhile.
const MAX_CRASHES: u64 = 6;

fn plan() -> Plan {
    let mut plan = support::plan();
    plan.engine.lifecycle.warm = true;
    plan.engine.lifecycle.restart_ms = 400;
    // One attempt crashes all engines in a row, and then waits until one is warm again or its
    // deadline has passed.
    if let Some(model) = plan.tree.get_mut("/services/catalogue") {
        model.knobs.deadline_ms = Some(4_000);
    }
    plan
}

fn draft(name: &str, prompt: &str) -> Wanted {
    let what = What::Generate {
        model: "catalogue".into(),
        route: None,
        prompt: prompt.into(),
        output: 5,
        most: 10,
    };
    Wanted::new(name, "key-editors", what)
}

/// Number of crashes of all engines.
async fn crash_count(deployment: &Deployment) -> u64 {
    let logs = deployment.logs().await;
    let lives = logs
        .engines
        .values()
        .map(|log| log.lifecycle.incarnation - 1);
    lives.sum()
}

async fn send_crashing_requests(
    deployment: &Deployment,
    caller: &Caller,
    times: usize,
) -> Vec<Outcome> {
    let entries: Vec<SocketAddr> = deployment.entries();
    let mut outcomes = Vec::new();
    for number in 0..times {
        let to = entries[number % entries.len()];
        let record = caller
            .follow(&[to], &draft("the same", CRASH_TRIGGER))
            .await;
        outcomes.push(record.outcome);
        smol::Timer::after(REQUEST_INTERVAL).await;
    }
    outcomes
}

/// Guards against a request that crashes one engine after the other because instances, or retries
/// within one request, don't know of the crashes before.
#[test]
fn a_request_that_crashes_engines_is_rejected_by_every_instance() {
    let started = support::start(&plan());
    let deployment = &started.deployment;
    smol::block_on(async {
        let caller = Caller::new(Timer::new());
        send_crashing_requests(deployment, &caller, 3).await;
        smol::Timer::after(PROPAGATION_TIME).await;
        let before = crash_count(deployment).await;
        assert!((3..=MAX_CRASHES).contains(&before), "{before} crashes");
        let later = send_crashing_requests(deployment, &caller, 3).await;
        assert_eq!(crash_count(deployment).await, before, "{later:?}");
        for outcome in later {
            assert!(
                matches!(&outcome, Outcome::Refused { code, .. } if code == "quarantined"),
                "{outcome:?}"
            );
        }
        let entry = deployment.entries()[0];
        let record = caller
            .follow(&[entry], &draft("another", "A short tag."))
            .await;
        assert_eq!(record.outcome, Outcome::Whole);
    });
}

/// Sends a chat of two messages; returns the status.
async fn chat(entry: SocketAddr, system: &str, user: &str) -> u16 {
    let body = json!({
        "model": "catalogue",
        "messages": [{"role": "system", "content": system}, {"role": "user", "content": user}],
        "max_tokens": 10,
        "metadata": {"output_tokens": "5"},
    });
    let req = Request::post("/v1/chat/completions")
        .header("authorization", "Bearer key-editors")
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    let Ok(resp) = Client::new().send(entry, req).await else {
        return 0;
    };
    let status = resp.status().as_u16();
    // Read only to end the request.
    let _ = resp.into_body().collect().await;
    status
}

/// Guards against requests that differ but for one message of their prompts and crash one engine after the
/// other, because evidence counts against whole requests only.
#[test]
fn a_message_that_crashes_engines_is_rejected_in_whatever_request() {
    let started = support::start(&plan());
    let deployment = &started.deployment;
    smol::block_on(async {
        let entries = deployment.entries();
        let send = async |name: &str, times: usize| {
            let mut statuses = Vec::new();
            for number in 0..times {
                let to = entries[number % entries.len()];
                let user = format!("{name} {number}");
                statuses.push(chat(to, CRASH_TRIGGER, &user).await);
                smol::Timer::after(REQUEST_INTERVAL).await;
            }
            statuses
        };
        send("first", 3).await;
        smol::Timer::after(PROPAGATION_TIME).await;
        let before = crash_count(deployment).await;
        let later = send("late", 4).await;
        let after = crash_count(deployment).await;
        assert!(after - before <= 3, "{before}, {after}: {later:?}");
        for entry in entries {
            let status = chat(entry, "You are helpful.", "A short tag.").await;
            assert_eq!(status, 200);
        }
    });
}
