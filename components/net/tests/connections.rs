//! What is known of a connection when it brings a response.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use net::{Client, ConnectionUse};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

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
    let resp: Response<Incoming> = client.send(addr, request()).await.expect("a response");
    let used = ConnectionUse::of(&resp);
    resp.into_body().collect().await.expect("a whole body");
    smol::Timer::after(std::time::Duration::from_millis(20)).await;
    used
}

#[test]
fn a_response_tells_how_its_connection_was_used() {
    smol::block_on(async {
        let addr = serve(&[RESPONSE, RESPONSE, RESPONSE]).await;
        let client = Client::new();
        for earlier in 0..3 {
            let used = exchange(&client, addr).await;
            assert_eq!(used.earlier_responses, earlier);
            assert_eq!(used.unexpected_bytes, 0);
            assert_eq!(used.received_bytes, RESPONSE.len());
        }
    });
}
