//! Limits the retries per service.
//!
//! Without a budget, requests that fail under overload are retried and add load just then, and
//! targets may stay overloaded after the cause has gone. The budget limits retries to a share of
//! first attempts.

use std::collections::BTreeMap;

use types::ServiceId;

/// Maximum balance, in retries; lets a single failure be retried when there are few requests.
const MAX_BALANCE: f64 = 20.0;
/// Initial balance of a service, in retries.
const INITIAL_BALANCE: f64 = 5.0;

/// Retry budgets of all services.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    balances: BTreeMap<ServiceId, f64>,
}

impl RetryBudgets {
    /// Records a first attempt; 100 of them allow `percent` retries.
    pub fn deposit(&mut self, service: &ServiceId, percent: u32) {
        let balance = self
            .balances
            .entry(service.clone())
            .or_insert(INITIAL_BALANCE);
        *balance = (*balance + f64::from(percent) / 100.0).min(MAX_BALANCE);
    }

    /// Spends one retry. Returns false if the budget is used up.
    pub fn try_spend(&mut self, service: &ServiceId) -> bool {
        let balance = self
            .balances
            .entry(service.clone())
            .or_insert(INITIAL_BALANCE);
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
