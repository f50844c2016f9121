//! Calls to plain services: choice of a target, second sendings, cold targets.

pub mod cold;
pub mod dispatch;
pub mod retry_budget;
pub mod selection;
