//! Background tasks: ticks, heartbeats, refused connections and configuration hints.

use std::sync::Arc;

use config::Config;
use members::Input;
use policy::Event;
use smol::channel::Receiver;
use std::time::Duration;

use crate::{
    core::{ConfigHint, Core, TICK_PERIOD},
    outbox::RefusedPeers,
};

/// Ticks membership and the policy periodically.
pub async fn tick(core: Arc<Core>) {
    let mut ticks = core.timer.every(TICK_PERIOD);
    loop {
        ticks.next().await;
        core.handle_member_input(Input::Tick);
        core.handle_event(Event::Tick);
    }
}

/// Sends heartbeats to all peers periodically.
pub async fn send_heartbeats(core: Arc<Core>, config: Arc<dyn Config>, period: Duration) {
    let mut ticks = core.timer.every(period);
    loop {
        ticks.next().await;
        let version = config.current().map_or(0, |c| c.snapshot.version);
        core.send_heartbeats(version);
    }
}

/// Reports peers that refuse connections to membership.
pub async fn watch_refused_peers(core: Arc<Core>, refused_peers: RefusedPeers) {
    while let Ok(peer) = refused_peers.recv().await {
        core.handle_member_input(Input::ConnectionRefused { peer });
    }
}

/// Passes the configuration versions of peers to the configuration, which fetches newer ones.
pub async fn forward_hints(config: Arc<dyn Config>, hints: Receiver<ConfigHint>) {
    while let Ok(hint) = hints.recv().await {
        config.receive_version(&hint.peer, hint.version).await;
    }
}
