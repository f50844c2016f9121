//! Data centres taken out of service for a limited time while the table service is unavailable.
//!
//! An override is not part of the accepted configuration and is never reported as such. It can only
//! take a data centre out, never bring one back in, and any accepted change of that data centre
//! takes precedence if it came after the configuration version that the operator saw. Thus an
//! override can't revert an accepted change, and it expires by itself.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, DataCentreId, InstanceId, Moment};

/// Longest duration of an override. An operator who needs it for longer repeats the order.
pub const MAX_OVERRIDE_DURATION: Duration = Duration::from_secs(3600);
/// Maximum number of overrides.
pub const MAX_OVERRIDES: usize = 64;

/// An override, as exchanged between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Override {
    /// The data centre to which the override applies.
    pub data_centre: DataCentreId,
    /// Whether the data centre is taken out; `false` withdraws an earlier override.
    pub out: bool,
    /// Increases with each order for this data centre; the larger number wins.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The instance that received the order; decides between equal sequence numbers.
    #[serde(rename = "by")]
    pub issued_by: InstanceId,
    /// The operator who gave the order.
    #[serde(rename = "who")]
    pub operator: Arc<str>,
    /// The accepted configuration version that the operator saw.
    #[serde(rename = "base")]
    pub base_version: ConfigVersion,
    /// Time until it expires, as a duration because clocks of instances differ.
    #[serde(rename = "left")]
    pub time_left: Duration,
}

/// An override and when it expires by the local clock.
#[derive(Clone, Debug)]
struct ActiveOverride {
    order: Override,
    expires_at: Moment,
}

impl ActiveOverride {
    fn precedence(&self) -> (u64, &InstanceId) {
        (self.order.sequence, &self.order.issued_by)
    }
}

/// All overrides known to an instance, at most one for each data centre.
#[derive(Debug, Default)]
pub struct Overrides {
    active: BTreeMap<DataCentreId, ActiveOverride>,
}

impl Overrides {
    /// Whether no override is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Sequence number for the next order for a data centre.
    #[must_use]
    pub fn next_sequence(&self, data_centre: &str) -> u64 {
        let last = self.active.get(data_centre);
        last.map_or(1, |active| active.order.sequence.saturating_add(1))
    }

    /// Merges an override and returns whether it was new. The result does not depend on the order
    /// in which overrides arrive: the larger sequence number wins.
    pub fn apply(&mut self, order: &Override, now: Moment) -> bool {
        let active = ActiveOverride {
            order: order.clone(),
            expires_at: now.saturating_add(order.time_left.min(MAX_OVERRIDE_DURATION)),
        };
        if active.expires_at <= now {
            return false;
        }
        let known = self.active.get(&order.data_centre);
        let newer = known.is_none_or(|known| active.precedence() > known.precedence());
        let has_room = known.is_some() || self.active.len() < MAX_OVERRIDES;
        if newer && has_room {
            self.active.insert(Arc::clone(&order.data_centre), active);
        }
        newer && has_room
    }

    /// Removes expired overrides and returns whether there were any.
    pub fn expire(&mut self, now: Moment) -> bool {
        let before = self.active.len();
        self.active.retain(|_, active| active.expires_at > now);
        self.active.len() != before
    }

    /// Data centres taken out by overrides. `node_version` returns the accepted version that last
    /// wrote a data centre. A data centre that is missing from the accepted tree has been deleted
    /// since the order was given, so its override no longer applies.
    pub fn data_centres_out(
        &self,
        node_version: impl Fn(&DataCentreId) -> Option<ConfigVersion>,
    ) -> Vec<DataCentreId> {
        let applies = |active: &&ActiveOverride| {
            let order = &active.order;
            order.out && node_version(&order.data_centre).is_some_and(|v| v <= order.base_version)
        };
        let out = self.active.values().filter(applies);
        out.map(|active| Arc::clone(&active.order.data_centre))
            .collect()
    }

    /// All overrides with the time until they expire.
    #[must_use]
    pub fn list(&self, now: Moment) -> Vec<Override> {
        let current = |active: &ActiveOverride| Override {
            time_left: active.expires_at.saturating_sub(now),
            ..active.order.clone()
        };
        self.active.values().map(current).collect()
    }
}
