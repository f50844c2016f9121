//! An accepted configuration takes effect on all instances within seconds and is never reverted.

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

/// Path of the node that two operators change at the same time.
const NODE_PATH: &str = "/v1/tree/services/viewer/routes/lookups";
/// Number of races.
const ROUNDS: usize = 8;
/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a test gives up.
const MAX_POLLS: usize = 1500;
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// How long an answer's body is awaited.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// An answer of the administration API.
struct Answer {
    status: u16,
    headers: HeaderMap,
    body: Value,
}

/// Sends a request to the administration API; `None` if no answer arrived.
async fn send(
    client: &Client,
    admin: SocketAddr,
    method: &str,
    path: &str,
    etag: Option<&str>,
    body: &Value,
) -> Option<Answer> {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .header("content-type", "application/json");
    if let Some(etag) = etag {
        req = req.header("if-match", etag);
    }
    let text = if method == "GET" {
        Bytes::new()
    } else {
        body.to_string().into()
    };
    let req = req.body(Full::new(text)).expect("a request");
    let resp = client.send_fresh(admin, req).await.ok()?;
    let (status, headers) = (resp.status().as_u16(), resp.headers().clone());
    let body = net::read_all(resp.into_body(), MAX_ANSWER_BYTES, BODY_TIMEOUT);
    let body = serde_json::from_slice(&body.await.ok()?).unwrap_or(Value::Null);
    Some(Answer {
        status,
        headers,
        body,
    })
}

/// The node as an instance has it, with its `ETag`.
async fn read(client: &Client, admin: SocketAddr) -> (Value, String) {
    let answer = send(client, admin, "GET", NODE_PATH, None, &Value::Null).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200);
    let etag = answer.headers["etag"].to_str().expect("text").to_owned();
    (answer.body["node"].clone(), etag)
}

/// Writes the node with a deadline that identifies the writer.
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
        let answer = send(&client, admin, "PUT", NODE_PATH, Some(&etag), &node).await;
        answer.expect("an answer")
    })
}

async fn until_version(deployment: &Deployment, number: usize, version: u64) {
    for _ in 0..MAX_POLLS {
        if deployment.version(number).await >= version {
            return;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    panic!(
        "instance {number} does not apply version {version}:\n{}",
        deployment.tail(number)
    );
}

/// Watches the versions in force until `is_over`; returns each change to an older version.
fn watch_versions(admins: Vec<SocketAddr>, is_over: Arc<AtomicBool>) -> Task<BTreeSet<String>> {
    workers::spawn(async move {
        let client = Client::new();
        let mut newest = vec![0; admins.len()];
        let mut regressions = BTreeSet::new();
        while !is_over.load(Ordering::Relaxed) {
            for (number, admin) in admins.iter().enumerate() {
                let answer = send(&client, *admin, "GET", "/v1/status", None, &Value::Null).await;
                // An instance that is down, or has no configuration yet, reports no version.
                let version = answer.and_then(|a| a.body["config-version"].as_u64());
                let Some(version) = version else { continue };
                if version < newest[number] {
                    regressions.insert(format!("{number}: {version} after {}", newest[number]));
                }
                newest[number] = version.max(newest[number]);
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        regressions
    })
}

async fn set_table_down(deployment: &Deployment, down: bool) {
    let faults = platform::Faults {
        table_down: Some(down),
        ..platform::Faults::default()
    };
    deployment.platform_fault(&faults).await;
}

/// Two operators change the same version of a node through two instances; then an instance is
/// restarted while the table service is down. Guards against losing an accepted change, and against
/// instances that use an old tree.
#[test]
fn one_of_two_racing_changes_is_accepted_and_no_accepted_change_is_lost() {
    let mut started = support::start(&support::plan());
    let deployment = &mut started.deployment;
    smol::block_on(async {
        let client = Client::new();
        let admins: Vec<SocketAddr> = deployment.instances.iter().map(|i| i.admin).collect();
        let is_over = Arc::new(AtomicBool::new(false));
        let watch_versions = watch_versions(admins.clone(), Arc::clone(&is_over));
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

        set_table_down(deployment, true).await;
        deployment.signal(2, Signal::Kill);
        deployment.start_instance(2).await.expect("it starts");
        until_version(deployment, 2, newest).await;
        deployment.until_ready().await.expect("it is ready");
        let (node, etag) = read(&client, admins[2]).await;
        assert_eq!(node["knobs"]["deadline-ms"], in_force);
        // No change is accepted that could be lost.
        let refused = write(&client, admins[2], &node, &etag, 1).await;
        assert_eq!(refused.status, 503);
        set_table_down(deployment, false).await;
        smol::Timer::after(Duration::from_secs(1)).await;
        for (number, admin) in admins.iter().enumerate() {
            let (node, _) = read(&client, *admin).await;
            assert_eq!(node["knobs"]["deadline-ms"], in_force, "instance {number}");
        }
        is_over.store(true, Ordering::Relaxed);
        assert_eq!(
            watch_versions.await,
            BTreeSet::new(),
            "an instance returned to an older version"
        );
    });
}
