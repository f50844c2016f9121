//! The client of the table service, with the stand-in and with servers that send invalid answers.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Client, Handler, Reply, ServeLimits, Server, full};
use standins::platform::{Faults, Platform, start};
use stores::{DynamoTable, PlatformError, Row, RowKey, Table, Write};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn client(addr: SocketAddr) -> DynamoTable {
    let token = Some("token".into());
    DynamoTable::new(Client::new(), &format!("http://{addr}"), token).expect("a valid address")
}

async fn table(faults: Faults) -> (standins::StandinHandle<Platform>, DynamoTable) {
    let running = start(any_port(), faults).await.expect("a free port");
    let table = client(running.addr);
    (running, table)
}

fn insert(sort: &str, body: &str) -> Write {
    Write::Insert {
        key: RowKey::new("p", sort),
        body: body.into(),
    }
}

fn replace(sort: &str, version: u64, body: &str) -> Write {
    Write::Replace {
        key: RowKey::new("p", sort),
        version,
        body: body.into(),
    }
}

#[test]
fn a_row_is_read_back_as_it_was_written() {
    smol::block_on(async {
        let (_running, table) = table(Faults::default()).await;
        let key = RowKey::new("p", "a");
        assert_eq!(table.read(&key).await, Ok(None));
        assert_eq!(table.commit(&[insert("a", "{\"é\":1}")]).await, Ok(()));
        let row = Row {
            key: key.clone(),
            version: 1,
            body: "{\"é\":1}".into(),
        };
        assert_eq!(table.read(&key).await, Ok(Some(row)));
        assert_eq!(table.commit(&[replace("a", 1, "two")]).await, Ok(()));
        let delete = Write::Delete {
            key: key.clone(),
            version: 2,
        };
        assert_eq!(table.commit(&[delete]).await, Ok(()));
        assert_eq!(table.read(&key).await, Ok(None));
    });
}

#[test]
fn a_list_is_sorted_and_starts_after_the_given_key() {
    smol::block_on(async {
        let (_running, table) = table(Faults::default()).await;
        for number in 0..30 {
            let write = insert(&format!("{number:03}"), "x");
            assert_eq!(table.commit(&[write]).await, Ok(()));
        }
        let sorts = |rows: &[Row]| -> Vec<Arc<str>> {
            rows.iter().map(|r| Arc::clone(&r.key.sort)).collect()
        };
        let all = table.list("p", "", 1000).await.expect("the table is up");
        let expected: Vec<Arc<str>> = (0..30).map(|n| format!("{n:03}").into()).collect();
        assert_eq!(sorts(&all), expected);
        let some = table.list("p", "010", 3).await.expect("the table is up");
        assert_eq!(sorts(&some), expected[11..14]);
        assert_eq!(table.list("q", "", 10).await, Ok(Vec::new()));
    });
}

// Two instances write the same row at once. None of the later one's writes may take effect, or a
// user would see half a change.
#[test]
fn a_commit_with_one_failed_condition_writes_nothing() {
    smol::block_on(async {
        let (_running, table) = table(Faults::default()).await;
        assert_eq!(table.commit(&[insert("a", "1")]).await, Ok(()));
        let both = [insert("b", "1"), insert("a", "2")];
        assert_eq!(table.commit(&both).await, Err(PlatformError::Conflict));
        let stale = [replace("a", 7, "3")];
        assert_eq!(table.commit(&stale).await, Err(PlatformError::Conflict));
        assert_eq!(table.read(&RowKey::new("p", "b")).await, Ok(None));
    });
}

// The connection breaks after the service has applied a commit and before its answer arrives. If
// the client reported that nothing was written, the caller would write twice.
#[test]
fn a_lost_answer_to_a_commit_is_reported_as_unknown() {
    smol::block_on(async {
        let faults = Faults {
            lose_answers: Some(1),
            ..Faults::default()
        };
        let (_running, table) = table(faults).await;
        let result = table.commit(&[insert("a", "1")]).await;
        assert!(
            matches!(result, Err(PlatformError::Unknown { .. })),
            "{result:?}"
        );
        let row = table.read(&RowKey::new("p", "a")).await;
        assert!(matches!(row, Ok(Some(_))), "{row:?}");
    });
}

// The service rejects calls above its rate. Such a call certainly had no effect, so a keyed request
// may be refused as not run.
#[test]
fn a_throttled_call_is_reported_as_busy() {
    smol::block_on(async {
        let faults = Faults {
            write_rate: Some(0.0),
            read_rate: Some(0.0),
            ..Faults::default()
        };
        let (_running, table) = table(faults).await;
        let commit = table.commit(&[insert("a", "1")]).await;
        assert!(
            matches!(commit, Err(PlatformError::Busy { .. })),
            "{commit:?}"
        );
        let read = table.read(&RowKey::new("p", "a")).await;
        assert!(matches!(read, Err(PlatformError::Busy { .. })), "{read:?}");
    });
}

// A status 500 does not say whether the write took effect.
#[test]
fn an_internal_error_leaves_a_commit_unknown_and_a_read_unavailable() {
    smol::block_on(async {
        let faults = Faults {
            table_errors: Some(true),
            ..Faults::default()
        };
        let (_running, table) = table(faults).await;
        let commit = table.commit(&[insert("a", "1")]).await;
        assert!(
            matches!(commit, Err(PlatformError::Unknown { .. })),
            "{commit:?}"
        );
        let read = table.read(&RowKey::new("p", "a")).await;
        assert!(
            matches!(read, Err(PlatformError::Unavailable { .. })),
            "{read:?}"
        );
    });
}

