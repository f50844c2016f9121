//! Calls to a platform service over HTTP, within limits of time and size.

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

/// One service of the platform: `http://IP:PORT[/path]`.
#[derive(Clone)]
pub struct Endpoint {
    client: Client,
    timer: Timer,
    addr: SocketAddr,
    base: Arc<str>,
    headers: HeaderMap,
}

/// A call to make.
#[derive(Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path below the service's base, and query.
    pub path: String,
    /// Content.
    pub body: Bytes,
    /// Time for the whole exchange.
    pub within: Duration,
    /// Most bytes of the answer.
    pub limit: usize,
}

/// An answer, read whole.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Content.
    pub body: Bytes,
}

/// Why a call brought no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CallError {
    /// No byte of the call left this process.
    #[display("{reason}")]
    Unsent {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The call may have been served.
    #[display("{reason}")]
    Lost {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
}

impl CallError {
    /// Why the call brought no answer.
    #[must_use]
    pub fn reason(&self) -> Arc<str> {
        match self {
            Self::Unsent { reason } | Self::Lost { reason } => Arc::clone(reason),
        }
    }
}

impl Endpoint {
    /// Names a service by its base address and the bearer token it wants.
    ///
    /// # Errors
    /// Tells what is wrong with the address or the token.
    pub fn new(client: Client, base: &str, token: Option<Arc<str>>) -> Result<Self, Failure> {
        let wrong = |what: &str| {
            Failure::new(format!("{what}; use http://IP:PORT[/path]"))
                .with_context(format!("reading the address {base:?}"))
        };
        let uri: Uri = base.parse().map_err(|e| wrong(&format!("{e}")))?;
        if uri.scheme_str() != Some("http") {
            return Err(wrong("it is not an http address"));
        }
        if uri.query().is_some() {
            return Err(wrong("it has a query"));
        }
        let authority = uri.authority().ok_or_else(|| wrong("it names no host"))?;
        let addr = authority
            .as_str()
            .parse()
            .map_err(|_| wrong("it does not name an IP address and a port"))?;
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

    /// Adds a header to each call.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &'static str) -> Self {
        let name = HeaderName::from_static(name);
        self.headers.insert(name, HeaderValue::from_static(value));
        self
    }

    /// Makes a call and reads its answer whole.
    ///
    /// # Errors
    /// Tells whether any byte of the call may have left.
    pub async fn call(&self, call: Call) -> Result<Answer, CallError> {
        let within = call.within;
        let exchange = self.exchange(call);
        match self.timer.within(within, exchange).await {
            Some(result) => result,
            None => {
                // The connection may be one that something on the way has lost track of; others
                // opened at that time may be too. Without this, each later call could pick one
                // of them and wait its full time.
                self.client.close_connections(self.addr);
                let reason = format!("no answer from {} within {within:?}", self.addr).into();
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
            Err(SendError::Unsent { reason }) => return Err(CallError::Unsent { reason }),
            Err(SendError::Lost { reason }) => return Err(CallError::Lost { reason }),
        };
        let status = resp.status();
        let body = read_all(resp.into_body(), call.limit, call.within)
            .await
            .map_err(|e| CallError::Lost {
                reason: e.to_string().into(),
            })?;
        Ok(Answer { status, body })
    }
}
