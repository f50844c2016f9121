//! Reaching targets: which of them this instance can connect to, and requests through other
//! instances to the rest.
//!
//! A request to a target to which connections don't open is sent through another instance, which
//! sends it to that target and nowhere else: it decides nothing and relays no further, so there is
//! one hop and no loop. The instance that took the request from the caller keeps all decisions: the
//! target, permits, retries, deadlines, and what the answer says of the target.

pub mod control;
pub mod entry;
pub mod envelope;
pub mod paths;
pub mod presence;
pub mod server;
