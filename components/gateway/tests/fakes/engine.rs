//! An engine whose streams follow a script.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use targets::{Engine, EngineCall, Order, Piece, Report, Stream, StreamId, TargetError};
use types::{Target, TargetId, Tokens};

/// What a stream does next.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Sends this many tokens from an offset on.
    Tokens(Tokens, Tokens),
    /// Sends one event, of an offset, with this data.
    Data(Tokens, &'static str),
    /// Waits.
    Pause(Duration),
    /// Breaks off; the engine knows nothing of it afterwards.
    Die,
    /// Sends nothing more.
    Silent,
    /// Ends the stream.
    End,
}

/// A stream, or why there is none.
pub type Script = Result<Vec<Step>, TargetError>;

/// The data of a token's event.
pub fn token(offset: Tokens) -> Bytes {
    format!(r#"{{"id":"c","created":5,"model":"m","choices":[{{"index":0,"text":"t{offset} "}}]}}"#)
        .into()
}

#[derive(Default)]
pub struct FakeEngine {
    starts: Mutex<VecDeque<Script>>,
    resumes: Mutex<VecDeque<Script>>,
    pub calls: Mutex<Vec<(TargetId, EngineCall)>>,
    pub resumed: Mutex<Vec<Tokens>>,
    pub cancelled: Mutex<Vec<StreamId>>,
    /// While set, cancellations are not answered.
    pub deaf: AtomicBool,
    /// Streams that were asked for a token and have none.
    silent: Arc<AtomicUsize>,
}

impl FakeEngine {
    /// Sets what comes of the next starts, in order.
    pub fn starts(&self, scripts: impl IntoIterator<Item = Script>) {
        *self.starts.lock() = scripts.into_iter().collect();
    }

    /// Sets what comes of the next resumptions; after them streams are gone.
    pub fn resumes(&self, scripts: impl IntoIterator<Item = Script>) {
        *self.resumes.lock() = scripts.into_iter().collect();
    }

    pub fn started(&self) -> usize {
        self.calls.lock().len()
    }

    pub fn silent(&self) -> usize {
        self.silent.load(Ordering::Acquire)
    }

    pub fn cancels(&self) -> usize {
        self.cancelled.lock().len()
    }
}

struct Scene {
    id: StreamId,
    steps: VecDeque<Step>,
    silent: Arc<AtomicUsize>,
}

impl FakeEngine {
    fn scene(&self, id: &str, script: Option<Script>) -> Result<Box<dyn Stream>, TargetError> {
        let steps = script.unwrap_or(Err(TargetError::Gone))?;
        Ok(Box::new(Scene {
            id: id.into(),
            steps: steps.into(),
            silent: Arc::clone(&self.silent),
        }))
    }
}

#[async_trait]
impl Stream for Scene {
    fn id(&self) -> StreamId {
        Arc::clone(&self.id)
    }

    async fn next(&mut self) -> Result<Piece, TargetError> {
        loop {
            match self.steps.pop_front() {
                Some(Step::Tokens(first, count)) => {
                    return Ok(Piece::Tokens {
                        first,
                        count,
                        data: (first..first + count).map(token).collect(),
                    });
                }
                Some(Step::Data(first, data)) => {
                    return Ok(Piece::Tokens {
                        first,
                        count: 1,
                        data: vec![Bytes::from_static(data.as_bytes())],
                    });
                }
                Some(Step::Pause(time)) => {
                    smol::Timer::after(time).await;
                }
                Some(Step::End) => return Ok(Piece::End),
                Some(Step::Silent) => {
                    self.silent.fetch_add(1, Ordering::AcqRel);
                    std::future::pending().await
                }
                Some(Step::Die) | None => {
                    return Err(TargetError::Lost {
                        reason: "cut".into(),
                    });
                }
            }
        }
    }
}

#[async_trait]
impl Engine for FakeEngine {
    async fn start(
        &self,
        target: &Target,
        call: &EngineCall,
    ) -> Result<Box<dyn Stream>, TargetError> {
        let mut calls = self.calls.lock();
        calls.push((target.id.clone(), call.clone()));
        let name = format!("s{}", calls.len());
        self.scene(&name, self.starts.lock().pop_front())
    }

    async fn resume(
        &self,
        _: &Target,
        stream: &StreamId,
        at: Tokens,
    ) -> Result<Box<dyn Stream>, TargetError> {
        self.resumed.lock().push(at);
        self.scene(stream, self.resumes.lock().pop_front())
    }

    async fn cancel(&self, _: &Target, stream: &StreamId) -> Result<(), TargetError> {
        while self.deaf.load(Ordering::Acquire) {
            smol::Timer::after(Duration::from_millis(2)).await;
        }
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
