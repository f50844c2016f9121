//! A caller: sends requests, checks what comes back, and keeps a record of each.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use net::{Client, SendError};
use serde::Deserialize;
use timer::Timer;
use types::Execution;

use crate::{
    record::{Reading, wrong},
    request::{Built, ask, check, resume},
    sse::Events,
};

pub use crate::{
    record::{Outcome, Record},
    request::{Wanted, What},
};

/// A connection on which nothing arrives for so long is given up.
const PATIENCE: Duration = Duration::from_secs(30);
/// Bytes of a refusal or a plain answer read at most.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;
/// How often a plain call is sent when it is unknown whether it ran: callers do that, and keyed
/// calls must bear it.
const PLAIN_TRIES: u32 = 3;
/// Time between two of these.
const PLAIN_PAUSE: Duration = Duration::from_millis(200);

/// Sends requests to instances.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    timer: Timer,
}

#[derive(Deserialize)]
struct Problem {
    run: Option<Execution>,
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
                Some(Outcome::Broken) if r.last_id.is_some() => {
                    self.record_try(r, Outcome::Broken);
                }
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
            self.record_try(r, outcome.clone());
            self.timer.sleep(PLAIN_PAUSE).await;
        }
        outcome
    }

    /// Records how a try ended that is followed by another one.
    fn record_try(&self, r: &mut Reading, outcome: Outcome) {
        let at = self.timer.now().as_millis() as u64;
        r.record.earlier.push((at, outcome));
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
            Some(Err(SendError::Unsent(_))) => Err(None),
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

fn is_unsure(outcome: &Outcome) -> bool {
    let unknown = Some(Execution::Unknown);
    matches!(outcome, Outcome::Refused { run, .. } if *run == unknown)
        || *outcome == Outcome::Broken
}
