//! HTTP calls to a platform service, with limits on time and size.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use errors::Error as Failure;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode, Uri,
    header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue},
};
use net::{Client, SendError, read_all};
use timer::Timer;

/// The address of one platform service, `http://IP:PORT[/path]`, and how to call it.
#[derive(Clone)]
pub struct Endpoint {
    client: Client,
    timer: Timer,
    addr: SocketAddr,
    base: Arc<str>,
    headers: HeaderMap,
}

/// One HTTP call to a service.
#[derive(Debug)]
pub struct Call {
    pub method: Method,
    /// Path below the service's base path, and the query.
    pub path: String,
    pub body: Bytes,
    /// Time for the whole call, from connecting to the last byte of the answer.
    pub timeout: Duration,
    pub max_answer_bytes: usize,
}

/// The complete answer to a call.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub body: Bytes,
}

/// Why a call got no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CallError {
    /// No byte of the call left this process.
    #[display("{reason}")]
    Unsent {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// Some bytes of the call may have been sent; it may have been served.
    #[display("{reason}")]
    Lost {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
}

impl CallError {
    /// The cause as text.
    #[must_use]
    pub fn reason(&self) -> Arc<str> {
        match self {
            Self::Unsent { reason } | Self::Lost { reason } => Arc::clone(reason),
        }
    }
}

impl Endpoint {
    /// Parses a service's base address. All calls send `token` as a bearer token.
    ///
    /// # Errors
    /// Fails on an invalid address, or on a token that can't be sent in a header.
    pub fn new(client: Client, base: &str, token: Option<Arc<str>>) -> Result<Self, Failure> {
        let invalid = |what: &str| {
            Failure::new(format!("{what}; use http://IP:PORT[/path]"))
                .with_context(format!("reading the address {base:?}"))
        };
        let uri: Uri = base.parse().map_err(|e| invalid(&format!("{e}")))?;
        if uri.scheme_str() != Some("http") {
            return Err(invalid("it is not an http address"));
        }
        if uri.query().is_some() {
            return Err(invalid("it has a query"));
        }
        let authority = uri.authority().ok_or_else(|| invalid("it names no host"))?;
        let addr = authority
            .as_str()
            .parse()
            .map_err(|_| invalid("it does not name an IP address and a port"))?;
        let mut headers = HeaderMap::new();
        if let Some(token) = token {
            let mut value = HeaderValue::from_str(&format!("Bearer {token}"))
                .map_err(|_| Failure::new("the platform's token can't be sent in a header"))?;
            value.set_sensitive(true);
            headers.insert(AUTHORIZATION, value);
        }
        Ok(Self {
            client,
            timer: Timer::new(),
            addr,
            base: uri.path().trim_end_matches('/').into(),
            headers,
        })
    }

    /// Adds a header that each call sends.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &'static str) -> Self {
        let name = HeaderName::from_static(name);
        self.headers.insert(name, HeaderValue::from_static(value));
        self
    }

    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    /// The error says whether any byte of the call may have been sent.
    pub async fn call(&self, call: Call) -> Result<Answer, CallError> {
        let timeout = call.timeout;
        let exchange = self.exchange(call);
        match self.timer.within(timeout, exchange).await {
            Some(result) => result,
            None => {
                // A device on the path may have dropped the state of this connection, and of others
                // opened at that time. Without this, each later call could pick one of them and
                // wait until it times out.
                self.client.close_connections(self.addr);
                let reason = format!("no answer from {} within {timeout:?}", self.addr).into();
                Err(CallError::Lost { reason })
            }
        }
    }

    async fn exchange(&self, call: Call) -> Result<Answer, CallError> {
        let unsent = |reason: String| CallError::Unsent {
            reason: reason.into(),
        };
        let uri = format!("{}{}", self.base, call.path);
        let mut req = Request::builder()
            .method(call.method)
            .uri(uri)
            .body(Full::new(call.body))
            .map_err(|e| unsent(e.to_string()))?;
        req.headers_mut().extend(self.headers.clone());
        let resp = match self.client.send(self.addr, req).await {
            Ok(resp) => resp,
            Err(SendError::Unsent(unsent)) => {
                return Err(CallError::Unsent {
                    reason: Arc::clone(unsent.reason()),
                });
            }
            Err(SendError::Lost { reason, .. }) => return Err(CallError::Lost { reason }),
        };
        let status = resp.status();
        let body = read_all(resp.into_body(), call.max_answer_bytes, call.timeout)
            .await
            .map_err(|e| CallError::Lost {
                reason: e.to_string().into(),
            })?;
        Ok(Answer { status, body })
    }
}
