//! Timeouts on which the safety of ownership and permits depends.
//!
//! They depend on each other: raising one may require raising another. The assertions below check
//! the dependencies between them.

use std::time::Duration;

use wire::PERMIT_LIFETIME;

/// A peer without a heartbeat for this long is unresponsive: it is no longer followed as an owner,
/// and other instances take over its shards.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long a peer's statement that it follows this instance is valid, counted from when this
/// instance sent the heartbeat that the statement answers.
pub const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1000);

/// Allowance for clocks that run at different speeds, and for the time between a check and its
/// effect.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// A peer without a heartbeat for this long is gone: all permits that it held have expired.
pub const GONE_TIMEOUT: Duration = Duration::from_millis(2200);

/// A gap between two ticks that is longer than this counts as a pause of the process. It must stay
/// well below `HEARTBEAT_TIMEOUT`, after which other instances take over the shards.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// Grace period after a start or a pause in which an instance acquires no shards. By its end,
/// whatever the instance promised before a restart has expired, and heartbeats of its peers have
/// arrived.
pub const STARTUP_DELAY: Duration = Duration::from_millis(600);

const _: () = assert!(
    GONE_TIMEOUT.as_millis() >= HEARTBEAT_TIMEOUT.as_millis() + PERMIT_LIFETIME.as_millis()
);
const _: () = assert!(PAUSE_THRESHOLD.as_millis() < HEARTBEAT_TIMEOUT.as_millis());
