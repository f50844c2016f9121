//! How many retries a service may cause.
//!
//! Without a budget, retries of what fails under overload add load exactly then: one would
//! notice targets that stay overloaded after the cause has gone. The budget ties retries to a
//! share of first tries.

use std::collections::BTreeMap;

use types::ServiceId;

/// Retries saved up at most; lets a lone failure be retried in a quiet hour.
const SAVED_MOST: f64 = 20.0;
/// Retries that a service has from the start.
const SAVED_FIRST: f64 = 5.0;

/// Retry retry_budgets of all services.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    saved: BTreeMap<ServiceId, f64>,
}

impl RetryBudgets {
    /// Takes a first try into account; `percent` retries are earned by 100 of them.
    pub fn earn(&mut self, service: &ServiceId, percent: u32) {
        let saved = self.saved.entry(service.clone()).or_insert(SAVED_FIRST);
        *saved = (*saved + f64::from(percent) / 100.0).min(SAVED_MOST);
    }

    /// Spends a retry, if there is one.
    pub fn spend(&mut self, service: &ServiceId) -> bool {
        let saved = self.saved.entry(service.clone()).or_insert(SAVED_FIRST);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
