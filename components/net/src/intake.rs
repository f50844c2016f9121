//! Decides which of the accepted connections are served.

use std::{io, time::Duration};

/// A change in whether a server listens.
#[derive(Debug)]
pub enum Listening {
    /// It does not listen for a moment.
    Paused,
    /// It listens again.
    Resumed,
    /// It could not listen again, and tries once more.
    Failed(io::Error),
}

/// Decides which of the accepted connections are served, by how promptly the server gets to serve them.
pub trait Intake: Send + Sync + 'static {
    /// Whether a connection that was accepted now is served. Otherwise it's closed without being read, so that
    /// its peer may retry elsewhere.
    fn admits(&self) -> bool;

    /// Whether the server listens. While it does not, connections are refused: that costs less than accepting and
    /// closing them, and what their peers would send does not take up the link.
    fn listens(&self) -> bool;

    /// Records a change in whether the server listens.
    fn record_listening(&self, change: &Listening);

    /// Whether a connection is closed after the answer that is sent now, so that its peer goes elsewhere with its
    /// next request.
    fn sheds(&self) -> bool;

    /// Records how long an admitted connection has waited for its first turn on a worker thread. Long waits
    /// mean that the process is short of processor time.
    fn started(&self, waited: Duration);

    /// Records how much later than it was set to the periodic timer of the accepting task has fired.
    fn ticked(&self, late: Duration);
}

/// Admits all connections.
pub struct Unlimited;

impl Intake for Unlimited {
    fn admits(&self) -> bool {
        true
    }

    fn listens(&self) -> bool {
        true
    }

    fn record_listening(&self, _change: &Listening) {}

    fn sheds(&self) -> bool {
        false
    }

    fn started(&self, _waited: Duration) {}

    fn ticked(&self, _late: Duration) {}
}
