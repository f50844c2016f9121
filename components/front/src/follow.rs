//! Follows the store, and acts on what it says.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use events::{Event, emit};
use timer::boot_time;
use types::{DataCentreId, Moment, TargetId};
use view::Change;

use crate::{
    face::{Batch, Record, Store, StoreError, Topic},
    leaving,
    refuse::millis,
    state::Front,
};

/// How long one call waits for changes of the configuration. Keys are honoured for five seconds
/// after a read was sent; two calls in a row and their answers must fit into that.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_800);
/// How long one call waits for changes of the targets. A connection that went silent shows only
/// by the answer that does not come, and targets that leave must be noticed within seconds.
const TARGETS_WAIT: Duration = Duration::from_millis(2_500);
/// Pause after a failed call, at first.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failed calls in a row.
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// Follows one topic of the store for good.
pub struct Follower {
    front: Arc<Front>,
    store: Arc<dyn Store>,
    topic: Topic,
    /// Where to go on; none if everything must be read anew.
    version: Option<u64>,
    failures: u32,
    /// When the first of the failures in a row came.
    lost: Option<Moment>,
    /// When the last outage ended.
    outage_end: Option<Moment>,
}

impl Follower {
    /// Follows nothing yet.
    #[must_use]
    pub const fn new(front: Arc<Front>, store: Arc<dyn Store>, topic: Topic) -> Self {
        Self {
            front,
            store,
            topic,
            version: None,
            failures: 0,
            lost: None,
            outage_end: None,
        }
    }

    /// Follows.
    pub async fn run(mut self) {
        loop {
            let sent = boot_time();
            let result = match self.version {
                None => self.store.read(self.topic).await,
                Some(after) => self.store.follow(self.topic, after, self.wait()).await,
            };
            match result {
                Ok(batch) => self.take(batch, sent),
                Err(StoreError::HistoryGone) => self.version = None,
                Err(e) => self.fail(&e).await,
            }
        }
    }

    const fn wait(&self) -> Duration {
        match self.topic {
            Topic::Operator => OPERATOR_WAIT,
            Topic::Targets | Topic::Members => TARGETS_WAIT,
        }
    }

    fn take(&mut self, batch: Batch, sent: Moment) {
        self.regain();
        if self.version.is_none() {
            self.take_all(&batch);
        }
        for record in batch.records {
            self.learn(record);
        }
        for change in self.front.view.expire_lapsed(boot_time()) {
            self.act(change);
        }
        match self.topic {
            Topic::Operator => self.front.view.confirm_rules(sent),
            Topic::Targets => self.front.view.confirm_targets(sent),
            Topic::Members => {}
        }
        self.version = Some(batch.version);
    }

    /// What a complete read does not name is not there any more.
    fn take_all(&self, batch: &Batch) {
        let now = boot_time();
        let changes = match self.topic {
            Topic::Operator => self.front.view.learn_all_closed(&closed(batch)),
            Topic::Targets => {
                let listed = listed(batch);
                self.front.view.keep_targets(&listed, now, self.outage_end)
            }
            Topic::Members => Vec::new(),
        };
        for change in changes {
            self.act(change);
        }
    }

    fn learn(&self, record: Record) {
        let view = &self.front.view;
        let now = boot_time();
        let change = match record {
            Record::Rules(rules) => view.learn_rules(*rules),
            Record::Closed(data_centre) => view.learn_closed(&data_centre, true),
            Record::Opened(data_centre) => view.learn_closed(&data_centre, false),
            Record::Listed(target) => {
                let mut cold = self.front.cold.lock();
                cold.note(now, &target.id, target.cold_left);
                drop(cold);
                view.learn_target(target)
            }
            Record::Unlisted(id) => view.unlist_target(&id, now, self.outage_end),
            Record::Member(member) => {
                self.front.peers.learn(member);
                None
            }
            Record::Unreadable { key, reason } => {
                emit(&Event::RowUnreadable {
                    topic: self.topic.to_string().into(),
                    key: Arc::clone(&key),
                    reason,
                });
                match self.topic {
                    // It names no target to use, whatever it named before.
                    Topic::Targets => view.unlist_target(&key, now, None),
                    Topic::Operator | Topic::Members => None,
                }
            }
        };
        if let Some(change) = change {
            self.act(change);
        }
    }

    /// Acts on what has changed.
    fn act(&self, change: Change) {
        match change {
            Change::Rules { from, to } => emit(&Event::RulesInForce {
                version: to,
                from: from.unwrap_or_default(),
            }),
            Change::Joined(target) => emit(&Event::TargetJoined {
                target: Arc::clone(&target.id),
            }),
            Change::Leaving(target) => {
                emit(&Event::TargetLeaving {
                    target: Arc::clone(&target.id),
                });
                workers::spawn(leaving::empty(Arc::clone(&self.front), target)).detach();
            }
            Change::Reborn(target) => {
                emit(&Event::TargetReborn {
                    target: Arc::clone(&target.id),
                });
                self.front.client.forget(target.addr);
                self.front.placement.owner.lock().forget(&target.id);
            }
            Change::Closed(data_centre) => switched(data_centre, true),
            Change::Opened(data_centre) => switched(data_centre, false),
        }
    }

    fn regain(&mut self) {
        self.failures = 0;
        let Some(lost) = self.lost.take() else {
            return;
        };
        let now = boot_time();
        self.outage_end = Some(now);
        emit(&Event::StoreRegained {
            topic: self.topic.to_string().into(),
            lost_ms: millis(now.saturating_sub(lost)),
        });
    }

    async fn fail(&mut self, error: &StoreError) {
        if self.lost.is_none() {
            self.lost = Some(boot_time());
            emit(&Event::StoreLost {
                topic: self.topic.to_string().into(),
                reason: error.to_string().into(),
            });
        }
        let pause = PAUSE
            .saturating_mul(1 << self.failures.min(4))
            .min(PAUSE_MOST);
        self.failures += 1;
        // All instances lose the store at once; they should not come back all at once.
        smol::Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
    }
}

fn switched(data_centre: DataCentreId, out: bool) {
    emit(&Event::DataCentreSwitched { data_centre, out });
}

fn closed(batch: &Batch) -> BTreeSet<DataCentreId> {
    let all = batch.records.iter();
    all.filter_map(|record| match record {
        Record::Closed(data_centre) => Some(Arc::clone(data_centre)),
        _ => None,
    })
    .collect()
}

fn listed(batch: &Batch) -> BTreeSet<TargetId> {
    let all = batch.records.iter();
    all.filter_map(|record| match record {
        Record::Listed(target) => Some(Arc::clone(&target.id)),
        _ => None,
    })
    .collect()
}
