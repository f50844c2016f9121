//! An accepted configuration is in force everywhere within seconds and never reverts.

mod support;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bench::{
    deployment::{Deployment, OPERATOR_KEY},
    process::Signal,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use net::Client;
use serde_json::Value;
use smol::Task;
use standins::platform;

/// The node that operators race for.
const NODE: &str = "/v1/tree/services/viewer/routes/lookups";
/// Races.
const ROUNDS: usize = 8;
/// Time between two looks at something that takes a while.
const POLL: Duration = Duration::from_millis(20);
/// Looks before a test gives up.
const LOOKS: usize = 1500;
/// Bytes of an answer at most.
const ANSWER_LIMIT: usize = 1 << 20;
/// Time for an answer's body.
const PATIENCE: Duration = Duration::from_secs(30);

/// What an instance answered.
struct Answer {
    status: u16,
    headers: HeaderMap,
    body: Value,
}

/// Sends a request to the administration API; `None` if no answer came.
async fn ask(
    client: &Client,
    admin: SocketAddr,
    method: &str,
    path: &str,
    seen: Option<&str>,
    body: &Value,
) -> Option<Answer> {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .header("content-type", "application/json");
    if let Some(seen) = seen {
        req = req.header("if-match", seen);
    }
    let text = if method == "GET" {
        Bytes::new()
    } else {
        body.to_string().into()
    };
    let req = req.body(Full::new(text)).expect("a request");
    let resp = client.send_fresh(admin, req).await.ok()?;
    let (status, headers) = (resp.status().as_u16(), resp.headers().clone());
    let body = net::read_all(resp.into_body(), ANSWER_LIMIT, PATIENCE);
    let body = serde_json::from_slice(&body.await.ok()?).unwrap_or(Value::Null);
    Some(Answer {
        status,
        headers,
        body,
    })
}

/// The node as an instance has it, and its `ETag`.
async fn read(client: &Client, admin: SocketAddr) -> (Value, String) {
    let answer = ask(client, admin, "GET", NODE, None, &Value::Null).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200);
    let etag = answer.headers["etag"].to_str().expect("text").to_owned();
    (answer.body["node"].clone(), etag)
}

/// Writes the node with a deadline that tells who wrote it; gives the status.
fn write(
    client: &Client,
    admin: SocketAddr,
    node: &Value,
    etag: &str,
    deadline_ms: u64,
) -> Task<Answer> {
    let (client, etag) = (client.clone(), etag.to_owned());
    let mut node = node.clone();
    node["knobs"]["deadline-ms"] = deadline_ms.into();
    workers::spawn(async move {
        let answer = ask(&client, admin, "PUT", NODE, Some(&etag), &node).await;
        answer.expect("an answer")
    })
}

async fn until_version(deployment: &Deployment, number: usize, version: u64) {
    for _ in 0..LOOKS {
        if deployment.version(number).await >= version {
            return;
        }
        smol::Timer::after(POLL).await;
    }
    panic!(
        "instance {number} does not get {version}:\n{}",
        deployment.tail(number)
    );
}

/// Watches the versions in force; gives every step back that any instance made.
fn watch(admins: Vec<SocketAddr>, ends: Arc<AtomicBool>) -> Task<BTreeSet<String>> {
    workers::spawn(async move {
        let client = Client::new();
        let mut newest = vec![0; admins.len()];
        let mut back = BTreeSet::new();
        while !ends.load(Ordering::Relaxed) {
            for (number, admin) in admins.iter().enumerate() {
                let answer = ask(&client, *admin, "GET", "/v1/status", None, &Value::Null).await;
                // One that is down, or has found no configuration yet, says nothing.
                let version = answer.and_then(|a| a.body["config-version"].as_u64());
                let Some(version) = version else { continue };
                if version < newest[number] {
                    back.insert(format!("{number}: {version} after {}", newest[number]));
                }
                newest[number] = version.max(newest[number]);
            }
            smol::Timer::after(POLL).await;
        }
        back
    })
}

async fn table_down(deployment: &Deployment, down: bool) {
    let faults = platform::Faults {
        table_down: Some(down),
        ..platform::Faults::default()
    };
    deployment.platform_fault(&faults).await;
}

// Two operators change the same node through two instances, each having seen the same version;
// then an instance is replaced while the table service is down. An operator would notice that a
// change that was accepted is gone, or that some instances route by an old tree.
#[test]
fn one_of_two_racing_changes_is_accepted_and_none_is_forgotten() {
    let mut setting = support::start(&support::plan());
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        let client = Client::new();
        let admins: Vec<SocketAddr> = deployment.instances.iter().map(|i| i.admin).collect();
        let ends = Arc::new(AtomicBool::new(false));
        let watch = watch(admins.clone(), Arc::clone(&ends));
        let mut newest = 0;
        let mut in_force = 0;
        for round in 0..ROUNDS {
            let (one, two) = (round % 3, (round + 1) % 3);
            let (node, etag) = read(&client, admins[one]).await;
            let deadlines = [10_000 + 2 * round as u64, 10_001 + 2 * round as u64];
            let racers = [
                write(&client, admins[one], &node, &etag, deadlines[0]),
                write(&client, admins[two], &node, &etag, deadlines[1]),
            ];
            let mut statuses = Vec::new();
            for (racer, deadline) in racers.into_iter().zip(deadlines) {
                let answer = racer.await;
                if answer.status == 200 {
                    newest = answer.body["version"].as_u64().expect("a version");
                    in_force = deadline;
                }
                statuses.push(answer.status);
            }
            statuses.sort_unstable();
            assert!(
                matches!(statuses[..], [200, 409 | 412]),
                "round {round}: {statuses:?}"
            );
            for (number, admin) in admins.iter().enumerate() {
                until_version(deployment, number, newest).await;
                let (node, _) = read(&client, *admin).await;
                assert_eq!(node["knobs"]["deadline-ms"], in_force, "instance {number}");
            }
        }

        table_down(deployment, true).await;
        deployment.signal(2, Signal::Kill);
        deployment.start_instance(2).await.expect("it starts");
        until_version(deployment, 2, newest).await;
        deployment.until_ready().await.expect("it takes work");
        let (node, etag) = read(&client, admins[2]).await;
        assert_eq!(node["knobs"]["deadline-ms"], in_force);
        // Nothing is accepted that could be forgotten.
        let refused = write(&client, admins[2], &node, &etag, 1).await;
        assert_eq!(refused.status, 503);
        table_down(deployment, false).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        for (number, admin) in admins.iter().enumerate() {
            let (node, _) = read(&client, *admin).await;
            assert_eq!(node["knobs"]["deadline-ms"], in_force, "instance {number}");
        }
        ends.store(true, Ordering::Relaxed);
        assert_eq!(watch.await, BTreeSet::new(), "a version went back");
    });
}
