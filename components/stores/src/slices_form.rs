//! Form of an EndpointSlice list (`discovery.k8s.io/v1`) and its meaning for us.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    net::SocketAddr,
    sync::Arc,
};

use serde::Deserialize;
use serde_json::Value;
use types::{Incarnation, Listing, Member, ServiceId, ServingState, Target};
use xxhash_rust::xxh3::xxh3_64;

use crate::{api::PlatformError, slices::address};

/// Label that names a slice's service.
const SERVICE_LABEL: &str = "kubernetes.io/service-name";
/// The service whose endpoints are celerystand instances.
const MEMBERS: &str = "celerystand";
/// Name of the port where instances listen for each other, if they list several.
const PEER_PORT: &str = "peer";
/// Name of the port where targets listen, if they list several.
const TARGET_PORT: &str = "http";

/// A page of the list. Slices are read one by one, so that one that makes no sense does not hide
/// the others.
#[derive(Debug, Deserialize)]
pub struct SliceList {
    /// About the page.
    #[serde(default)]
    pub metadata: ListMetadata,
    /// The slices.
    pub items: Vec<Value>,
}

/// About a page of the list.
#[derive(Debug, Default, Deserialize)]
pub struct ListMetadata {
    /// Where the next page begins; empty on the last.
    #[serde(default, rename = "continue")]
    pub next: String,
}

impl SliceList {
    /// Reads a page.
    ///
    /// # Errors
    /// Tells that it is not a list of slices.
    pub fn read(body: &[u8]) -> Result<Self, PlatformError> {
        serde_json::from_slice(body).map_err(|e| PlatformError::Malformed {
            reason: e.to_string().into(),
        })
    }
}

#[derive(Debug, Deserialize)]
struct Slice {
    #[serde(default)]
    metadata: Metadata,
    #[serde(default)]
    endpoints: Option<Vec<Value>>,
    #[serde(default)]
    ports: Option<Vec<Port>>,
}

#[derive(Debug, Default, Deserialize)]
struct Metadata {
    #[serde(default)]
    labels: BTreeMap<Arc<str>, Arc<str>>,
}

#[derive(Debug, Deserialize)]
struct Port {
    #[serde(default)]
    name: Option<Arc<str>>,
    #[serde(default)]
    port: Option<u16>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Endpoint {
    addresses: Vec<Arc<str>>,
    #[serde(default)]
    conditions: Option<Conditions>,
    target_ref: TargetRef,
    zone: Arc<str>,
}

#[derive(Debug, Default, Deserialize)]
struct Conditions {
    #[serde(default)]
    terminating: Option<bool>,
}

#[derive(Debug, Deserialize)]
struct TargetRef {
    name: Arc<str>,
    #[serde(default)]
    uid: Option<Arc<str>>,
}

impl Endpoint {
    fn standing(&self) -> ServingState {
        let conditions = self.conditions.as_ref();
        match conditions.and_then(|c| c.terminating) {
            Some(true) => ServingState::Leaving,
            _ => ServingState::Live,
        }
    }

    fn incarnation(&self) -> Incarnation {
        let uid = self.target_ref.uid.as_deref().unwrap_or_default();
        uid.parse().unwrap_or_else(|_| xxh3_64(uid.as_bytes()))
    }

    fn addr(&self, port: u16) -> Option<SocketAddr> {
        address(self.addresses.first()?, port)
    }
}

impl Slice {
    /// The port of this name, or the first one.
    fn port(&self, name: &str) -> Option<u16> {
        let ports = self.ports.as_ref()?;
        let named = ports.iter().find(|p| p.name.as_deref() == Some(name));
        named.or(ports.first())?.port
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let all = self.endpoints.iter().flatten();
        all.filter_map(|e| Endpoint::deserialize(e).ok()).collect()
    }
}

/// What slices say. An entry that makes no sense is passed over: the list is written by others,
/// and one bad entry must not take all targets away.
#[must_use]
pub fn listing(items: &[Value]) -> Listing {
    let mut members = Latest::default();
    let mut targets = Latest::default();
    for slice in items.iter().filter_map(|s| Slice::deserialize(s).ok()) {
        let Some(service) = slice.metadata.labels.get(SERVICE_LABEL) else {
            continue;
        };
        if &**service == MEMBERS {
            add_members(&slice, &mut members);
        } else {
            add_targets(&slice, service, &mut targets);
        }
    }
    Listing {
        members: members.list,
        targets: targets.list,
    }
}

fn add_members(slice: &Slice, members: &mut Latest<Member>) {
    let Some(port) = slice.port(PEER_PORT) else {
        return;
    };
    for endpoint in slice.endpoints() {
        let Some(addr) = endpoint.addr(port) else {
            continue;
        };
        let standing = endpoint.standing();
        let member = Member {
            id: Arc::clone(&endpoint.target_ref.name),
            data_centre: endpoint.zone,
            addr,
            state: standing,
        };
        members.put(&endpoint.target_ref.name, standing, member);
    }
}

fn add_targets(slice: &Slice, service: &ServiceId, targets: &mut Latest<Target>) {
    let Some(port) = slice.port(TARGET_PORT) else {
        return;
    };
    for endpoint in slice.endpoints() {
        let Some(addr) = endpoint.addr(port) else {
            continue;
        };
        let standing = endpoint.standing();
        let target = Target {
            id: Arc::clone(&endpoint.target_ref.name),
            service: Arc::clone(service),
            incarnation: endpoint.incarnation(),
            data_centre: endpoint.zone,
            addr,
            state: standing,
        };
        targets.put(&endpoint.target_ref.name, standing, target);
    }
}

/// Entries by name. An endpoint may stand in two slices while the platform moves it; if one of
/// them says that it is leaving, it is.
struct Latest<T> {
    list: Vec<T>,
    places: HashMap<Arc<str>, usize>,
}

impl<T> Default for Latest<T> {
    fn default() -> Self {
        Self {
            list: Vec::new(),
            places: HashMap::new(),
        }
    }
}

impl<T> Latest<T> {
    fn put(&mut self, id: &Arc<str>, standing: ServingState, entry: T) {
        match self.places.get(id) {
            None => {
                self.places.insert(Arc::clone(id), self.list.len());
                self.list.push(entry);
            }
            Some(place) if standing == ServingState::Leaving => self.list[*place] = entry,
            Some(_) => {}
        }
    }
}

/// Escapes a value of a query.
#[must_use]
pub fn escape_query(text: &str) -> String {
    let mut query = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~') {
            query.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _ = write!(query, "%{byte:02X}");
        }
    }
    query
}
