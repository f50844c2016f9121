//! The platform: commits, lost answers, a lagging directory.

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

fn ephemeral() -> SocketAddr {
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
        let running = platform::start(ephemeral(), Faults::default())
            .await
            .unwrap();
        let (status, _) = commit(running.addr, &[insert("a")]).await.unwrap();
        assert_eq!(status, 200);
        let (status, body) = commit(running.addr, &[insert("b"), insert("a")])
            .await
            .unwrap();
        assert_eq!(status, 400);
        assert!(body.contains("#TransactionCanceledException"), "{body}");
        let rows: Vec<_> = running.standin.log().rows.into_keys().collect();
        assert_eq!(rows, ["p/a"]);
    });
}

// The table writes a commit, and the connection breaks before the answer is out. The writer
// can't tell this from a commit that never arrived; the row is there all the same.
#[test]
fn a_commit_with_a_lost_answer_took_effect() {
    block_on(async {
        let faults = Faults {
            lose_answers: Some(1),
            ..Faults::default()
        };
        let running = platform::start(ephemeral(), faults).await.unwrap();
        assert_eq!(commit(running.addr, &[insert("a")]).await, None);
        assert_eq!(running.standin.log().lost, 1);
        let (status, _) = commit(running.addr, &[insert("a")]).await.unwrap();
        assert_eq!(status, 400, "the row exists already");
    });
}

#[test]
fn writes_over_the_rate_are_refused_and_write_nothing() {
    block_on(async {
        let faults = Faults {
            write_rate: Some(2.0),
            ..Faults::default()
        };
        let running = platform::start(ephemeral(), faults).await.unwrap();
        let writes = [insert("a"), insert("b"), insert("c")];
        let (status, body) = commit(running.addr, &writes).await.unwrap();
        assert_eq!(status, 400);
        assert!(body.contains("#ProvisionedThroughputExceeded"), "{body}");
        assert_eq!(running.standin.log().rows.len(), 0);
    });
}

// The directory answers what was true a while ago. An instance that believes it sends work to
// what has left, or does not know yet what has come.
#[test]
fn the_directory_shows_the_past() {
    block_on(async {
        let running = platform::start(ephemeral(), Faults::default())
            .await
            .unwrap();
        running.standin.register(DirectoryEntry {
            name: "e1".to_owned(),
            service: "m".to_owned(),
            addr: "127.0.0.1:9".to_owned(),
            incarnation: 7,
            ..DirectoryEntry::default()
        });
        assert!(slices(running.addr).await.contains(r#""uid":"7""#));
        running.standin.set_faults(Faults {
            directory_lag_ms: Some(60_000),
            ..Faults::default()
        });
        assert!(slices(running.addr).await.contains(r#""items":[]"#));
    });
}

async fn slices(addr: SocketAddr) -> String {
    let path = "/apis/discovery.k8s.io/v1/endpointslices";
    let req = Request::get(path).body(Full::default()).unwrap();
    let resp = Client::new().send(addr, req).await.unwrap();
    let body = resp.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8_lossy(&body).into_owned()
}
