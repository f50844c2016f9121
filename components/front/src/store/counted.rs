//! Counts the calls to the store. Each call has a cost, and the store limits the rate of calls of
//! all instances together.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use prometheus_client::metrics::{counter::Counter, family::Family};
use rollouts::Checkpoint;
use types::StoreVersion;

use crate::{
    adapters::{Record, Store, StoreError},
    instances::wire::{Member, Row, Topic, TopicUpdate},
    metrics::StoreCallLabels,
    quarantine::record::QuarantineRecord,
    rollouts::record::{RolloutRecord, StoredRollout},
};

/// A store that counts the calls to another one.
pub struct CountedStore {
    inner: Arc<dyn Store>,
    calls: Family<StoreCallLabels, Counter>,
}

impl CountedStore {
    /// Counts the calls to `inner` in `calls`.
    #[must_use]
    pub const fn new(inner: Arc<dyn Store>, calls: Family<StoreCallLabels, Counter>) -> Self {
        Self { inner, calls }
    }

    fn count<T>(&self, topic: Topic, call: &'static str, answer: &Result<T, StoreError>) {
        let outcome = match answer {
            Ok(_) | Err(StoreError::HistoryGone | StoreError::Outdated) => "answered",
            Err(StoreError::Refused { .. }) => "refused",
            Err(StoreError::NoAnswer { .. } | StoreError::Malformed { .. }) => "silent",
        };
        let call = StoreCallLabels {
            topic: topic.name(),
            call,
            outcome,
        };
        self.calls.get_or_create(&call).inc();
    }
}

#[async_trait]
impl Store for CountedStore {
    async fn read(&self, topic: Topic, timeout: Duration) -> Result<TopicUpdate, StoreError> {
        let answer = self.inner.read(topic, timeout).await;
        self.count(topic, "read", &answer);
        answer
    }

    fn era(&self) -> u64 {
        self.inner.era()
    }

    async fn follow(
        &self,
        topic: Topic,
        after: StoreVersion,
        wait: Duration,
        timeout: Duration,
    ) -> Result<TopicUpdate, StoreError> {
        let answer = self.inner.follow(topic, after, wait, timeout).await;
        let call = if wait.is_zero() { "poll" } else { "follow" };
        self.count(topic, call, &answer);
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

    async fn put_quarantine_record(&self, record: &QuarantineRecord) -> Result<(), StoreError> {
        let answer = self.inner.put_quarantine_record(record).await;
        self.count(Topic::Members, "write", &answer);
        answer
    }

    async fn delete_quarantine_record(&self, record: &QuarantineRecord) -> Result<(), StoreError> {
        let answer = self.inner.delete_quarantine_record(record).await;
        self.count(Topic::Members, "write", &answer);
        answer
    }

    async fn read_rollout(&self, service: &str) -> Result<StoredRollout, StoreError> {
        let answer = self.inner.read_rollout(service).await;
        self.count(Topic::Members, "read", &answer);
        answer
    }

    async fn write_rollout(
        &self,
        record: &RolloutRecord,
        revision: StoreVersion,
    ) -> Result<bool, StoreError> {
        let answer = self.inner.write_rollout(record, revision).await;
        self.count(Topic::Members, "write", &answer);
        answer
    }

    async fn read_checkpoint(&self, service: &str) -> Result<Option<Checkpoint>, StoreError> {
        let answer = self.inner.read_checkpoint(service).await;
        self.count(Topic::Members, "read", &answer);
        answer
    }

    async fn write_checkpoint(
        &self,
        service: &str,
        checkpoint: &Checkpoint,
    ) -> Result<(), StoreError> {
        let answer = self.inner.write_checkpoint(service, checkpoint).await;
        self.count(Topic::Members, "write", &answer);
        answer
    }
}
