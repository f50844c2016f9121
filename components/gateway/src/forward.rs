//! Selects which headers of a plain call and of its answer are forwarded.

use std::sync::Arc;

use hyper::{HeaderMap, Response, Uri, header};
use net::{Body, Reply, full};
use targets::{PlainAnswer, openai::REQUEST_ID};
use types::Refusal;

use crate::{refusals, request};

/// Headers that apply to one connection only, or that the client or server sets itself.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Headers for celerystand itself. The key is not forwarded: a service that received it could act
/// on behalf of the workspace.
const CELERYSTAND_HEADERS: [&str; 5] = [
    "authorization",
    "x-request-id",
    request::CLASS,
    request::DEADLINE,
    request::ROUTE,
];

/// Name and value of a header.
pub type Header = (Arc<str>, Arc<str>);

/// Returns the headers of a request to forward.
pub fn request_headers(headers: &HeaderMap) -> Vec<Header> {
    let per_connection = connection_headers(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            is_end_to_end(name.as_str(), &per_connection)
                && !CELERYSTAND_HEADERS.contains(&name.as_str())
        })
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect()
}

/// Returns the names that the `Connection` header declares to apply to one connection only.
fn connection_headers(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Whether a header may be forwarded.
fn is_end_to_end(name: &str, per_connection: &[String]) -> bool {
    !HOP_BY_HOP.contains(&name) && !per_connection.iter().any(|other| other == name)
}

/// Returns the path and query to forward. A path with dot segments is refused: the service might
/// resolve it to another path than the route was chosen by, and so bypass the route's terms.
pub fn path(uri: &Uri) -> Result<Arc<str>, Refusal> {
    if uri.path().split('/').any(is_dot_segment) {
        return Err(refusals::bad_request(
            "bad-path",
            "the path must not hold `.` or `..` as a part",
        ));
    }
    Ok(uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .into())
}

fn is_dot_segment(part: &str) -> bool {
    let decoded = part.to_ascii_lowercase().replace("%2e", ".");
    decoded == "." || decoded == ".."
}

/// Returns the response for a service's answer, with the request id.
pub fn response(answer: &PlainAnswer, request_id: &str) -> Response<Body> {
    let mut reply = Reply::new(answer.status).with_body(full(answer.body.clone()));
    for (name, value) in &answer.headers {
        // An answer to `HEAD` has the length of a body that it does not contain.
        let is_length_without_body = answer.body.is_empty() && **name == *"content-length";
        if is_length_without_body || !HOP_BY_HOP.contains(&name.as_ref()) {
            reply = reply.with_appended_header(name, value);
        }
    }
    reply.with_header(REQUEST_ID, request_id).done()
}
