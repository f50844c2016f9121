//! The servers of an instance, on an address each for callers, peers and operators.

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

use crate::{components::Components, peers::PeerServer, state::InstanceState};

/// Maximum number of open connections from peers, and the same for those from operators.
const MAX_INTERNAL_CONNECTIONS: usize = 1024;

/// Servers that listen but do not accept connections yet.
pub struct Servers {
    callers: Server,
    peers: Server,
    operators: Server,
}

/// Handles of the running servers.
pub struct ServerHandles {
    /// The server for callers.
    pub callers: ServerHandle,
    /// The server for other instances.
    pub peers: ServerHandle,
    /// The server for operators.
    pub operators: ServerHandle,
}

/// Handle of a running server, which is stopped at once if the handle is dropped.
pub struct ServerHandle {
    retire: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    task: Task<()>,
}

impl ServerHandle {
    fn new(server: Server) -> Self {
        Self {
            retire: server.retire(),
            stop: server.stop(),
            open: server.open_connections(),
            task: workers::spawn(server.run()),
        }
    }

    /// From now on, asks the clients to close their connections after the next answer.
    pub fn retire(&self) {
        self.retire.store(true, Ordering::Release);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Stops accepting connections, and waits until all open ones are closed.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::Release);
        self.task.await;
    }
}

impl Servers {
    /// Listens on all three addresses.
    ///
    /// # Errors
    /// Fails if an address can't be listened on, and names it.
    pub async fn bind(
        settings: &Settings,
        components: &Components,
        gateway: &Gateway,
        state: Arc<InstanceState>,
        registry: Registry,
    ) -> Result<Self> {
        let at = &settings.instance;
        let callers = ServeLimits {
            header_bytes: settings.limits.header_bytes,
            header_timeout: Duration::from_secs(settings.limits.sender_seconds),
            connections: settings.limits.connections,
        };
        let internal = ServeLimits {
            connections: MAX_INTERNAL_CONNECTIONS,
            ..ServeLimits::default()
        };
        let api = AdminApi::new(AdminParts {
            instance: at.id.clone(),
            data_centre: at.data_centre.clone(),
            key_hashes: settings.admin.key_hashes.clone(),
            config: components.config(),
            dump: Arc::clone(&state) as Arc<dyn admin::Dump>,
            readiness: state,
            registry: Arc::new(registry),
        });
        let peer_server = PeerServer::new(
            Arc::clone(&components.core),
            components.key.clone(),
            components.config(),
            gateway.clone(),
        );
        Ok(Self {
            callers: listen("callers", at.listen, callers, Arc::new(gateway.clone()))
                .await?
                .with_memory(gateway.memory().clone()),
            peers: listen("peers", at.peer, internal, Arc::new(peer_server)).await?,
            operators: listen("operators", at.admin, internal, Arc::new(api)).await?,
        })
    }

    /// Starts serving, and returns the handles.
    pub fn run(self) -> ServerHandles {
        ServerHandles {
            callers: ServerHandle::new(self.callers),
            peers: ServerHandle::new(self.peers),
            operators: ServerHandle::new(self.operators),
        }
    }
}

async fn listen(
    clients: &str,
    addr: SocketAddr,
    limits: ServeLimits,
    handler: Arc<dyn Handler>,
) -> Result<Server> {
    let server = Server::bind(addr, limits, handler).await;
    server.context(format!("listening for {clients} on {addr}"))
}
