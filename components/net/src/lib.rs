//! HTTP over `hyper` and `smol`: serving with limits, calling with pooled connections.

pub mod body;
pub mod budget;
pub mod client;
mod connection;
mod linger;
mod panics;
mod pool;
pub mod reply;
pub mod serve;
mod stall;

pub use body::{BodyError, SharedError, read_all, read_limited, read_shared};
pub use budget::{Budget, Share};
pub use client::{Client, SendError};
pub use reply::{Body, BodyAborted, BodySender, Reply, channel, empty, full, task_body};
pub use serve::{ConnectionGuard, DynamicLimits, Handler, ServeLimits, Server};
