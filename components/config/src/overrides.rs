//! Data centres kept out of service for a limited time while the table service is down.
//!
//! An override is no part of the accepted configuration and never called so. It can only take a
//! data centre out, never bring one in, and it gives way to any accepted change of that data
//! centre which came after the configuration that its operator saw. So it can't revert what was
//! accepted, and what it does ends by itself.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, DataCentreId, InstanceId, Moment};

/// Longest life of an override. An operator who needs more repeats the order.
pub const MAX_OVERRIDE_DURATION: Duration = Duration::from_secs(3600);
/// Most overrides at once.
pub const OVERRIDES: usize = 64;

/// An override as instances tell each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Override {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether it is kept out; `false` withdraws an earlier override.
    pub out: bool,
    /// Grows with each order for this data centre; the larger one holds.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The instance that took the order; decides between equal numbers.
    #[serde(rename = "by")]
    pub issued_by: InstanceId,
    /// The operator.
    #[serde(rename = "who")]
    pub operator: Arc<str>,
    /// The accepted configuration that the operator saw.
    #[serde(rename = "base")]
    pub base_version: ConfigVersion,
    /// Time left. Clocks of instances differ, so no point in time is told.
    #[serde(rename = "left")]
    pub time_left: Duration,
}

/// An override and when it ends by our clock.
#[derive(Clone, Debug)]
struct Kept {
    order: Override,
    end: Moment,
}

impl Kept {
    fn rank(&self) -> (u64, &InstanceId) {
        (self.order.sequence, &self.order.issued_by)
    }
}

/// All overrides that an instance knows of, at most one for each data centre.
#[derive(Debug, Default)]
pub struct Overrides {
    kept: BTreeMap<DataCentreId, Kept>,
}

impl Overrides {
    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Number for the next order about a data centre.
    #[must_use]
    pub fn next_number(&self, data_centre: &str) -> u64 {
        let last = self.kept.get(data_centre);
        last.map_or(1, |kept| kept.order.sequence.saturating_add(1))
    }

    /// Takes an order; tells whether it was new. The same orders in any sequence lead to the
    /// same result everywhere: the larger number holds.
    pub fn take(&mut self, order: &Override, now: Moment) -> bool {
        let kept = Kept {
            order: order.clone(),
            end: now.saturating_add(order.time_left.min(MAX_OVERRIDE_DURATION)),
        };
        if kept.end <= now {
            return false;
        }
        let known = self.kept.get(&order.data_centre);
        let newer = known.is_none_or(|known| kept.rank() > known.rank());
        let fits = known.is_some() || self.kept.len() < OVERRIDES;
        if newer && fits {
            self.kept.insert(Arc::clone(&order.data_centre), kept);
        }
        newer && fits
    }

    /// Forgets what has ended; tells whether anything had.
    pub fn expire(&mut self, now: Moment) -> bool {
        let before = self.kept.len();
        self.kept.retain(|_, kept| kept.end > now);
        self.kept.len() != before
    }

    /// Data centres kept out; `changed` tells the accepted version that last wrote a data centre.
    /// One that is not in the accepted tree was there when the order was given, so it has been
    /// deleted since.
    pub fn data_centres_out(
        &self,
        changed: impl Fn(&DataCentreId) -> Option<ConfigVersion>,
    ) -> Vec<DataCentreId> {
        let holds = |kept: &&Kept| {
            let order = &kept.order;
            order.out && changed(&order.data_centre).is_some_and(|v| v <= order.base_version)
        };
        let out = self.kept.values().filter(holds);
        out.map(|kept| Arc::clone(&kept.order.data_centre))
            .collect()
    }

    /// All orders, with the time that they have left.
    #[must_use]
    pub fn list(&self, now: Moment) -> Vec<Override> {
        let told = |kept: &Kept| Override {
            time_left: kept.end.saturating_sub(now),
            ..kept.order.clone()
        };
        self.kept.values().map(told).collect()
    }
}
