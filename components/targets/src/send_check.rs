//! Tells a request that was withheld from one that could not be sent.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use hyper::{Response, body::Incoming};
use net::{ConnectionUse, SendError, SendRules};

use crate::{
    api::{MaySend, TargetError},
    openai::REQUEST_ID,
};

/// Asks for the permission to send one request, and remembers whether it was refused.
pub struct SendCheck<'a> {
    may_send: MaySend<'a>,
    /// Id of the request.
    request: &'a str,
    needs_new_connection: bool,
    withheld: AtomicBool,
}

impl<'a> SendCheck<'a> {
    /// Asks `may_send` for the request with this id.
    pub const fn new(request: &'a str, may_send: MaySend<'a>) -> Self {
        Self {
            may_send,
            request,
            needs_new_connection: false,
            withheld: AtomicBool::new(false),
        }
    }

    /// Sends the request over a new connection.
    pub const fn with_new_connection(mut self) -> Self {
        self.needs_new_connection = true;
        self
    }

    /// Converts the outcome of the sending.
    pub fn result<T>(&self, sent: Result<T, SendError>) -> Result<T, TargetError> {
        match sent {
            Err(SendError::Unsent(_)) if self.withheld.load(Ordering::Acquire) => {
                Err(TargetError::Withheld)
            }
            sent => sent.map_err(TargetError::from),
        }
    }
}

impl SendRules for SendCheck<'_> {
    fn may_send(&self) -> Result<(), Arc<str>> {
        if (self.may_send)() {
            return Ok(());
        }
        self.withheld.store(true, Ordering::Release);
        Err("the permission to send it has ended".into())
    }

    fn name(&self) -> Option<&str> {
        Some(self.request)
    }

    fn named<'r>(&self, resp: &'r Response<Incoming>) -> Option<&'r str> {
        resp.headers().get(REQUEST_ID)?.to_str().ok()
    }

    fn needs_new_connection(&self) -> bool {
        self.needs_new_connection
    }

    fn is_own(&self, resp: &Response<Incoming>) -> bool {
        !ConnectionUse::of(resp).names_earlier
    }
}
