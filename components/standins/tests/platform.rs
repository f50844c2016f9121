//! The platform stand-in: commits, lost responses, rate limits, an outdated directory.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use net::Client;
use smol::block_on;
use standins::{
    control::DirectoryEntry,
    platform::{self, Faults},
};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn insert(sort: &str) -> String {
    let item = format!(
        r#"{{"pk":{{"S":"p"}},"sk":{{"S":"{sort}"}},"ver":{{"N":"1"}},"body":{{"S":"b"}}}}"#
    );
    format!(
        r#"{{"Put":{{"TableName":"celerystand","Item":{item},"ConditionExpression":"attribute_not_exists(pk)"}}}}"#
    )
}

async fn commit(addr: SocketAddr, writes: &[String]) -> Option<(u16, String)> {
    let body = format!(r#"{{"TransactItems":[{}]}}"#, writes.join(","));
    let req = Request::post("/")
        .header("x-amz-target", "DynamoDB_20120810.TransactWriteItems")
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let resp = Client::new().send(addr, req).await.ok()?;
    let status = resp.status().as_u16();
    let body = resp.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

#[test]
fn a_commit_writes_all_rows_or_none() {
    block_on(async {
        let handle = platform::start(any_port(), Faults::default())
            .await
            .unwrap();
        let (status, _) = commit(handle.addr, &[insert("a")]).await.unwrap();
        assert_eq!(status, 200);
        let (status, body) = commit(handle.addr, &[insert("b"), insert("a")])
            .await
            .unwrap();
        assert_eq!(status, 400);
        assert!(body.contains("#TransactionCanceledException"), "{body}");
        let rows: Vec<_> = handle.standin.log().rows.into_keys().collect();
        assert_eq!(rows, ["p/a"]);
    });
}

// The table writes a commit, and the connection breaks before the response is sent. The writer
// can't tell this from a commit that never arrived, but the row exists.
#[test]
fn a_commit_with_a_lost_response_took_effect() {
    block_on(async {
        let faults = Faults {
            lose_answers: Some(1),
            ..Faults::default()
        };
        let handle = platform::start(any_port(), faults).await.unwrap();
        assert_eq!(commit(handle.addr, &[insert("a")]).await, None);
        assert_eq!(handle.standin.log().lost, 1);
        let (status, _) = commit(handle.addr, &[insert("a")]).await.unwrap();
        assert_eq!(status, 400, "the row exists already");
    });
}

#[test]
fn writes_over_the_rate_limit_are_rejected_without_effect() {
    block_on(async {
        let faults = Faults {
            write_rate: Some(2.0),
            ..Faults::default()
        };
        let handle = platform::start(any_port(), faults).await.unwrap();
        let writes = [insert("a"), insert("b"), insert("c")];
        let (status, body) = commit(handle.addr, &writes).await.unwrap();
        assert_eq!(status, 400);
        assert!(body.contains("#ProvisionedThroughputExceeded"), "{body}");
        assert_eq!(handle.standin.log().rows.len(), 0);
    });
}

// The directory answers with an outdated list. An instance that relies on it sends requests to
// targets that have left, and does not know new ones yet.
#[test]
fn a_lagging_directory_answers_with_an_outdated_list() {
    block_on(async {
        let handle = platform::start(any_port(), Faults::default())
            .await
            .unwrap();
        handle.standin.register(DirectoryEntry {
            name: "e1".to_owned(),
            service: "m".to_owned(),
            addr: "127.0.0.1:9".to_owned(),
            incarnation: 7,
            ..DirectoryEntry::default()
        });
        assert!(slices(handle.addr).await.contains(r#""uid":"7""#));
        handle.standin.set_faults(Faults {
            directory_lag_ms: Some(60_000),
            ..Faults::default()
        });
        assert!(slices(handle.addr).await.contains(r#""items":[]"#));
    });
}

async fn slices(addr: SocketAddr) -> String {
    let path = "/apis/discovery.k8s.io/v1/endpointslices";
    let req = Request::get(path).body(Full::default()).unwrap();
    let resp = Client::new().send(addr, req).await.unwrap();
    let body = resp.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8_lossy(&body).into_owned()
}
