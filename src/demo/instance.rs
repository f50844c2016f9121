//! Addresses, settings and configuration tree of the demonstration's instance.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
};

use admin::{auth::hash_key, message::Document};
use settings::{Admin, Instance, Limits, Log, Peers, Platform, Settings, Strategy};
use tree::{Knobs, Node, NodePath};
use types::{Class, ServiceKind};

use crate::demo::{CALLER_KEY, DATA_CENTRE, INSTANCE, MODEL, OPERATOR_KEY, PLAIN};

/// Preferred port for callers.
const LISTEN_PORT: u16 = 8080;
/// Preferred port for operators; the default of the commands.
const ADMIN_PORT: u16 = 9090;
/// Preferred port for peers.
const PEER_PORT: u16 = 7070;
/// Number of worker threads.
const WORKERS: usize = 2;

/// The addresses on which the instance listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceAddrs {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
}

impl InstanceAddrs {
    /// Finds three free addresses on this machine, with the preferred ports if these are free.
    ///
    /// # Errors
    /// The system has no free port.
    pub fn allocate() -> io::Result<Self> {
        // All three stay bound until the last is found, so that no port is returned twice.
        let callers = bind(LISTEN_PORT)?;
        let operators = bind(ADMIN_PORT)?;
        let peers = bind(PEER_PORT)?;
        Ok(Self {
            listen: callers.local_addr()?,
            admin: operators.local_addr()?,
            peer: peers.local_addr()?,
        })
    }

    /// Returns the settings of the instance on the platform at this address.
    #[must_use]
    pub fn settings(&self, platform: SocketAddr) -> Settings {
        let platform: Arc<str> = format!("http://{platform}").into();
        Settings {
            instance: Instance {
                id: INSTANCE.into(),
                data_centre: DATA_CENTRE.into(),
                listen: self.listen,
                admin: self.admin,
                peer: self.peer,
                workers: Some(WORKERS),
                strategy: Strategy::Owner,
            },
            platform: Platform {
                table: Arc::clone(&platform),
                objects: Arc::clone(&platform),
                directory: platform,
                token: None,
            },
            peers: Peers {
                key: "the key between peers".into(),
                heartbeat_ms: 200,
            },
            admin: Admin {
                key_hashes: vec![hash_key(OPERATOR_KEY).into()],
            },
            limits: Limits {
                drain_grace_seconds: 0,
                ..Limits::default()
            },
            log: Log::default(),
        }
    }
}

/// Binds the port, or any free one if the port is taken.
fn bind(port: u16) -> io::Result<TcpListener> {
    let preferred = TcpListener::bind((Ipv4Addr::LOCALHOST, port));
    preferred.or_else(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
}

/// Returns the configuration tree: one data centre, a model, a plain service and a workspace.
#[must_use]
pub fn tree() -> Document {
    let service = |kind| Node {
        kind: Some(kind),
        ..Node::default()
    };
    let lookups = Node {
        method: Some("GET".into()),
        path: Some("/orders".into()),
        knobs: Knobs {
            class: Some(Class::Urgent),
            idempotent: Some(true),
            ..Knobs::default()
        },
        ..Node::default()
    };
    let purchases = Node {
        method: Some("POST".into()),
        path: Some("/orders".into()),
        ..Node::default()
    };
    let workspace = Node {
        key_hashes: vec![hash_key(CALLER_KEY).into()],
        ..Node::default()
    };
    let nodes: BTreeMap<NodePath, Node> = [
        ("/".to_owned(), Node::default()),
        (format!("/data-centres/{DATA_CENTRE}"), Node::default()),
        (format!("/services/{MODEL}"), service(ServiceKind::Model)),
        (format!("/services/{PLAIN}"), service(ServiceKind::Plain)),
        (format!("/services/{PLAIN}/routes/lookups"), lookups),
        (format!("/services/{PLAIN}/routes/purchases"), purchases),
        ("/workspaces/workshop".to_owned(), workspace),
    ]
    .into_iter()
    .map(|(path, node)| (path.into(), node))
    .collect();
    Document {
        version: None,
        nodes,
    }
}
