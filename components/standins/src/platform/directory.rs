//! The directory: Kubernetes' EndpointSlice list, one slice an endpoint, and its past.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use serde::Serialize;

use crate::control::DirectoryEntry;

/// How far back the list is kept.
const RETENTION: Duration = Duration::from_secs(120);

/// The list now and as it was.
#[derive(Default)]
pub struct Directory {
    versions: VecDeque<Version>,
}

#[derive(Clone)]
struct Version {
    since: Duration,
    entries: Vec<DirectoryEntry>,
}

impl Directory {
    /// Adds or changes an entry.
    pub fn register(&mut self, now: Duration, entry: DirectoryEntry) {
        self.update(now, |entries| {
            entries.retain(|old| old.name != entry.name);
            entries.push(entry);
        });
    }

    /// Takes an entry out.
    pub fn remove(&mut self, now: Duration, name: &str) {
        self.update(now, |entries| entries.retain(|old| old.name != name));
    }

    /// The list as it was at a time.
    #[must_use]
    pub fn slices(&self, at: Duration) -> SliceList {
        let version = self.versions.iter().rev().find(|v| v.since <= at);
        let entries = version.map(|v| v.entries.as_slice()).unwrap_or_default();
        SliceList {
            api_version: "discovery.k8s.io/v1",
            kind: "EndpointSliceList",
            items: entries.iter().filter_map(slice).collect(),
        }
    }

    fn update(&mut self, now: Duration, edit: impl FnOnce(&mut Vec<DirectoryEntry>)) {
        let mut entries = match self.versions.back() {
            Some(version) => version.entries.clone(),
            None => Vec::new(),
        };
        edit(&mut entries);
        self.versions.push_back(Version {
            since: now,
            entries,
        });
        // The oldest version kept must still be older than the longest lag.
        while self
            .versions
            .get(1)
            .is_some_and(|v| v.since + RETENTION < now)
        {
            self.versions.pop_front();
        }
    }
}

fn slice(entry: &DirectoryEntry) -> Option<Slice> {
    let addr: SocketAddr = entry.addr.parse().ok()?;
    Some(Slice {
        metadata: Metadata {
            name: format!("{}-{}", entry.service, entry.name),
            labels: Labels {
                service: entry.service.clone(),
            },
        },
        address_type: "IPv4",
        ports: [Port { port: addr.port() }],
        endpoints: [Endpoint {
            addresses: [addr.ip().to_string()],
            conditions: Conditions {
                ready: !entry.leaving,
                serving: true,
                terminating: entry.leaving,
            },
            zone: entry.zone.clone(),
            target_ref: TargetRef {
                kind: "Pod",
                name: entry.name.clone(),
                uid: entry.incarnation.to_string(),
            },
        }],
    })
}

/// The list on the wire.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SliceList {
    api_version: &'static str,
    kind: &'static str,
    items: Vec<Slice>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Slice {
    metadata: Metadata,
    address_type: &'static str,
    ports: [Port; 1],
    endpoints: [Endpoint; 1],
}

#[derive(Serialize)]
struct Metadata {
    name: String,
    labels: Labels,
}

#[derive(Serialize)]
struct Labels {
    #[serde(rename = "kubernetes.io/service-name")]
    service: String,
}

#[derive(Serialize)]
struct Port {
    port: u16,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Endpoint {
    addresses: [String; 1],
    conditions: Conditions,
    zone: String,
    target_ref: TargetRef,
}

#[derive(Serialize)]
struct Conditions {
    ready: bool,
    serving: bool,
    terminating: bool,
}

#[derive(Serialize)]
struct TargetRef {
    kind: &'static str,
    name: String,
    uid: String,
}
