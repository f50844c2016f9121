//! Client of the directory, which lists instances and targets as Kubernetes EndpointSlices.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use errors::Error as Failure;
use hyper::Method;
use net::Client;
use types::Listing;

use crate::{
    api::{Directory, PlatformError},
    http::{Call, Endpoint},
    slices_format::{self, SliceList},
};

const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_PAGE_BYTES: usize = 32 * 1024 * 1024;
/// Most slices on all pages of the list together.
const MAX_SLICES: usize = 200_000;

/// A client of the platform's directory.
pub struct SliceDirectory {
    endpoint: Endpoint,
}

impl SliceDirectory {
    /// Creates a client of the service at `base`, `http://IP:PORT[/path]`, which sends `token` as a
    /// bearer token.
    ///
    /// # Errors
    /// Fails on an invalid address, or on a token that can't be sent in a header.
    pub fn new(client: Client, base: &str, token: Option<Arc<str>>) -> Result<Self, Failure> {
        let endpoint = Endpoint::new(client, base, token)?;
        Ok(Self { endpoint })
    }

    /// Reads one page of the list; `next` is empty for the first one.
    async fn page(&self, next: &str) -> Result<SliceList, PlatformError> {
        let mut path = String::from("/apis/discovery.k8s.io/v1/endpointslices");
        if !next.is_empty() {
            path.push_str("?continue=");
            path.push_str(&slices_format::encode_query(next));
        }
        let call = Call {
            method: Method::GET,
            path,
            body: Bytes::new(),
            timeout: PAGE_TIMEOUT,
            max_answer_bytes: MAX_PAGE_BYTES,
        };
        let unavailable = |reason: Arc<str>| PlatformError::Unavailable { reason };
        let answer = self.endpoint.call(call).await;
        let answer = answer.map_err(|e| unavailable(e.reason()))?;
        if !answer.status.is_success() {
            return Err(unavailable(format!("status {}", answer.status).into()));
        }
        SliceList::decode(&answer.body)
    }
}

#[async_trait]
impl Directory for SliceDirectory {
    async fn list(&self) -> Result<Listing, PlatformError> {
        let mut slices = Vec::new();
        let mut next = String::new();
        loop {
            let page = self.page(&next).await?;
            let empty = page.items.is_empty();
            slices.extend(page.items);
            next = page.metadata.next;
            if next.is_empty() {
                return Ok(slices_format::listing(&slices));
            }
            if empty || slices.len() > MAX_SLICES {
                let reason = "the list does not come to an end".into();
                return Err(PlatformError::Malformed { reason });
            }
        }
    }
}

/// Decodes one page of the list. Invalid entries are skipped.
///
/// # Errors
/// Fails if the page is not a list of slices.
pub fn read_listing(body: &[u8]) -> Result<Listing, PlatformError> {
    let page = SliceList::decode(body)?;
    Ok(slices_format::listing(&page.items))
}

/// Returns a socket address; `None` if `ip` is not an IP address.
pub(crate) fn socket_addr(ip: &str, port: u16) -> Option<SocketAddr> {
    Some(SocketAddr::new(ip.parse().ok()?, port))
}
