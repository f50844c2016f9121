//! Subscriptions to the timer: ticks, heartbeats, hints about the configuration.

use std::sync::Arc;

use config::Config;
use members::Input;
use policy::Event;
use smol::channel::Receiver;
use std::time::Duration;

use crate::{
    core::{ConfigHint, Core, TICK},
    outbox::Refusals,
};

/// Ticks membership and decisions.
pub async fn tick(core: Arc<Core>) {
    let mut ticks = core.timer.every(TICK);
    loop {
        ticks.next().await;
        core.member(Input::Tick);
        core.decide(Event::Tick);
    }
}

/// Sends heartbeats.
pub async fn beat(core: Arc<Core>, config: Arc<dyn Config>, period: Duration) {
    let mut ticks = core.timer.every(period);
    loop {
        ticks.next().await;
        let version = config.current().map_or(0, |c| c.snapshot.version);
        core.send_heartbeats(version);
    }
}

/// Tells membership about peers whose address refuses connections.
pub async fn watch_refusals(core: Arc<Core>, refusals: Refusals) {
    while let Ok(peer) = refusals.recv().await {
        core.member(Input::ConnectionRefused { peer });
    }
}

/// Passes peers' configuration versions on.
pub async fn follow_hints(config: Arc<dyn Config>, hints: Receiver<ConfigHint>) {
    while let Ok(hint) = hints.recv().await {
        config.heard(&hint.peer, hint.version).await;
    }
}
