//! The times that membership and permits rest on.
//!
//! They hang together: raising one may need raising another, so they stand in one place.

use std::time::Duration;

use wire::PERMIT_LIFETIME;

/// A peer that was not heard for this long owns nothing in our eyes.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long a statement "I follow you" counts, from the moment its receiver sent the heartbeat
/// that the statement answers.
pub const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1000);

/// For differences between clocks' speeds and for work between a check and its effect.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// A peer silent for this long can't hold a usable permit any more.
pub const GONE_TIMEOUT: Duration = Duration::from_millis(2200);

/// A gap of this length between two ticks counts as a pause. It must stay well below `HEARTBEAT_TIMEOUT`:
/// others take shards over after that.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// After its start an instance takes part in nothing for this long, so that what it promised
/// before a restart has lapsed, and so that it hears its peers before it judges them silent.
pub const STARTUP_DELAY: Duration = Duration::from_millis(600);

const _: () = assert!(
    GONE_TIMEOUT.as_millis() >= HEARTBEAT_TIMEOUT.as_millis() + PERMIT_LIFETIME.as_millis()
);
const _: () = assert!(PAUSE_THRESHOLD.as_millis() < HEARTBEAT_TIMEOUT.as_millis());
