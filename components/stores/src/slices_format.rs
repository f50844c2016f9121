//! Decodes EndpointSlice lists (`discovery.k8s.io/v1`) into instances and targets.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use types::{Incarnation, Listing, Member, ServiceId, ServingState, Target};
use xxhash_rust::xxh3::xxh3_64;

use crate::{api::PlatformError, slices::socket_addr};

/// The label that holds the name of a slice's service.
const SERVICE_LABEL: &str = "kubernetes.io/service-name";
/// The service whose endpoints are celerystand instances.
const MEMBER_SERVICE: &str = "celerystand";
/// Name of the port on which instances accept connections of their peers, if a slice has several.
const PEER_PORT: &str = "peer";
/// Name of the port on which targets accept connections, if a slice has several.
const TARGET_PORT: &str = "http";

/// A page of the list. Slices, and the endpoints and ports in them, are kept as text and decoded one by one, so
/// that an invalid one does not hide the others: a decoder of the whole gives up at deep nesting and at
/// numbers that are too large.
#[derive(Debug, Deserialize)]
pub struct SliceList {
    /// The page's metadata.
    #[serde(default)]
    pub metadata: ListMetadata,
    /// The slices.
    pub items: Vec<Box<RawValue>>,
}

/// Metadata of a page.
#[derive(Debug, Default, Deserialize)]
pub struct ListMetadata {
    /// Token that requests the next page; empty on the last one.
    #[serde(default, rename = "continue")]
    pub next: String,
}

impl SliceList {
    /// Decodes a page.
    ///
    /// # Errors
    /// Fails if the page is not a list of slices.
    pub fn decode(body: &[u8]) -> Result<Self, PlatformError> {
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
    endpoints: Option<Vec<Box<RawValue>>>,
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
    #[serde(default, deserialize_with = "port_number")]
    port: Option<u16>,
}

/// A port's number; none if it is none that a process can listen on.
fn port_number<'de, D: Deserializer<'de>>(source: D) -> Result<Option<u16>, D::Error> {
    let text = Box::<RawValue>::deserialize(source)?;
    let number = serde_json::from_str(text.get()).ok();
    Ok(number.filter(|port| *port != 0))
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
    fn serving_state(&self) -> ServingState {
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
        socket_addr(self.addresses.first()?, port)
    }
}

impl Slice {
    /// Returns the port of this name, or else the first one.
    fn port(&self, name: &str) -> Option<u16> {
        let ports = self.ports.as_ref()?;
        let named = ports.iter().find(|p| p.name.as_deref() == Some(name));
        named.or(ports.first())?.port
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let all = self.endpoints.iter().flatten();
        all.filter_map(|e| serde_json::from_str(e.get()).ok())
            .collect()
    }
}

/// Converts slices to a listing. Invalid entries are skipped: other software writes the list, and
/// one bad entry must not remove all targets.
#[must_use]
pub fn listing(items: &[Box<RawValue>]) -> Listing {
    let mut members = MergedEntries::default();
    let mut targets = MergedEntries::default();
    let slices = items.iter();
    for slice in slices.filter_map(|slice| serde_json::from_str::<Slice>(slice.get()).ok()) {
        let Some(service) = slice.metadata.labels.get(SERVICE_LABEL) else {
            continue;
        };
        if &**service == MEMBER_SERVICE {
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

fn add_members(slice: &Slice, members: &mut MergedEntries<Member>) {
    let Some(port) = slice.port(PEER_PORT) else {
        return;
    };
    for endpoint in slice.endpoints() {
        let Some(addr) = endpoint.addr(port) else {
            continue;
        };
        let state = endpoint.serving_state();
        let member = Member {
            id: Arc::clone(&endpoint.target_ref.name),
            data_centre: endpoint.zone,
            addr,
            state,
        };
        members.put(&endpoint.target_ref.name, state, member);
    }
}

fn add_targets(slice: &Slice, service: &ServiceId, targets: &mut MergedEntries<Target>) {
    let Some(port) = slice.port(TARGET_PORT) else {
        return;
    };
    for endpoint in slice.endpoints() {
        let Some(addr) = endpoint.addr(port) else {
            continue;
        };
        let state = endpoint.serving_state();
        let target = Target {
            id: Arc::clone(&endpoint.target_ref.name),
            service: Arc::clone(service),
            incarnation: endpoint.incarnation(),
            data_centre: endpoint.zone,
            addr,
            state,
        };
        targets.put(&endpoint.target_ref.name, state, target);
    }
}

/// Entries without duplicates. An endpoint may be in two slices while the platform moves it. It is
/// leaving if one of them says so.
struct MergedEntries<T> {
    list: Vec<T>,
    index_by_id: HashMap<Arc<str>, usize>,
}

impl<T> Default for MergedEntries<T> {
    fn default() -> Self {
        Self {
            list: Vec::new(),
            index_by_id: HashMap::new(),
        }
    }
}

impl<T> MergedEntries<T> {
    fn put(&mut self, id: &Arc<str>, state: ServingState, entry: T) {
        match self.index_by_id.get(id) {
            None => {
                self.index_by_id.insert(Arc::clone(id), self.list.len());
                self.list.push(entry);
            }
            Some(index) if state == ServingState::Leaving => self.list[*index] = entry,
            Some(_) => {}
        }
    }
}

/// Percent-encodes a value for a query.
#[must_use]
pub fn encode_query(text: &str) -> String {
    let mut query = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~') {
            query.push(char::from(byte));
        } else {
            // Writing to a string never fails.
            let _ = write!(query, "%{byte:02X}");
        }
    }
    query
}
