//! What callers want, as requests, and whether plain answers belong to them.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Serialize;
use standins::service::EchoResponse;
use types::Class;
use xxhash_rust::xxh3::xxh3_64;

use crate::record::{Outcome, wrong};

/// Where streams are resumed.
const STREAMS: &str = "/v1/streams";

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    /// The caller's own name for it, unique in a run.
    pub name: String,
    /// Which kind of request of the mix it is.
    pub kind: String,
    /// Its urgency by the mix.
    pub class: Class,
    /// Bearer key.
    pub key: String,
    /// What to send.
    pub what: What,
}

/// What to send.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A streamed chat completion.
    Generate {
        /// The model.
        model: String,
        /// The route, if not the default.
        route: Option<String>,
        /// The prompt.
        prompt: String,
        /// How long the answer will be; engines know, instances don't.
        output: u64,
        /// The most tokens asked for.
        most: u64,
    },
    /// A plain call.
    Plain {
        /// HTTP method.
        method: String,
        /// Path and query.
        path: String,
        /// Idempotency key.
        idempotency_key: Option<String>,
    },
}

impl Wanted {
    /// Wants something of normal urgency.
    pub fn new(name: impl Into<String>, key: impl Into<String>, what: What) -> Self {
        Self {
            name: name.into(),
            kind: "single".to_owned(),
            class: Class::Normal,
            key: key.into(),
            what,
        }
    }
}

/// A request, or why HTTP does not allow it.
pub type Built = Result<Request<Full<Bytes>>, hyper::http::Error>;

#[derive(Serialize)]
struct Chat<'a> {
    model: &'a str,
    messages: [Message<'a>; 1],
    stream: bool,
    max_tokens: u64,
    metadata: Metadata<'a>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Metadata<'a> {
    output_tokens: String,
    caller: &'a str,
}

/// Asks to go on with a stream after an event.
pub fn resume(wanted: &Wanted, last: &str) -> Built {
    Request::get(STREAMS)
        .header("authorization", format!("Bearer {}", wanted.key))
        .header("last-event-id", last)
        .body(Full::default())
}

/// Asks for what is wanted.
pub fn ask(wanted: &Wanted) -> Built {
    let authorization = format!("Bearer {}", wanted.key);
    match &wanted.what {
        What::Generate {
            model,
            route,
            prompt,
            output,
            most,
        } => {
            let chat = Chat {
                model,
                messages: [Message {
                    role: "user",
                    content: prompt,
                }],
                stream: true,
                max_tokens: *most,
                metadata: Metadata {
                    output_tokens: output.to_string(),
                    caller: &wanted.name,
                },
            };
            // A struct of text and numbers always becomes JSON.
            let body = serde_json::to_vec(&chat).unwrap_or_default();
            let mut req = Request::post("/v1/chat/completions")
                .header("authorization", authorization)
                .header("content-type", "application/json");
            if let Some(route) = route {
                req = req.header("x-route", route);
            }
            req.body(Full::new(body.into()))
        }
        What::Plain {
            method,
            path,
            idempotency_key,
        } => {
            let mut req = Request::builder()
                .method(method.as_str())
                .uri(path)
                .header("authorization", authorization)
                .header("x-echo", &wanted.name)
                .header("x-effect", &wanted.name);
            if let Some(key) = idempotency_key {
                req = req.header("idempotency-key", key);
            }
            req.body(Full::new(body_of(wanted, method)))
        }
    }
}

fn body_of(wanted: &Wanted, method: &str) -> Bytes {
    if method == "GET" {
        Bytes::new()
    } else {
        format!(r#"{{"name":"{}"}}"#, wanted.name).into()
    }
}

/// Whether a plain answer belongs to its own request.
pub fn check(wanted: &Wanted, body: &[u8]) -> Outcome {
    let What::Plain { method, path, .. } = &wanted.what else {
        return wrong("a plain answer to a generation".to_owned());
    };
    let Ok(answer) = serde_json::from_slice::<EchoResponse>(body) else {
        return wrong(format!("not an answer: {}", String::from_utf8_lossy(body)));
    };
    let sent = format!("{:016x}", xxh3_64(&body_of(wanted, method)));
    if answer.path != *path || answer.seen != wanted.name || answer.body != sent {
        return wrong(format!("{answer:?} to {}", wanted.name));
    }
    Outcome::Whole
}
