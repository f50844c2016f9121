//! Communication with the other instances: membership, messages, and the start of many instances at
//! once.

pub mod joining;
pub mod membership;
pub mod message_handler;
pub mod notify;
pub mod peers;
pub mod wire;
