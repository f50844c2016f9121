//! The list of instances and targets: Kubernetes EndpointSlices.

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
    slices_form::{self, SliceList},
};

/// Time for one page of the list.
const LIST_TIME: Duration = Duration::from_secs(3);
/// Most bytes of one page.
const LIST_LIMIT: usize = 32 * 1024 * 1024;
/// Most slices on all pages together.
const SLICES_LIMIT: usize = 200_000;

/// A client of the platform's list.
pub struct SliceDirectory {
    endpoint: Endpoint,
}

impl SliceDirectory {
    /// Names the service, `http://IP:PORT[/path]`, and the bearer token it wants.
    ///
    /// # Errors
    /// Tells what is wrong with the address or the token.
    pub fn new(client: Client, base: &str, token: Option<Arc<str>>) -> Result<Self, Failure> {
        let endpoint = Endpoint::new(client, base, token)?;
        Ok(Self { endpoint })
    }

    async fn page(&self, next: &str) -> Result<SliceList, PlatformError> {
        let mut path = String::from("/apis/discovery.k8s.io/v1/endpointslices");
        if !next.is_empty() {
            path.push_str("?continue=");
            path.push_str(&slices_form::escape_query(next));
        }
        let call = Call {
            method: Method::GET,
            path,
            body: Bytes::new(),
            within: LIST_TIME,
            limit: LIST_LIMIT,
        };
        let unavailable = |reason: Arc<str>| PlatformError::Unavailable { reason };
        let answer = self.endpoint.call(call).await;
        let answer = answer.map_err(|e| unavailable(e.reason()))?;
        if !answer.status.is_success() {
            return Err(unavailable(format!("status {}", answer.status).into()));
        }
        SliceList::read(&answer.body)
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
                return Ok(slices_form::listing(&slices));
            }
            if empty || slices.len() > SLICES_LIMIT {
                let reason = "the list does not come to an end".into();
                return Err(PlatformError::Malformed { reason });
            }
        }
    }
}

/// Reads one page of the list as the platform writes it.
///
/// # Errors
/// Tells that it is not a list of slices. An entry that makes no sense is passed over.
pub fn read_listing(body: &[u8]) -> Result<Listing, PlatformError> {
    let page = SliceList::read(body)?;
    Ok(slices_form::listing(&page.items))
}

/// An address from an IP number and a port; `None` if the text is no IP number.
pub(crate) fn address(ip: &str, port: u16) -> Option<SocketAddr> {
    Some(SocketAddr::new(ip.parse().ok()?, port))
}
