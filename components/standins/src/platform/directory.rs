//! The directory: a Kubernetes EndpointSlice list with one slice for each endpoint. Past versions
//! are retained, so that the directory can answer with an outdated list.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use serde::Serialize;

use crate::control::DirectoryEntry;

/// How long past versions of the list are retained.
const RETENTION: Duration = Duration::from_secs(120);

/// The current list and its past versions.
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
    /// Adds an entry or replaces the one of the same name.
    pub fn register(&mut self, now: Duration, entry: DirectoryEntry) {
        self.update(now, |entries| {
            entries.retain(|old| old.name != entry.name);
            entries.push(entry);
        });
    }

    /// Removes an entry.
    pub fn remove(&mut self, now: Duration, name: &str) {
        self.update(now, |entries| entries.retain(|old| old.name != name));
    }

    /// The list as of the time `at`; empty if no version is that old.
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
        // The oldest version retained must be older than the longest lag.
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

/// Body of the response with the list.
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