#[test]
fn a_refused_connection_is_reported_as_unavailable() {
    smol::block_on(async {
        let table = client(SocketAddr::from(([127, 0, 0, 1], 1)));
        let commit = table.commit(&[insert("a", "1")]).await;
        assert!(
            matches!(commit, Err(PlatformError::Unavailable { .. })),
            "{commit:?}"
        );
    });
}

/// Answers every request with the same status and body.
struct FixedAnswer {
    status: u16,
    body: &'static str,
}

#[async_trait]
impl Handler for FixedAnswer {
    async fn handle(&self, _peer: SocketAddr, _req: Request<Incoming>) -> Response<Body> {
        Reply::new(self.status).with_body(full(self.body)).done()
    }
}

async fn answering(status: u16, body: &'static str) -> DynamoTable {
    let handler = Arc::new(FixedAnswer { status, body });
    let server = Server::bind(any_port(), ServeLimits::default(), handler);
    let server = server.await.expect("a free port");
    let addr = server.addr().expect("it listens");
    workers::spawn(server.run()).detach();
    client(addr)
}

/// Answers queries over ten rows with two rows per page; each page but the last has a key to
/// continue from.
struct TwoRowPages;

#[async_trait]
impl Handler for TwoRowPages {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let timeout = std::time::Duration::from_secs(5);
        let body = net::read_all(req.into_body(), 10_000, timeout).await;
        let body = String::from_utf8(body.expect("a complete request").to_vec()).expect("text");
        let after = body
            .split(r#":s":{"S":""#)
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        let first = after
            .expect("a sort key")
            .trim()
            .parse::<u32>()
            .map_or(0, |n| n + 1);
        let row = |n| {
            let key = format!(r#""pk":{{"S":"p"}},"sk":{{"S":"{n}"}}"#);
            format!(r#"{{{key},"ver":{{"N":"1"}},"body":{{"S":""}}}}"#)
        };
        let items: Vec<String> = (first..10).take(2).map(row).collect();
        let last = match first {
            8.. => String::new(),
            _ => format!(r#","LastEvaluatedKey":{{"sk":{{"S":"{}"}}}}"#, first + 1),
        };
        let text = format!(r#"{{"Items":[{}]{last}}}"#, items.join(","));
        Reply::new(200).with_body(full(text)).done()
    }
}

// The service ends a page at its own size limit and says that there is more. A client that took a
// short page for the last one would start with an incomplete configuration.
#[test]
fn a_short_page_is_not_taken_for_the_last_one() {
    smol::block_on(async {
        let server = Server::bind(any_port(), ServeLimits::default(), Arc::new(TwoRowPages));
        let server = server.await.expect("a free port");
        let table = client(server.addr().expect("it listens"));
        workers::spawn(server.run()).detach();
        let rows = table.list("p", "", 100).await.expect("the table is up");
        let sorts: Vec<&str> = rows.iter().map(|r| &*r.key.sort).collect();
        assert_eq!(sorts, ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"]);
        assert_eq!(table.list("p", "3", 3).await.map(|rows| rows.len()), Ok(3));
    });
}

// A proxy answers in place of the service, with a login page, an old version or half a document.
// The client must return an error and not panic, and must not report that a commit wrote nothing.
#[test]
fn an_invalid_answer_is_an_error() {
    smol::block_on(async {
        let key = RowKey::new("p", "a");
        let invalid = [
            "",
            "<html>login</html>",
            "{\"Item\":{\"pk\":{\"S\":\"p\"}}}",
            "{\"Item\":{\"pk\":{\"N\":\"1\"},\"sk\":{\"S\":\"a\"}}}",
            "{\"Item\":{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"a\"},\"ver\":{\"N\":\"-1\"},\"body\":{\"S\":\"\"}}}",
            "{\"Items\":[{\"pk\":{\"S\":\"p\"}}]}",
            "{\"Items\":[{\"pk\":{\"S\":\"p\"},\"sk\":{\"S\":\"\"},\"ver\":{\"N\":\"1\"},\"body\":{\"S\":\"\"}}],\"LastEvaluatedKey\":1}",
        ];
        for body in invalid {
            let table = answering(200, body).await;
            if !body.contains("Items") {
                let read = table.read(&key).await;
                assert!(
                    matches!(read, Err(PlatformError::Malformed { .. })),
                    "{body}: {read:?}"
                );
            } else {
                let list = table.list("p", "", 5).await;
                assert!(
                    matches!(list, Err(PlatformError::Malformed { .. })),
                    "{body}: {list:?}"
                );
            }
        }
        let proxy = answering(503, "<html>try later</html>").await;
        let commit = proxy.commit(&[insert("a", "1")]).await;
        assert!(
            matches!(commit, Err(PlatformError::Unknown { .. })),
            "{commit:?}"
        );
    });
}

#[test]
fn an_address_without_ip_and_port_is_rejected() {
    for base in [
        "",
        "127.0.0.1:1",
        "https://127.0.0.1:1",
        "http://table.example:1",
        "http://127.0.0.1",
        "http://127.0.0.1:1/?a=b",
    ] {
        let table = DynamoTable::new(Client::new(), base, None);
        assert!(table.is_err(), "{base:?} was accepted");
    }
    let newline = Some("a\nb".into());
    assert!(DynamoTable::new(Client::new(), "http://127.0.0.1:1", newline).is_err());
}
