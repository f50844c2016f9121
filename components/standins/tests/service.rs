//! The plain service stand-in: counted effects, connections cut before and after the effect.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use net::Client;
use smol::block_on;
use standins::{
    connection::StandinHandle,
    lifecycle::{Cut, Faults},
    service::{self, Service, ServiceSettings},
};

async fn start(faults: Faults) -> StandinHandle<Service> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let handle = service::start(any_port, ServiceSettings::default())
        .await
        .unwrap();
    handle.standin.set_faults(faults);
    handle
}

async fn post(addr: SocketAddr) -> Option<String> {
    let req = Request::post("/save?x=1")
        .header("x-effect", "grant-7")
        .header("x-echo", "abc")
        .body(Full::new(Bytes::from_static(b"{}")));
    let resp = Client::new().send(addr, req.unwrap()).await.ok()?;
    let body = resp.into_body().collect().await.ok()?.to_bytes();
    Some(String::from_utf8_lossy(&body).into_owned())
}

fn effects(handle: &StandinHandle<Service>) -> u32 {
    let log = handle.standin.log();
    log.effects.get("grant-7").copied().unwrap_or(0)
}

#[test]
fn each_effect_is_counted_and_each_response_echoes_its_request() {
    block_on(async {
        let handle = start(Faults::default()).await;
        let answer = post(handle.addr).await.unwrap();
        assert!(
            answer.contains(r#""path":"/save?x=1","seen":"abc""#),
            "{answer}"
        );
        post(handle.addr).await.unwrap();
        assert_eq!(effects(&handle), 2);
    });
}

// The connection breaks while the request is sent: the service never receives all of it.
#[test]
fn a_request_cut_while_it_is_read_has_no_effect() {
    block_on(async {
        let cut_reading = Some(Cut {
            bytes: 40,
            times: 1,
        });
        let handle = start(Faults {
            cut_reading,
            ..Faults::default()
        })
        .await;
        assert_eq!(post(handle.addr).await, None);
        assert_eq!(effects(&handle), 0);
        assert!(post(handle.addr).await.is_some());
    });
}

// The connection breaks while the response is sent: the caller gets no response to a request that
// took effect.
#[test]
fn a_request_cut_while_it_is_answered_takes_effect() {
    block_on(async {
        let cut_answer = Some(Cut {
            bytes: 10,
            times: 1,
        });
        let handle = start(Faults {
            cut_answer,
            ..Faults::default()
        })
        .await;
        assert_eq!(post(handle.addr).await, None);
        assert_eq!(effects(&handle), 1);
    });
}
