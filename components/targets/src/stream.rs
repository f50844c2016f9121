//! An engine's stream over one connection.

use std::collections::VecDeque;

use async_trait::async_trait;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use net::{Budget, Share};
use types::Tokens;

use crate::{
    answer,
    api::{Stream, StreamId, StreamItem, TargetError},
    sse::{Event, Splitter},
};

/// The data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Reads a stream's items from one connection. Offsets are returned as the engine wrote them; the
/// relay detects repetitions and gaps.
pub struct EngineStream {
    id: StreamId,
    body: Incoming,
    splitter: Splitter,
    /// The memory of an incomplete event.
    memory: Share,
    events: Vec<Event>,
    items: VecDeque<StreamItem>,
    next_offset: Tokens,
    ended: bool,
}

impl EngineStream {
    /// Reads the stream `id` from token `at` on.
    pub fn new(id: StreamId, at: Tokens, body: Incoming, memory: &Budget) -> Self {
        Self {
            id,
            body,
            splitter: Splitter::new(),
            memory: memory.share(),
            events: Vec::new(),
            items: VecDeque::new(),
            next_offset: at,
            ended: false,
        }
    }

    async fn next_chunk(&mut self) -> Result<Bytes, TargetError> {
        loop {
            let frame = self
                .body
                .frame()
                .await
                .ok_or_else(|| answer::lost("the stream stopped before its end"))?
                .map_err(|e| answer::lost(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                return Ok(data);
            }
        }
    }

    /// Reads the end of the body if it has arrived. Only then can the connection be reused.
    async fn finish(&mut self) {
        let _ = future::poll_once(self.body.frame()).await;
    }

    /// Converts events to items, one for each series of consecutive offsets.
    fn convert_events(&mut self) {
        let mut series: Option<(Tokens, Vec<Bytes>)> = None;
        for event in self.events.drain(..) {
            if event.data == DONE {
                self.ended = true;
                break;
            }
            let offset = event.id.unwrap_or(self.next_offset);
            match &mut series {
                Some((_, data)) if offset == self.next_offset => data.push(event.data),
                _ => {
                    self.items.extend(series.take().map(tokens));
                    series = Some((offset, vec![event.data]));
                }
            }
            self.next_offset = offset.saturating_add(1);
        }
        self.items.extend(series.map(tokens));
        if self.ended {
            self.items.push_back(StreamItem::End);
        }
    }
}

fn tokens((first, data): (Tokens, Vec<Bytes>)) -> StreamItem {
    StreamItem::Tokens {
        first,
        count: data.len() as Tokens,
        data,
    }
}

#[async_trait]
impl Stream for EngineStream {
    fn id(&self) -> StreamId {
        StreamId::clone(&self.id)
    }

    async fn next(&mut self) -> Result<StreamItem, TargetError> {
        loop {
            if let Some(item) = self.items.pop_front() {
                if item == StreamItem::End {
                    self.finish().await;
                }
                return Ok(item);
            }
            if self.ended {
                return Ok(StreamItem::End);
            }
            let chunk = self.next_chunk().await?;
            self.splitter
                .push(chunk, &mut self.events)
                .map_err(|e| answer::lost(e.to_string()))?;
            if !self.memory.resize(self.splitter.buffered_bytes()) {
                return Err(answer::lost("no memory is left for an event"));
            }
            self.convert_events();
        }
    }
}
