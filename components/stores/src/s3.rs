//! Client of the object store, which speaks the S3 API with path-style addresses.

use std::{fmt::Write as _, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use errors::Error as Failure;
use hyper::{Method, StatusCode};
use net::Client;

use crate::{
    api::{Objects, PlatformError},
    http::{Answer, Call, CallError, Endpoint},
};

const BUCKET: &str = "celerystand";
const OBJECT_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

/// A client of the object store.
pub struct S3Objects {
    endpoint: Endpoint,
}

impl S3Objects {
    /// Creates a client of the service at `base`, `http://IP:PORT[/path]`, which sends `token` as a
    /// bearer token.
    ///
    /// # Errors
    /// Fails on an invalid address, or on a token that can't be sent in a header.
    pub fn new(client: Client, base: &str, token: Option<Arc<str>>) -> Result<Self, Failure> {
        let endpoint = Endpoint::new(client, base, token)?;
        Ok(Self { endpoint })
    }

    async fn call(&self, method: Method, key: &str, body: Bytes) -> Result<Answer, CallError> {
        let call = Call {
            method,
            path: format!("/{BUCKET}/{}", encode_path(key)),
            body,
            timeout: OBJECT_TIMEOUT,
            max_answer_bytes: MAX_OBJECT_BYTES,
        };
        self.endpoint.call(call).await
    }
}

#[async_trait]
impl Objects for S3Objects {
    async fn put(&self, key: &str, body: Bytes) -> Result<(), PlatformError> {
        let answer = self.call(Method::PUT, key, body).await;
        let answer = answer.map_err(|e| match e {
            CallError::Unsent { reason } => PlatformError::Unavailable { reason },
            CallError::Lost { reason } => PlatformError::Unknown { reason },
        })?;
        let reason = format!("status {}", answer.status).into();
        match answer.status {
            status if status.is_success() => Ok(()),
            // A client error or a request to slow down: the object was not written.
            status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(PlatformError::Unavailable { reason })
            }
            _ => Err(PlatformError::Unknown { reason }),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let answer = self.call(Method::GET, key, Bytes::new()).await;
        let answer = answer.map_err(|e| PlatformError::Unavailable { reason: e.reason() })?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Unavailable {
                reason: format!("status {status}").into(),
            }),
        }
    }
}

/// Percent-encodes the bytes that a path may not contain.
fn encode_path(key: &str) -> String {
    let mut path = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~' | b'/') {
            path.push(char::from(byte));
        } else {
            // Writing to a string never fails.
            let _ = write!(path, "%{byte:02X}");
        }
    }
    path
}
