//! The plain service: effects counted, calls cut at either side of the effect.

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
    let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = service::start(ephemeral, ServiceSettings::default())
        .await
        .unwrap();
    running.standin.set_faults(faults);
    running
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

fn effects(running: &StandinHandle<Service>) -> u32 {
    let log = running.standin.log();
    log.effects.get("grant-7").copied().unwrap_or(0)
}

#[test]
fn each_effect_is_counted_and_each_answer_names_its_call() {
    block_on(async {
        let running = start(Faults::default()).await;
        let answer = post(running.addr).await.unwrap();
        assert!(
            answer.contains(r#""path":"/save?x=1","seen":"abc""#),
            "{answer}"
        );
        post(running.addr).await.unwrap();
        assert_eq!(effects(&running), 2);
    });
}

// A connection breaks while the request is on its way: the service never saw all of it.
#[test]
fn a_call_cut_while_it_is_read_has_no_effect() {
    block_on(async {
        let cut_reading = Some(Cut {
            bytes: 40,
            times: 1,
        });
        let running = start(Faults {
            cut_reading,
            ..Faults::default()
        })
        .await;
        assert_eq!(post(running.addr).await, None);
        assert_eq!(effects(&running), 0);
        assert!(post(running.addr).await.is_some());
    });
}

// A connection breaks while the answer is on its way: the caller hears nothing of an effect
// that took place.
#[test]
fn a_call_cut_while_it_is_answered_has_its_effect() {
    block_on(async {
        let cut_answer = Some(Cut {
            bytes: 10,
            times: 1,
        });
        let running = start(Faults {
            cut_answer,
            ..Faults::default()
        })
        .await;
        assert_eq!(post(running.addr).await, None);
        assert_eq!(effects(&running), 1);
    });
}
