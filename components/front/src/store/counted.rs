//! A store whose calls are counted: each has its price, and all instances share its rates.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use prometheus_client::metrics::{counter::Counter, family::Family};

use crate::{
    face::{Record, Store, StoreError},
    instances::wire::{Member, News, Row, Topic},
    metrics::StoreCall,
    quarantine::kept::Kept,
};

/// A store whose calls are counted.
pub struct CountedStore {
    inner: Arc<dyn Store>,
    calls: Family<StoreCall, Counter>,
}

impl CountedStore {
    /// Counts the calls to a store.
    #[must_use]
    pub const fn new(inner: Arc<dyn Store>, calls: Family<StoreCall, Counter>) -> Self {
        Self { inner, calls }
    }

    fn count<T>(&self, topic: Topic, call: &'static str, answer: &Result<T, StoreError>) {
        let outcome = match answer {
            Ok(_) | Err(StoreError::HistoryGone) => "answered",
            Err(StoreError::Refused { .. }) => "refused",
            Err(StoreError::Silent { .. } | StoreError::Garbled { .. }) => "silent",
        };
        let call = StoreCall {
            topic: topic.name(),
            call,
            outcome,
        };
        self.calls.get_or_create(&call).inc();
    }
}

#[async_trait]
impl Store for CountedStore {
    async fn read(&self, topic: Topic, patience: Duration) -> Result<News, StoreError> {
        let answer = self.inner.read(topic, patience).await;
        self.count(topic, "read", &answer);
        answer
    }

    async fn follow(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
        patience: Duration,
    ) -> Result<News, StoreError> {
        let answer = self.inner.follow(topic, after, wait, patience).await;
        self.count(topic, "follow", &answer);
        answer
    }

    fn decode(&self, topic: Topic, row: &Row) -> Option<Record> {
        self.inner.decode(topic, row)
    }

    async fn announce(&self, member: &Member) -> Result<(), StoreError> {
        let answer = self.inner.announce(member).await;
        self.count(Topic::Members, "write", &answer);
        answer
    }

    async fn keep(&self, kept: &Kept) -> Result<(), StoreError> {
        let answer = self.inner.keep(kept).await;
        self.count(Topic::Members, "write", &answer);
        answer
    }

    async fn drop_kept(&self, kept: &Kept) -> Result<(), StoreError> {
        let answer = self.inner.drop_kept(kept).await;
        self.count(Topic::Members, "write", &answer);
        answer
    }
}
