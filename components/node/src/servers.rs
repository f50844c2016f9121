//! The three addresses that an instance listens on.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use admin::{AdminApi, AdminParts};
use errors::{Context, Result};
use gateway::Gateway;
use net::{Handler, ServeLimits, Server};
use prometheus_client::registry::Registry;
use settings::Settings;
use smol::Task;

use crate::{dump::State, parts::Parts, peers::PeerServer};

/// Most open connections from peers, and from operators.
const INNER_CONNECTIONS: usize = 1024;

/// Listening servers, not running yet.
pub struct Servers {
    callers: Server,
    peers: Server,
    operators: Server,
}

/// Servers that run.
pub struct Serving {
    /// For callers.
    pub callers: Running,
    /// For other instances.
    pub peers: Running,
    /// For operators.
    pub operators: Running,
}

/// One server that runs; it ends if this is dropped.
pub struct Running {
    retire: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    task: Task<()>,
}

impl Running {
    fn new(server: Server) -> Self {
        Self {
            retire: server.retire(),
            stop: server.stop(),
            open: server.open(),
            task: workers::spawn(server.run()),
        }
    }

    /// Asks the other side of each connection to close it after the next answer.
    pub fn retire(&self) {
        self.retire.store(true, Ordering::Release);
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Takes no further connections, and waits until each one that was taken has ended.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::Release);
        self.task.await;
    }
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
    pub fn run(self) -> Serving {
        Serving {
            callers: Running::new(self.callers),
            peers: Running::new(self.peers),
            operators: Running::new(self.operators),
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
