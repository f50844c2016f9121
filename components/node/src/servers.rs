//! The three addresses that an instance listens on.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use admin::{AdminApi, AdminParts};
use errors::{Context, Result};
use gateway::Gateway;
use net::{Handler, ServeLimits, Server};
use prometheus_client::registry::Registry;
use settings::Settings;

use crate::{dump::State, parts::Parts, peers::PeerServer};

/// Most open connections from peers, and from operators.
const INNER_CONNECTIONS: usize = 1024;

/// Listening servers, not running yet.
pub struct Servers {
    /// For callers.
    pub callers: Server,
    peers: Server,
    operators: Server,
}

impl Servers {
    /// Listens on all three addresses.
    ///
    /// # Errors
    /// Tells which address can't be listened on, and why.
    pub async fn bind(
        settings: &Settings,
        parts: &Parts,
        gateway: &Gateway,
        state: Arc<State>,
        registry: Registry,
    ) -> Result<Self> {
        let at = &settings.instance;
        let callers = ServeLimits {
            header_bytes: settings.limits.header_bytes,
            header_time: Duration::from_secs(settings.limits.sender_seconds),
            connections: settings.limits.connections,
        };
        let inner = ServeLimits {
            connections: INNER_CONNECTIONS,
            ..ServeLimits::default()
        };
        let api = AdminApi::new(AdminParts {
            instance: at.id.clone(),
            data_centre: at.data_centre.clone(),
            key_hashes: settings.admin.key_hashes.clone(),
            config: parts.config(),
            dump: Arc::clone(&state) as Arc<dyn admin::Dump>,
            readiness: state,
            registry: Arc::new(registry),
        });
        let peer_server = PeerServer::new(
            Arc::clone(&parts.core),
            parts.key.clone(),
            parts.config(),
            gateway.clone(),
        );
        Ok(Self {
            callers: listen("callers", at.listen, callers, Arc::new(gateway.clone())).await?,
            peers: listen("peers", at.peer, inner, Arc::new(peer_server)).await?,
            operators: listen("operators", at.admin, inner, Arc::new(api)).await?,
        })
    }

    /// Serves until stopped.
    pub fn run(self) {
        for server in [self.callers, self.peers, self.operators] {
            workers::spawn(server.run()).detach();
        }
    }
}

async fn listen(
    whom: &str,
    addr: SocketAddr,
    limits: ServeLimits,
    handler: Arc<dyn Handler>,
) -> Result<Server> {
    let server = Server::bind(addr, limits, handler).await;
    server.context(format!("listening for {whom} on {addr}"))
}
