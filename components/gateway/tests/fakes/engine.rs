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
use targets::{
    Command, Engine, EngineCall, Stream, StreamId, StreamItem, TargetError, TargetReport,
};
use types::{Target, TargetId, Tokens};

/// One step of a stream.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Sends tokens: the offset of the first, and their number.
    Tokens(Tokens, Tokens),
    /// Sends one event: its offset and its data.
    Data(Tokens, &'static str),
    /// Waits for this time.
    Pause(Duration),
    /// Breaks the connection, and the engine no longer knows the stream.
    Crash,
    /// Keeps the connection open and sends nothing.
    Silent,
    /// Ends the stream.
    End,
}

/// The steps of a stream, or the error that it fails with.
pub type Script = Result<Vec<Step>, TargetError>;

/// Returns the data of the event for the token at an offset.
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
    pub ignores_cancellation: AtomicBool,
    /// Number of streams that have reached a `Silent` step.
    silent_streams: Arc<AtomicUsize>,
}

impl FakeEngine {
    /// Sets the scripts of the next started streams, in order.
    pub fn script_starts(&self, scripts: impl IntoIterator<Item = Script>) {
        *self.starts.lock() = scripts.into_iter().collect();
    }

    /// Sets the scripts of the next resumed streams, in order. After them, streams are gone.
    pub fn script_resumptions(&self, scripts: impl IntoIterator<Item = Script>) {
        *self.resumes.lock() = scripts.into_iter().collect();
    }

    pub fn start_count(&self) -> usize {
        self.calls.lock().len()
    }

    pub fn silent_streams(&self) -> usize {
        self.silent_streams.load(Ordering::Acquire)
    }

    pub fn cancel_count(&self) -> usize {
        self.cancelled.lock().len()
    }
}

struct ScriptedStream {
    id: StreamId,
    steps: VecDeque<Step>,
    silent_streams: Arc<AtomicUsize>,
}

impl FakeEngine {
    fn scripted_stream(
        &self,
        id: &str,
        script: Option<Script>,
    ) -> Result<Box<dyn Stream>, TargetError> {
        let steps = script.unwrap_or(Err(TargetError::Gone))?;
        Ok(Box::new(ScriptedStream {
            id: id.into(),
            steps: steps.into(),
            silent_streams: Arc::clone(&self.silent_streams),
        }))
    }
}

#[async_trait]
impl Stream for ScriptedStream {
    fn id(&self) -> StreamId {
        Arc::clone(&self.id)
    }

    async fn next(&mut self) -> Result<StreamItem, TargetError> {
        loop {
            match self.steps.pop_front() {
                Some(Step::Tokens(first, count)) => {
                    return Ok(StreamItem::Tokens {
                        first,
                        count,
                        data: (first..first + count).map(token).collect(),
                    });
                }
                Some(Step::Data(first, data)) => {
                    return Ok(StreamItem::Tokens {
                        first,
                        count: 1,
                        data: vec![Bytes::from_static(data.as_bytes())],
                    });
                }
                Some(Step::Pause(time)) => {
                    smol::Timer::after(time).await;
                }
                Some(Step::End) => return Ok(StreamItem::End),
                Some(Step::Silent) => {
                    self.silent_streams.fetch_add(1, Ordering::AcqRel);
                    std::future::pending().await
                }
                Some(Step::Crash) | None => {
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
        self.scripted_stream(&name, self.starts.lock().pop_front())
    }

    async fn resume(
        &self,
        _: &Target,
        stream: &StreamId,
        at: Tokens,
    ) -> Result<Box<dyn Stream>, TargetError> {
        self.resumed.lock().push(at);
        self.scripted_stream(stream, self.resumes.lock().pop_front())
    }

    async fn cancel(&self, _: &Target, stream: &StreamId) -> Result<(), TargetError> {
        while self.ignores_cancellation.load(Ordering::Acquire) {
            smol::Timer::after(Duration::from_millis(2)).await;
        }
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
