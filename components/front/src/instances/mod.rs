//! The other instances: who they are, what is told, and how a start of all goes.

pub mod joining;
pub mod membership;
pub mod message_handler;
pub mod notify;
pub mod peers;
pub mod wire;
