//! HTTP over `hyper` and `smol`: serving with limits, calling with pooled connections.

pub mod body;
pub mod client;
pub mod reply;
pub mod serve;
mod stall;

pub use body::{BodyError, read_all, read_limited};
pub use client::{Client, SendError};
pub use reply::{Body, Reply, channel, empty, full};
pub use serve::{Guard, Handler, ServeLimits, Server};
