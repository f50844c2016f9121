//! What is known of a connection when it brings a response.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use net::{AnyConnection, Client, Connecting, ConnectionUse, SendError, SendRules};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time for a response to be read, or for none to come.
const PAUSE: Duration = Duration::from_millis(20);
/// Time for a connection that may carry more requests to return to the pool.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// The most requests that a connection may carry in a test.
const MANY: usize = 4_096;
/// A response with an empty body.
const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Accepts connections, and answers the requests on each with these texts, then closes it.
async fn serve(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let listener = listener.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            workers::spawn(answer(stream, answers)).detach();
        }
    };
    workers::spawn(accept).detach();
    addr
}

async fn answer(mut stream: TcpStream, answers: &'static [&'static str]) {
    let mut buf = [0; 4096];
    for text in answers {
        let Ok(1..) = stream.read(&mut buf).await else {
            return;
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").body(Full::default()).expect("a request")
}

/// Sends a request and reads the response to its end.
async fn exchange(client: &Client, addr: SocketAddr) -> ConnectionUse {
    exchange_with(client, addr, &AnyConnection).await
}

async fn exchange_with(client: &Client, addr: SocketAddr, rules: &dyn SendRules) -> ConnectionUse {
    let sent = client.send_with(addr, request(), rules).await;
    let resp: Response<Incoming> = sent.expect("a response");
    let used = ConnectionUse::of(&resp);
    resp.into_body().collect().await.expect("a whole body");
    smol::Timer::after(PAUSE).await;
    used
}

#[test]
fn a_response_tells_how_its_connection_was_used() {
    smol::block_on(async {
        let addr = serve(&[RESPONSE, RESPONSE, RESPONSE]).await;
        let client = Client::new();
        let mut numbers = Vec::new();
        for earlier in 0..3 {
            let used = exchange(&client, addr).await;
            numbers.push(used.number);
            assert_eq!(used.earlier_responses, earlier);
            assert_eq!(used.unexpected_bytes, 0);
            assert_eq!(used.received_bytes, RESPONSE.len());
        }
        assert!(numbers[0] > 0);
        numbers.dedup();
        assert_eq!(numbers.len(), 1);
    });
}

/// Guards against taking bytes that belong to no request for the response to the next one.
#[test]
fn a_connection_on_which_further_bytes_have_arrived_carries_no_further_request() {
    const EXTRA: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n\
                         HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    smol::block_on(async {
        let addr = serve(&[EXTRA]).await;
        let client = Client::new();
        for _ in 0..3 {
            let used = exchange(&client, addr).await;
            assert_eq!(used.earlier_responses, 0);
        }
    });
}

/// Takes no response for its own.
struct NoOwnResponse;

impl SendRules for NoOwnResponse {
    fn name(&self) -> Option<&str> {
        None
    }

    fn is_own(&self, _: &Response<Incoming>) -> bool {
        false
    }
}

/// Guards against responses that are off by one from then on: the next response on the connection is the one
/// to the request that got another's.
#[test]
fn a_connection_that_brought_the_response_to_another_request_carries_no_further_one() {
    smol::block_on(async {
        let addr = serve(&[RESPONSE, RESPONSE]).await;
        let client = Client::new();
        let resp = client.send_with(addr, request(), &NoOwnResponse).await;
        drop(resp.expect("a response"));
        smol::Timer::after(PAUSE).await;
        assert_eq!(client.idle(addr), 0);
        assert_eq!(exchange(&client, addr).await.earlier_responses, 0);
    });
}

/// Guards against one request after the other whose response is lost, as a response to an earlier request comes
/// first on each connection of a server.
#[test]
fn connections_to_a_server_that_sent_the_response_to_another_request_are_used_once() {
    smol::block_on(async {
        let addr = serve(&[RESPONSE; 4]).await;
        let client = Client::new();
        let idle = exchange(&client, addr).await.number;
        let sent = client.send_with(addr, request(), &NewAndNotOwn).await;
        drop(sent.expect("a response"));
        assert_eq!(client.idle(addr), 0, "{idle} may bring one too");
        for _ in 0..3 {
            let used = exchange(&client, addr).await;
            assert_eq!(used.earlier_responses, 0);
        }
        // Other servers are not affected.
        let other = serve(&[RESPONSE; 4]).await;
        exchange(&client, other).await;
        assert_eq!(exchange(&client, other).await.earlier_responses, 1);
    });
}

/// Sends over a new connection, and takes no response for its own.
struct NewAndNotOwn;

impl SendRules for NewAndNotOwn {
    fn name(&self) -> Option<&str> {
        None
    }

    fn needs_new_connection(&self) -> bool {
        true
    }

    fn is_own(&self, _: &Response<Incoming>) -> bool {
        false
    }
}

/// Refuses to send.
struct NeverSend;

impl SendRules for NeverSend {
    fn name(&self) -> Option<&str> {
        None
    }

    fn may_send(&self) -> Result<(), Arc<str>> {
        Err("it is withheld".into())
    }
}

/// Guards against a claim that nothing was sent because no response came in time.
#[test]
fn only_a_request_that_was_held_back_counts_as_unsent() {
    smol::block_on(async {
        let silent = serve(&["", ""]).await;
        let client = Client::new();
        let sent = client.send_within(PAUSE, silent, request(), &AnyConnection);
        let Err(SendError::Lost { timed_out, .. }) = sent.await else {
            panic!("a request to a silent server may have run");
        };
        assert!(timed_out);
        let sent = client.send_within(PAUSE, silent, request(), &NeverSend);
        assert!(matches!(sent.await, Err(SendError::Unsent(_))));
    });
}

/// What became of the connection for a request that was not sent.
async fn connecting(client: &Client, addr: SocketAddr, rules: &dyn SendRules) -> Connecting {
    match client.send_with(addr, request(), rules).await {
        Err(SendError::Unsent(unsent)) => unsent.connecting(),
        other => panic!("{other:?}"),
    }
}

/// Guards against a server that accepts connections and counts as one that is not reached.
#[test]
fn an_unsent_request_tells_whether_its_connection_opened() {
    smol::block_on(async {
        let client = Client::new();
        let held_back = connecting(&client, serve(&[""]).await, &NeverSend).await;
        assert_eq!(held_back, Connecting::Opened);
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = free.local_addr().expect("an address");
        drop(free);
        let refused = connecting(&client, addr, &AnyConnection).await;
        assert_eq!(refused, Connecting::Refused);
    });
}

/// Guards against a request over an idle connection that opens a new one.
#[test]
fn a_request_over_an_idle_connection_opens_no_other_one() {
    smol::block_on(async {
        let addr = serve(&[""]).await;
        let client = Client::new();
        let sent = client.send_on_idle(addr, request(), &AnyConnection).await;
        assert!(sent.is_none());
    });
}

/// Guards against a head that is cut off and taken for a whole response, or for one that was not sent.
#[test]
fn a_response_cut_within_its_head_is_lost() {
    const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nresponse-seal: s\r\n\r\n";
    smol::block_on(async {
        for length in 0..WHOLE.len() {
            let addr = serve(Box::leak(Box::new([&WHOLE[..length]]))).await;
            let sent = Client::new().send(addr, request()).await;
            let is_lost = matches!(sent, Err(SendError::Lost { .. }));
            assert!(is_lost, "{:?}", &WHOLE[..length]);
        }
    });
}

/// Sends a request with this name.
struct Named(String);

impl SendRules for Named {
    fn name(&self) -> Option<&str> {
        Some(&self.0)
    }
}

/// Guards against taking a late copy of the response to an earlier sending of a request for the one to a later
/// sending over the same connection: the copy names the request too.
#[test]
fn a_connection_carries_a_request_once() {
    smol::block_on(async {
        let addr = serve(&[RESPONSE; 8]).await;
        let client = Client::new();
        let first = exchange_with(&client, addr, &Named("a".into()))
            .await
            .number;
        let second = exchange_with(&client, addr, &Named("a".into()))
            .await
            .number;
        assert_ne!(second, first);
        // Another request may go over either of them, and has then used that one.
        let other = exchange_with(&client, addr, &Named("b".into()))
            .await
            .number;
        assert_eq!(other, second);
        assert_eq!(
            exchange_with(&client, addr, &Named("b".into()))
                .await
                .number,
            first
        );
        let third = exchange_with(&client, addr, &Named("a".into()))
            .await
            .number;
        assert!(third != first && third != second);
        assert_eq!(client.idle(addr), 3);
        assert_eq!(
            exchange_with(&client, addr, &Named("b".into()))
                .await
                .number,
            third
        );
    });
}

/// Guards against a server at its connection limit because one request is sent again and again, each time over a
/// connection that then stays open.
#[test]
fn a_request_that_is_sent_again_and_again_fills_no_pool() {
    smol::block_on(async {
        let addr = serve(&[RESPONSE; 8]).await;
        let client = Client::new();
        let mut numbers = Vec::new();
        for _ in 0..20 {
            let used = exchange_with(&client, addr, &Named("a".into())).await;
            numbers.push(used.number);
            assert!(client.idle(addr) <= 5, "{}", client.idle(addr));
        }
        numbers.dedup();
        assert_eq!(numbers.len(), 20);
    });
}

/// Guards against a request that goes twice over an idle connection, where only an idle one is asked for.
#[test]
fn a_request_goes_over_no_idle_connection_that_has_carried_it() {
    smol::block_on(async {
        let addr = serve(&[RESPONSE; 8]).await;
        let client = Client::new();
        exchange_with(&client, addr, &Named("a".into())).await;
        let on_idle = |name| {
            let client = &client;
            async move { client.send_on_idle(addr, request(), &Named(name)).await }
        };
        assert!(on_idle("a".into()).await.is_none());
        assert!(matches!(on_idle("b".into()).await, Some(Ok(_))));
    });
}

/// Guards against a connection that forgets which requests it has carried: after so many it is closed.
#[test]
fn a_connection_is_closed_before_it_forgets_a_request() {
    smol::block_on(async {
        // The server would answer more requests, so that it's the client that closes the connection.
        let addr = serve(&[RESPONSE; MANY + 1]).await;
        let client = Client::new();
        let mut numbers = Vec::new();
        for id in 0..MANY {
            let rules = Named(format!("request-{id}"));
            let resp = client.send_with(addr, request(), &rules).await;
            let resp = resp.expect("a response");
            numbers.push(ConnectionUse::of(&resp).number);
            resp.into_body().collect().await.expect("a whole body");
            let sent_at = Instant::now();
            while client.idle(addr) == 0 && sent_at.elapsed() < RETURN_TIME {
                smol::future::yield_now().await;
            }
            if client.idle(addr) == 0 {
                break;
            }
        }
        assert!(numbers.len() < MANY, "it is closed in time");
        numbers.dedup();
        assert_eq!(numbers.len(), 1, "one connection carries them all");
        assert_eq!(client.idle(addr), 0);
    });
}

/// Guards against a request that was given up while a path held it and that arrives later: its connection must be
/// reset, not closed in order.
#[test]
fn a_request_that_is_given_up_resets_its_connection() {
    smol::block_on(async {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let listener = listener.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let client = Client::new().with_resets();
        let sent = client.send_within(PAUSE, addr, request(), &AnyConnection);
        let lost = sent.await.expect_err("no response");
        assert!(matches!(lost, SendError::Lost { .. }), "{lost:?}");
        let (mut stream, _) = listener.accept().await.expect("a connection");
        smol::Timer::after(PAUSE).await;
        let mut buf = Vec::new();
        let read = stream.read_to_end(&mut buf).await;
        let kind = read.map_err(|e| e.kind());
        assert_eq!(kind, Err(ErrorKind::ConnectionReset), "{buf:?}");
    });
}
