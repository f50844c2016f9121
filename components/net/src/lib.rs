//! HTTP over `hyper` and `smol`: a server with limits, and a client with pooled connections.

pub mod body;
mod bounded_stream;
pub mod budget;
mod carried;
pub mod client;
mod connection;
pub mod connection_use;
pub mod intake;
mod linger;
mod listener;
mod panics;
mod pool;
mod read_meter;
pub mod reply;
pub mod retry_after;
pub mod serve;
mod sliced;
mod write_timeout;

pub use body::{BodyError, SharedError, read_all, read_held, read_limited, read_shared};
pub use budget::{Budget, Share};
pub use client::{AnyConnection, Client, Connecting, NewConnection, SendError, SendRules, Unsent};
pub use connection_use::ConnectionUse;
pub use intake::{Intake, Listening};
pub use reply::{
    Body, BodyAborted, BodySender, Reply, channel, empty, full, short_task_body, task_body,
};
pub use retry_after::retry_after;
pub use serve::{ConnectionGuard, DynamicLimits, Handler, ServeLimits, Server};
