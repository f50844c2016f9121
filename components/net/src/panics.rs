//! Handlers that panic.

use std::{any::Any, net::SocketAddr, panic::AssertUnwindSafe};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use smol::future::FutureExt;

use crate::{
    reply::{Body, Reply, full},
    serve::Handler,
};

/// Lets a handler answer. If it panics the handler is told, the caller gets the answer that it
/// has for this, and the connection is given up: what is left of the request is unknown.
pub async fn caught(
    handler: &dyn Handler,
    peer: SocketAddr,
    req: Request<Incoming>,
) -> Response<Body> {
    // Nothing of the handler's future is used after it broke off.
    let answer = AssertUnwindSafe(async { handler.handle(peer, req).await });
    match answer.catch_unwind().await {
        Ok(resp) => resp,
        Err(panic) => {
            let mut resp = handler.panicked(reason(panic.as_ref()));
            let close = HeaderValue::from_static("close");
            resp.headers_mut().insert(CONNECTION, close);
            resp
        }
    }
}

/// What a panic says.
fn reason(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("no reason given")
}

/// The answer to a request whose handler panicked: whether it ran can't be told.
pub fn refusal() -> Response<Body> {
    let problem = r#"{"type":"about:blank","title":"Internal error","status":500,"detail":"The request may have run.","code":"internal-error","run":"unknown"}"#;
    Reply::new(500)
        .with_header("content-type", "application/problem+json")
        .with_body(full(problem))
        .done()
}
