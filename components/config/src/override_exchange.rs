//! Overrides of one instance: creating them, exchanging them with peers, and committing them once
//! the table service is available.

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

/// What gossip has to send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GossipState {
    /// Whether any override is known.
    pub has_overrides: bool,
    /// Whether an override was received within the last `RECENT_ROUNDS` rounds.
    pub has_recent: bool,
}

impl ConfigUpdater {
    /// Commits overrides as accepted changes once the table service is available. Several instances
    /// may try; the expected version lets one of them win, and the others find the change
    /// committed.
    pub(crate) async fn commit_overrides(&self) {
        let overridden = self.cache.lock().overridden();
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

    /// The change that takes a data centre out; `None` if it is already out or no longer exists.
    fn out_change(&self, data_centre: &DataCentreId) -> Option<Change> {
        let cache = self.cache.lock();
        let path = data_centre_path(data_centre);
        let mut node = cache.tree().snapshot.nodes.get(&path)?.clone();
        if node.out == Some(true) {
            return None;
        }
        node.out = Some(true);
        let orders = cache.overrides().list(self.timer.now());
        let order = orders.into_iter().find(|o| o.data_centre == *data_centre)?;
        Some(Change {
            expected_version: cache.node_version(&path),
            path,
            node: Some(node),
            operator: order.operator,
        })
    }

    /// Exchanges overrides with a peer and returns whether the peer answered.
    pub(crate) async fn exchange_with(&self, peer: &InstanceId) -> bool {
        let ours = self.overrides();
        let Some(theirs) = self.peers.exchange_overrides(peer, &ours).await else {
            return false;
        };
        self.apply_overrides(&theirs);
        true
    }

    pub(crate) fn apply_overrides(&self, orders: &[Override]) -> bool {
        let new = self.update_cache(|cache| cache.apply_overrides(orders, self.timer.now()));
        for order in &new {
            emit(&Event::Overridden {
                data_centre: Arc::clone(&order.data_centre),
                out: order.out,
                who: Arc::clone(&order.operator),
                seconds: order.time_left.as_secs(),
            });
        }
        if !new.is_empty() {
            self.recent_rounds
                .store(gossip::RECENT_ROUNDS, Ordering::Release);
        }
        !new.is_empty()
    }

    /// Removes expired overrides and returns what gossip has to send. Uses up one of the rounds in
    /// which new overrides are sent.
    pub(crate) fn gossip_state(&self) -> GossipState {
        let has_overrides = self.update_cache(|cache| {
            cache.expire_overrides(self.timer.now());
            !cache.overrides().is_empty()
        });
        GossipState {
            has_overrides,
            has_recent: self.use_recent_round(),
        }
    }

    fn use_recent_round(&self) -> bool {
        let decrement = |rounds: u32| rounds.checked_sub(1);
        let decremented =
            self.recent_rounds
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, decrement);
        decremented.is_ok()
    }

    /// Assigns a sequence number to an order and records the configuration version it is based on.
    pub(crate) fn new_override(&self, order: OverrideOrder) -> Result<Override, OverrideError> {
        let cache = self.cache.lock();
        let base_version = cache.version().ok_or(OverrideError::NotReady)?;
        let path = data_centre_path(&order.data_centre);
        if !cache.tree().snapshot.nodes.contains_key(&path) {
            return Err(OverrideError::NoSuchDataCentre);
        }
        // A withdrawal must outlive every copy of the override that it withdraws.
        let time_left = if order.out {
            order.duration.min(MAX_OVERRIDE_DURATION)
        } else {
            MAX_OVERRIDE_DURATION
        };
        Ok(Override {
            sequence: cache.overrides().next_sequence(&order.data_centre),
            data_centre: order.data_centre,
            out: order.out,
            issued_by: Arc::clone(&self.me),
            operator: order.operator,
            base_version,
            time_left,
        })
    }
}
