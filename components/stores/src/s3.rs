//! The object store: the S3 API in path style.

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

/// Name of our bucket.
const BUCKET: &str = "celerystand";
/// Time for an object to be written or read.
const OBJECT_TIME: Duration = Duration::from_secs(10);
/// Most bytes of an object.
const OBJECT_LIMIT: usize = 64 * 1024 * 1024;

/// A client of the object store.
pub struct S3Objects {
    endpoint: Endpoint,
}

impl S3Objects {
    /// Names the service, `http://IP:PORT[/path]`, and the bearer token it wants.
    ///
    /// # Errors
    /// Tells what is wrong with the address or the token.
    pub fn new(client: Client, base: &str, token: Option<Arc<str>>) -> Result<Self, Failure> {
        let endpoint = Endpoint::new(client, base, token)?;
        Ok(Self { endpoint })
    }

    async fn call(&self, method: Method, key: &str, body: Bytes) -> Result<Answer, CallError> {
        let call = Call {
            method,
            path: format!("/{BUCKET}/{}", escape(key)),
            body,
            within: OBJECT_TIME,
            limit: OBJECT_LIMIT,
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
            // A client error or "slow down": the object was not taken.
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

/// Escapes what a path may not hold.
fn escape(key: &str) -> String {
    let mut path = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~' | b'/') {
            path.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _ = write!(path, "%{byte:02X}");
        }
    }
    path
}
