//! What is known of a connection when it brings a response.

use std::time::Duration;

use hyper::Response;

/// How a connection had been used when it brought a response. The client attaches it to the response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionUse {
    /// Number of the connection among those of this process; 0 if the response came from elsewhere.
    pub number: u64,
    /// Time since the connection was opened.
    pub age: Duration,
    /// Responses that it had brought before.
    pub earlier_responses: u32,
    /// The response names an earlier request of the connection, so that it is no response to this one.
    pub names_earlier: bool,
    /// Bytes that had arrived when the request was sent, although no response was awaited.
    pub unexpected_bytes: usize,
    /// Bytes that arrived from then on until the head of the response was complete.
    pub received_bytes: usize,
}

impl ConnectionUse {
    /// The use of the connection that brought a response; the default if the response came from elsewhere.
    #[must_use]
    pub fn of<T>(resp: &Response<T>) -> Self {
        resp.extensions().get().copied().unwrap_or_default()
    }
}
