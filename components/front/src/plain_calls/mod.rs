//! Calls to plain services: choice of a target, second sendings, cold targets.

pub mod budget;
pub mod choice;
pub mod cold;
pub mod plain;
