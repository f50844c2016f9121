//! An engine whose links follow a script.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use targets::{Engine, EngineCall, Order, Piece, Report, Stream, StreamId, TargetError};
use types::{Standing, Target, Tokens};

/// What a link does next.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Sends this many tokens from an offset on.
    Tokens(Tokens, Tokens),
    /// Breaks off.
    Cut,
    /// Stays open and sends nothing.
    Silent,
    /// Belongs to another stream.
    Other,
    /// Ends the stream.
    End,
}

/// A link, or why there is none.
pub type Link = Result<Vec<Step>, TargetError>;

/// The text of a token.
pub fn token(offset: Tokens) -> Bytes {
    format!("t{offset}").into()
}

/// Any engine.
pub fn target() -> Target {
    Target {
        id: "engine".into(),
        service: "model".into(),
        data_centre: "one".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        standing: Standing::Live,
    }
}

/// Any call.
pub fn call() -> EngineCall {
    EngineCall {
        path: "/v1/completions".into(),
        body: Bytes::from_static(b"{}"),
        request: "request".into(),
    }
}

/// The engine.
pub struct Scripted {
    links: Mutex<VecDeque<Link>>,
    resumed: Mutex<Vec<Tokens>>,
    cancelled: Mutex<Vec<StreamId>>,
}

impl Scripted {
    pub fn new(links: Vec<Link>) -> Self {
        Self {
            links: Mutex::new(links.into()),
            resumed: Mutex::default(),
            cancelled: Mutex::default(),
        }
    }

    /// Offsets at which it was resumed.
    pub fn resumed(&self) -> Vec<Tokens> {
        self.resumed.lock().clone()
    }

    /// Streams that were cancelled.
    pub fn cancelled(&self) -> Vec<StreamId> {
        self.cancelled.lock().clone()
    }

    fn link(&self) -> Result<Box<dyn Stream>, TargetError> {
        let link = self.links.lock().pop_front();
        let steps = link.unwrap_or(Err(TargetError::Gone))?;
        let other = steps.iter().any(|step| matches!(step, Step::Other));
        Ok(Box::new(Scene {
            id: if other { "other" } else { "stream" }.into(),
            steps: steps.into(),
        }))
    }
}

struct Scene {
    id: StreamId,
    steps: VecDeque<Step>,
}

#[async_trait]
impl Stream for Scene {
    fn id(&self) -> StreamId {
        Arc::clone(&self.id)
    }

    async fn next(&mut self) -> Result<Piece, TargetError> {
        self.steps.retain(|step| !matches!(step, Step::Other));
        match self.steps.pop_front() {
            Some(Step::Tokens(first, count)) => Ok(Piece::Tokens {
                first,
                count,
                data: (first..first + count).map(token).collect(),
            }),
            Some(Step::End) => Ok(Piece::End),
            Some(Step::Silent) => std::future::pending().await,
            Some(Step::Cut | Step::Other) | None => Err(TargetError::Lost {
                reason: "cut".into(),
            }),
        }
    }
}

#[async_trait]
impl Engine for Scripted {
    async fn start(&self, _: &Target, _: &EngineCall) -> Result<Box<dyn Stream>, TargetError> {
        self.link()
    }

    async fn resume(
        &self,
        _: &Target,
        _: &StreamId,
        at: Tokens,
    ) -> Result<Box<dyn Stream>, TargetError> {
        self.resumed.lock().push(at);
        self.link()
    }

    async fn cancel(&self, _: &Target, stream: &StreamId) -> Result<(), TargetError> {
        self.cancelled.lock().push(Arc::clone(stream));
        Ok(())
    }

    async fn report(&self, _: &Target) -> Result<Report, TargetError> {
        Ok(Report::default())
    }

    async fn order(&self, _: &Target, _: &Order) -> Result<(), TargetError> {
        Ok(())
    }
}
