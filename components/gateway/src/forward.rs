//! What of a plain call's head is passed on, and what of its answer.

use std::sync::Arc;

use hyper::{HeaderMap, Response, Uri, header};
use net::{Body, Reply, full};
use targets::{PlainAnswer, openai::REQUEST_ID};
use types::Refusal;

use crate::{refusals, request};

/// Headers that concern one connection only, or that the other side sets itself.
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
/// Headers meant for celerystand itself. The key stays here: a service that gets it could act
/// in the workspace's name.
const OURS: [&str; 5] = [
    "authorization",
    "x-request-id",
    request::CLASS,
    request::DEADLINE,
    request::ROUTE,
];

/// A header as text.
pub type Header = (Arc<str>, Arc<str>);

/// The headers of a request to pass on.
pub fn request_headers(headers: &HeaderMap) -> Vec<Header> {
    let named = named_by_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| passes(name.as_str(), &named) && !OURS.contains(&name.as_str()))
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect()
}

/// The headers that `Connection` declares to be for one connection only.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn passes(name: &str, named: &[String]) -> bool {
    !HOP_BY_HOP.contains(&name) && !named.iter().any(|other| other == name)
}

/// Path and query to pass on. A path that a service might read as another one than the route
/// was chosen by is refused: it would get past the route's terms.
pub fn path(uri: &Uri) -> Result<Arc<str>, Refusal> {
    if uri.path().split('/').any(climbs) {
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

fn climbs(part: &str) -> bool {
    let plain = part.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}

/// A service's answer for the caller, with the request's name.
pub fn response(answer: &PlainAnswer, request: &str) -> Response<Body> {
    let mut reply = Reply::new(answer.status).with_body(full(answer.body.clone()));
    for (name, value) in &answer.headers {
        // An answer to `HEAD` tells the length of a body that it does not have.
        let bodiless = answer.body.is_empty() && **name == *"content-length";
        if bodiless || !HOP_BY_HOP.contains(&name.as_ref()) {
            reply = reply.with_added(name, value);
        }
    }
    reply.with_header(REQUEST_ID, request).done()
}
