//! A caller: sends requests, checks what comes back, and keeps a record of each.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use net::{Client, SendError};
use serde::{Deserialize, Serialize};
use standins::service::Answer;
use timer::Timer;
use types::{Class, Run};
use xxhash_rust::xxh3::xxh3_64;

use crate::sse::{Event, Events};

/// A connection on which nothing arrives for so long is given up.
const PATIENCE: Duration = Duration::from_secs(30);
/// Bytes of a refusal or a plain answer read at most.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;
/// How often a plain call is sent when it is unknown whether it ran: callers do that, and keyed
/// calls must bear it.
const PLAIN_TRIES: u32 = 3;
/// Time between two of these.
const PLAIN_PAUSE: Duration = Duration::from_millis(200);
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

/// How a request ended, as its caller sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The whole answer.
    Whole,
    /// A part, and an explicit end of it.
    Partial,
    /// A refusal.
    Refused {
        /// HTTP status.
        status: u16,
        /// What is known about the execution; `None` if the refusal does not say.
        run: Option<Run>,
        /// Its code.
        code: String,
        /// Whether it says when to come back.
        retry_after: bool,
    },
    /// The connection to the instance broke, could not be made or fell silent.
    Broken,
    /// The answer is wrong.
    Wrong {
        /// What is wrong with it.
        fault: String,
    },
}

/// What became of one request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// The caller's own name for it.
    pub name: String,
    /// Which kind of request of the mix it is.
    pub kind: String,
    /// Its urgency by the mix.
    pub class: Class,
    /// When it was sent, in milliseconds since the run began.
    pub sent_ms: u64,
    /// Time to the first token or the whole plain answer, in microseconds.
    pub first_us: Option<u64>,
    /// Time to the end, in microseconds.
    pub took_us: u64,
    /// Time between any two tokens, in microseconds.
    #[serde(skip)]
    pub gaps_us: Vec<u32>,
    /// The engine's stream, empty for plain calls.
    pub stream: String,
    /// Tokens received.
    pub tokens: u64,
    /// How often the caller asked again or went on at another instance.
    pub resumed: u32,
    /// How it ended.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// Sends requests to instances.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    timer: Timer,
}

#[derive(Deserialize)]
struct Chunk {
    id: String,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

#[derive(Deserialize)]
struct Problem {
    run: Option<Run>,
    #[serde(default)]
    code: String,
}

impl Caller {
    /// Makes a caller that takes the time of sending from this clock.
    #[must_use]
    pub fn new(timer: Timer) -> Self {
        Self {
            client: Client::new(),
            timer,
        }
    }

    /// Sends a request and follows it to its end. A broken stream is gone on with at the further
    /// addresses, one after another.
    pub async fn follow(&self, addrs: &[SocketAddr], wanted: &Wanted) -> Record {
        let mut reading = Reading::new(self.timer, wanted);
        let outcome = match &wanted.what {
            What::Generate { .. } => self.generate(addrs, wanted, &mut reading).await,
            What::Plain { .. } => self.plain(addrs, wanted, &mut reading).await,
        };
        reading.done(outcome)
    }

    async fn generate(&self, addrs: &[SocketAddr], wanted: &Wanted, r: &mut Reading) -> Outcome {
        let mut outcome = Outcome::Broken;
        for addr in addrs {
            let again = r.last_id.as_deref().map(|last| resume(wanted, last));
            r.record.resumed += u32::from(again.is_some());
            let req = again.unwrap_or_else(|| ask(wanted));
            match self.stream(*addr, req, r).await {
                // Not there: the balancer chooses another one.
                None => {}
                Some(Outcome::Broken) if r.last_id.is_some() => {}
                Some(end) => return end,
            }
            outcome = Outcome::Broken;
        }
        outcome
    }

    /// Reads a stream; `None` if no connection could be made.
    async fn stream(&self, addr: SocketAddr, req: Built, r: &mut Reading) -> Option<Outcome> {
        let resp = match self.send(addr, req).await {
            Ok(resp) => resp,
            Err(end) => return end,
        };
        if resp.status() != 200 {
            return Some(self.refusal(resp).await);
        }
        let mut body = resp.into_body();
        let mut events = Events::default();
        while let Some(Some(Ok(frame))) = self.timer.within(PATIENCE, body.frame()).await {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            for event in events.push(&data) {
                if let Some(outcome) = r.event(&event) {
                    return Some(outcome);
                }
            }
        }
        Some(Outcome::Broken)
    }

    async fn plain(&self, addrs: &[SocketAddr], wanted: &Wanted, r: &mut Reading) -> Outcome {
        let mut outcome = Outcome::Broken;
        let mut tries = 0;
        for addr in addrs {
            let Some(end) = self.plain_once(*addr, wanted, r).await else {
                continue;
            };
            outcome = end;
            tries += 1;
            if tries == PLAIN_TRIES || !is_unsure(&outcome) {
                break;
            }
            r.record.resumed = tries;
            self.timer.sleep(PLAIN_PAUSE).await;
        }
        outcome
    }

