//! An engine whose connections follow a script.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use targets::{
    Command, Engine, EngineCall, Stream, StreamId, StreamItem, TargetError, TargetReport,
};
use types::{ServingState, Target, Tokens};

/// One step of a connection.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Sends tokens: the offset of the first, and their number.
    Tokens(Tokens, Tokens),
    /// Breaks the connection.
    Break,
    /// Keeps the connection open and sends nothing.
    Silent,
    /// Makes the connection carry another stream's id.
    OtherStream,
    /// Ends the stream.
    End,
}

/// The steps of a connection, or the error that it fails with.
pub type ConnectionScript = Result<Vec<Step>, TargetError>;

/// Returns the data of the token at an offset.
pub fn token(offset: Tokens) -> Bytes {
    format!("t{offset}").into()
}

/// Returns a target; its address is never used.
pub fn target() -> Target {
    Target {
        id: "engine".into(),
        service: "model".into(),
        data_centre: "one".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        state: ServingState::Live,
    }
}

/// Returns a call; its content is never used.
pub fn call() -> EngineCall {
    EngineCall {
        path: "/v1/completions".into(),
        body: Bytes::from_static(b"{}"),
        request: "request".into(),
    }
}

/// An engine that plays back one script per connection.
pub struct ScriptedEngine {
    connections: Mutex<VecDeque<ConnectionScript>>,
    resumed: Mutex<Vec<Tokens>>,
    cancelled: Mutex<Vec<StreamId>>,
}

impl ScriptedEngine {
    pub fn new(connections: Vec<ConnectionScript>) -> Self {
        Self {
            connections: Mutex::new(connections.into()),
            resumed: Mutex::default(),
            cancelled: Mutex::default(),
        }
    }

    /// Returns the offsets at which streams were resumed.
    pub fn resumed(&self) -> Vec<Tokens> {
        self.resumed.lock().clone()
    }

    /// Returns the ids of the cancelled streams.
    pub fn cancelled(&self) -> Vec<StreamId> {
        self.cancelled.lock().clone()
    }

    fn next_connection(&self) -> Result<Box<dyn Stream>, TargetError> {
        let script = self.connections.lock().pop_front();
        let steps = script.unwrap_or(Err(TargetError::Gone))?;
        let other = steps.iter().any(|step| matches!(step, Step::OtherStream));
        Ok(Box::new(ScriptedStream {
            id: if other { "other" } else { "stream" }.into(),
            steps: steps.into(),
        }))
    }
}

struct ScriptedStream {
    id: StreamId,
    steps: VecDeque<Step>,
}

#[async_trait]
impl Stream for ScriptedStream {
    fn id(&self) -> StreamId {
        Arc::clone(&self.id)
    }

    async fn next(&mut self) -> Result<StreamItem, TargetError> {
        self.steps.retain(|step| !matches!(step, Step::OtherStream));
        match self.steps.pop_front() {
            Some(Step::Tokens(first, count)) => Ok(StreamItem::Tokens {
                first,
                count,
                data: (first..first + count).map(token).collect(),
            }),
            Some(Step::End) => Ok(StreamItem::End),
            Some(Step::Silent) => std::future::pending().await,
            Some(Step::Break | Step::OtherStream) | None => Err(TargetError::Lost {
                reason: "cut".into(),
            }),
        }
    }
}

#[async_trait]
impl Engine for ScriptedEngine {
    async fn start(&self, _: &Target, _: &EngineCall) -> Result<Box<dyn Stream>, TargetError> {
        self.next_connection()
    }

    async fn resume(
        &self,
        _: &Target,
        _: &StreamId,
        at: Tokens,
    ) -> Result<Box<dyn Stream>, TargetError> {
        self.resumed.lock().push(at);
        self.next_connection()
    }

    async fn cancel(&self, _: &Target, stream: &StreamId) -> Result<(), TargetError> {
        self.cancelled.lock().push(Arc::clone(stream));
        Ok(())
    }

    async fn report(&self, _: &Target) -> Result<TargetReport, TargetError> {
        Ok(TargetReport::default())
    }

    async fn send_command(&self, _: &Target, _: &Command) -> Result<(), TargetError> {
        Ok(())
    }
}
