//! Which other instances relay requests to targets that this one does not reach.

use std::{collections::HashMap, time::Duration};

use types::{DataCentreId, InstanceId, Moment};

/// How long an instance is passed over after it could not relay a request.
const PASSED_OVER_TIME: Duration = Duration::from_millis(1_000);
/// Longest such time: an instance that fails again and again is partitioned too, or overloaded.
const MAX_PASSED_OVER_TIME: Duration = Duration::from_millis(2_000);

/// How long an instance that has relayed a request is preferred: where most instances are cut off,
/// chance alone would rarely find one that is not.
const PREFERRED_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    until: Moment,
}

/// The other instances as relays.
#[derive(Debug, Default)]
pub struct Relays {
    failed: HashMap<InstanceId, Failures>,
    /// When instances last relayed a request.
    succeeded: HashMap<InstanceId, Moment>,
}

impl Relays {
    /// Records that an instance could not relay a request.
    pub fn record_failure(&mut self, now: Moment, relay: &InstanceId) {
        self.succeeded.remove(relay);
        let failures = self.failed.entry(InstanceId::clone(relay)).or_default();
        let doubled = PASSED_OVER_TIME.saturating_mul(1 << failures.count.min(8));
        failures.until = now + doubled.min(MAX_PASSED_OVER_TIME);
        failures.count = failures.count.saturating_add(1);
    }

    /// Records that an instance has relayed a request.
    pub fn record_success(&mut self, now: Moment, relay: &InstanceId) {
        self.failed.remove(relay);
        self.succeeded.insert(InstanceId::clone(relay), now);
    }

    /// Whether any instance has relayed a request recently.
    #[must_use]
    pub fn has_preferred(&self, now: Moment) -> bool {
        let mut succeeded = self.succeeded.values();
        succeeded.any(|at| now.saturating_sub(*at) < PREFERRED_TIME)
    }

    /// Instances to try for one request, in this order: first those that have relayed one recently. Of
    /// the others, those of the same data centre cost no bytes between data centres, but may be cut off
    /// together with this one, so the candidates alternate. Those that have failed come last.
    /// `shuffled` are all that respond, in random order, so that the requests are spread.
    #[must_use]
    pub fn candidates(
        &self,
        now: Moment,
        shuffled: Vec<(InstanceId, DataCentreId)>,
        local: &str,
    ) -> Vec<InstanceId> {
        let (mut passed_over, usable): (Vec<_>, Vec<_>) = shuffled
            .into_iter()
            .partition(|(id, _)| self.passed_over_until(id) > now);
        passed_over.sort_by_key(|(id, _)| self.passed_over_until(id));
        let (mut ordered, others): (Vec<_>, Vec<_>) = usable.into_iter().partition(|(id, _)| {
            let at = self.succeeded.get(id);
            at.is_some_and(|at| now.saturating_sub(*at) < PREFERRED_TIME)
        });
        ordered.sort_by_key(|(_, of)| **of != *local);
        let mut ordered: Vec<InstanceId> = ordered.into_iter().map(|(id, _)| id).collect();
        let (near, far): (Vec<_>, Vec<_>) = others.into_iter().partition(|(_, of)| **of == *local);
        let mut near = near.into_iter().map(|(id, _)| id);
        let mut far = far.into_iter().map(|(id, _)| id);
        loop {
            let pair = [near.next(), far.next()];
            if pair.iter().all(Option::is_none) {
                ordered.extend(passed_over.into_iter().map(|(id, _)| id));
                return ordered;
            }
            ordered.extend(pair.into_iter().flatten());
        }
    }

    fn passed_over_until(&self, relay: &str) -> Moment {
        let failures = self.failed.get(relay);
        failures.map_or(Duration::ZERO, |failures| failures.until)
    }

    /// Drops instances that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.failed.retain(|id, _| is_known(id));
        self.succeeded.retain(|id, _| is_known(id));
    }
}
