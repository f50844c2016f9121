//! Calls to plain services: selection of a target, retries, and cold targets.

pub mod answer_times;
pub mod cold;
pub mod dispatch;
pub mod retry_budget;
pub mod selection;
pub mod target_speed;
