//! Overrides at one instance: taking orders, exchanging them with peers, having them accepted.

use std::sync::{Arc, atomic::Ordering};

use events::{Event, emit};
use types::{DataCentreId, InstanceId};

use crate::{
    api::{Change, Config, OverrideError, OverrideOrder},
    cache::data_centre_path,
    gossip,
    overrides::{MAX_OVERRIDE_DURATION, Override},
    updater::ConfigUpdater,
};

/// What there is to spread.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ToSpread {
    /// Some override is known.
    pub any: bool,
    /// Some override was learned a few rounds ago at most.
    pub fresh: bool,
}

impl ConfigUpdater {
    /// Turns overrides into accepted changes once the table service answers. Several instances
    /// try; the version that they saw lets one win, and the others find it done.
    pub(crate) async fn commit_overrides(&self) {
        let overridden = self.held.lock().overridden();
        for data_centre in overridden {
            let Some(change) = self.out_change(&data_centre) else {
                continue;
            };
            if let Ok(version) = self.change(change).await {
                emit(&Event::OverrideAccepted {
                    data_centre,
                    version,
                });
            }
        }
    }

    /// The change that takes a data centre out; `None` if it is out or gone.
    fn out_change(&self, data_centre: &DataCentreId) -> Option<Change> {
        let held = self.held.lock();
        let path = data_centre_path(data_centre);
        let mut node = held.whole().snapshot.nodes.get(&path)?.clone();
        if node.out == Some(true) {
            return None;
        }
        node.out = Some(true);
        let orders = held.overrides().list(self.timer.now());
        let order = orders.into_iter().find(|o| o.data_centre == *data_centre)?;
        Some(Change {
            expected_version: held.node_version(&path),
            path,
            node: Some(node),
            operator: order.operator,
        })
    }

    /// Tells a peer of our overrides and takes its own; tells whether it answered.
    pub(crate) async fn exchange_with(&self, peer: &InstanceId) -> bool {
        let ours = self.overrides();
        let Some(theirs) = self.peers.exchange_overrides(peer, &ours).await else {
            return false;
        };
        self.take_overrides(&theirs);
        true
    }

    pub(crate) fn take_overrides(&self, orders: &[Override]) -> bool {
        let news = self.update(|held| held.take_overrides(orders, self.timer.now()));
        for order in &news {
            emit(&Event::Overridden {
                data_centre: Arc::clone(&order.data_centre),
                out: order.out,
                who: Arc::clone(&order.operator),
                seconds: order.time_left.as_secs(),
            });
        }
        if !news.is_empty() {
            self.news.store(gossip::NEWS_ROUNDS, Ordering::Release);
        }
        !news.is_empty()
    }

    /// What the spreading of overrides needs to know: whether there are any, and whether some
    /// are news. Ends those whose time is up.
    pub(crate) fn to_spread(&self) -> ToSpread {
        let any = self.update(|held| {
            held.expire_overrides(self.timer.now());
            !held.overrides().is_empty()
        });
        ToSpread {
            any,
            fresh: self.take_news_round(),
        }
    }

    fn take_news_round(&self) -> bool {
        let one_less = |rounds: u32| rounds.checked_sub(1);
        let taken = self
            .news
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, one_less);
        taken.is_ok()
    }

    /// Numbers an order and names what its operator saw.
    pub(crate) fn make_order(&self, order: OverrideOrder) -> Result<Override, OverrideError> {
        let held = self.held.lock();
        let base = held.version().ok_or(OverrideError::NotReady)?;
        let path = data_centre_path(&order.data_centre);
        if !held.whole().snapshot.nodes.contains_key(&path) {
            return Err(OverrideError::NoSuchDataCentre);
        }
        // A withdrawal must outlive every copy of what it withdraws.
        let left = if order.out {
            order.duration.min(MAX_OVERRIDE_DURATION)
        } else {
            MAX_OVERRIDE_DURATION
        };
        Ok(Override {
            sequence: held.overrides().next_number(&order.data_centre),
            data_centre: order.data_centre,
            out: order.out,
            issued_by: Arc::clone(&self.me),
            operator: order.operator,
            base_version: base,
            time_left: left,
        })
    }
}
