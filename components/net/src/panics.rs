//! Turns a panic of a handler into a response.

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

/// Calls a handler. If it panics, [`Handler::panicked`] supplies the response, and the connection
/// is closed after it, because how much of the request was read is unknown.
pub async fn handle_catching_panics(
    handler: &dyn Handler,
    peer: SocketAddr,
    req: Request<Incoming>,
) -> Response<Body> {
    // The handler's future is not used after it has panicked.
    let response = AssertUnwindSafe(async { handler.handle(peer, req).await });
    match response.catch_unwind().await {
        Ok(resp) => resp,
        Err(panic) => {
            let mut resp = handler.panicked(message(panic.as_ref()));
            let close = HeaderValue::from_static("close");
            resp.headers_mut().insert(CONNECTION, close);
            resp
        }
    }
}

/// Returns the message of a panic.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("no reason given")
}

/// The default response to a request whose handler panicked. Whether the request ran is unknown.
pub fn internal_error() -> Response<Body> {
    let problem = r#"{"type":"about:blank","title":"Internal error","status":500,"detail":"The request may have run.","code":"internal-error","run":"unknown"}"#;
    Reply::new(500)
        .with_header("content-type", "application/problem+json")
        .with_body(full(problem))
        .done()
}
