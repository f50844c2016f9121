//! How many retries a service may cause.
//!
//! Without a budget, retries of what fails under overload add load exactly then: one would
//! notice targets that stay overloaded after the cause has gone. The budget ties retries to a
//! share of first tries.

use std::collections::BTreeMap;

use types::ServiceId;

/// Retries saved up at most; lets a lone failure be retried in a quiet hour.
const MAX_BALANCE: f64 = 20.0;
/// Retries that a service has from the start.
const INITIAL_BALANCE: f64 = 5.0;

/// Retry retry_budgets of all services.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    balances: BTreeMap<ServiceId, f64>,
}

impl RetryBudgets {
    /// Takes a first try into account; `percent` retries are earned by 100 of them.
    pub fn deposit(&mut self, service: &ServiceId, percent: u32) {
        let saved = self
            .balances
            .entry(service.clone())
            .or_insert(INITIAL_BALANCE);
        *saved = (*saved + f64::from(percent) / 100.0).min(MAX_BALANCE);
    }

    /// Spends a retry, if there is one.
    pub fn try_spend(&mut self, service: &ServiceId) -> bool {
        let saved = self
            .balances
            .entry(service.clone())
            .or_insert(INITIAL_BALANCE);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