    /// Makes a plain call; `None` if no connection could be made.
    async fn plain_once(
        &self,
        addr: SocketAddr,
        wanted: &Wanted,
        r: &mut Reading,
    ) -> Option<Outcome> {
        let resp = match self.send(addr, ask(wanted)).await {
            Ok(resp) => resp,
            Err(end) => return end,
        };
        if resp.status() != 200 {
            return Some(self.refusal(resp).await);
        }
        let Some(body) = self.read(resp).await else {
            return Some(Outcome::Broken);
        };
        r.token();
        Some(check(wanted, &body))
    }

    /// Sends a request; on failure tells how it ended, `None` if no byte of it left.
    async fn send(
        &self,
        addr: SocketAddr,
        req: Built,
    ) -> Result<Response<Incoming>, Option<Outcome>> {
        let req = req.map_err(|e| Some(wrong(e.to_string())))?;
        match self
            .timer
            .within(PATIENCE, self.client.send(addr, req))
            .await
        {
            Some(Ok(resp)) => Ok(resp),
            Some(Err(SendError::Unsent { .. })) => Err(None),
            _ => Err(Some(Outcome::Broken)),
        }
    }

    async fn read(&self, resp: Response<Incoming>) -> Option<Bytes> {
        net::read_all(resp.into_body(), ANSWER_LIMIT, PATIENCE)
            .await
            .ok()
    }

    async fn refusal(&self, resp: Response<Incoming>) -> Outcome {
        let status = resp.status().as_u16();
        let retry_after = resp.headers().contains_key("retry-after");
        let Some(body) = self.read(resp).await else {
            return Outcome::Broken;
        };
        let problem = serde_json::from_slice(&body).unwrap_or(Problem {
            run: None,
            code: String::from_utf8_lossy(&body).chars().take(200).collect(),
        });
        Outcome::Refused {
            status,
            run: problem.run,
            code: problem.code,
            retry_after,
        }
    }
}

/// What has been read of one answer.
struct Reading {
    start: Instant,
    last: Instant,
    last_id: Option<String>,
    record: Record,
}

impl Reading {
    fn new(timer: Timer, wanted: &Wanted) -> Self {
        let now = Instant::now();
        Self {
            start: now,
            last: now,
            last_id: None,
            record: Record {
                name: wanted.name.clone(),
                kind: wanted.kind.clone(),
                class: wanted.class,
                sent_ms: timer.now().as_millis() as u64,
                first_us: None,
                took_us: 0,
                gaps_us: Vec::new(),
                stream: String::new(),
                tokens: 0,
                resumed: 0,
                outcome: Outcome::Broken,
            },
        }
    }

    fn token(&mut self) {
        let now = Instant::now();
        if self.record.first_us.is_none() {
            self.record.first_us = Some(self.start.elapsed().as_micros() as u64);
        } else {
            let gap = now.duration_since(self.last).as_micros();
            self.record
                .gaps_us
                .push(u32::try_from(gap).unwrap_or(u32::MAX));
        }
        self.last = now;
    }

    /// Takes one event; tells the outcome once there is one.
    fn event(&mut self, event: &Event) -> Option<Outcome> {
        if event.kind == "partial" {
            return Some(Outcome::Partial);
        }
        if event.data == "[DONE]" {
            return Some(Outcome::Whole);
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return Some(wrong(format!("not a chunk: {event:?}")));
        };
        if self.record.stream.is_empty() {
            self.record.stream = chunk.id;
        }
        let text = chunk.choices.first().map(|c| c.delta.content.as_str());
        let right = standins::engine::text::token(&self.record.stream, self.record.tokens);
        if text != Some(&right) {
            return Some(wrong(format!("{text:?} in place of {right:?}")));
        }
        self.last_id.clone_from(&event.id);
        self.record.tokens += 1;
        self.token();
        None
    }

    fn done(mut self, outcome: Outcome) -> Record {
        self.record.outcome = outcome;
        self.record.took_us = self.start.elapsed().as_micros() as u64;
        self.record
    }
}

type Built = Result<Request<Full<Bytes>>, hyper::http::Error>;

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

fn resume(wanted: &Wanted, last: &str) -> Built {
    Request::get(STREAMS)
        .header("authorization", format!("Bearer {}", wanted.key))
        .header("last-event-id", last)
        .body(Full::default())
}

fn ask(wanted: &Wanted) -> Built {
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
fn check(wanted: &Wanted, body: &[u8]) -> Outcome {
    let What::Plain { method, path, .. } = &wanted.what else {
        return wrong("a plain answer to a generation".to_owned());
    };
    let Ok(answer) = serde_json::from_slice::<Answer>(body) else {
        return wrong(format!("not an answer: {}", String::from_utf8_lossy(body)));
    };
    let sent = format!("{:016x}", xxh3_64(&body_of(wanted, method)));
    if answer.path != *path || answer.seen != wanted.name || answer.body != sent {
        return wrong(format!("{answer:?} to {}", wanted.name));
    }
    Outcome::Whole
}

fn is_unsure(outcome: &Outcome) -> bool {
    let unknown = Some(Run::Unknown);
    matches!(outcome, Outcome::Refused { run, .. } if *run == unknown)
        || *outcome == Outcome::Broken
}

const fn wrong(fault: String) -> Outcome {
    Outcome::Wrong { fault }
}
