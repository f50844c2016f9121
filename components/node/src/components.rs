//! Constructs the components of an instance and connects them.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use claims::{Claims, StoreClaims};
use config::{Config, ConfigUpdater, PeerConfig};
use errors::Result;
use events::Event as Log;
use gateway::{Gateway, GatewayParts, Metrics};
use net::{Budget, Client};
use policy::{
    Event, Policy,
    baseline::{FixedShare, LeastLoaded, LocalPolicy, RoundRobin},
};
use prometheus_client::registry::Registry;
use settings::{Settings, Strategy};
use smol::channel::{Receiver, bounded};
use stores::{CallBudget, DynamoTable, PacedTable, SliceDirectory, Table};
use targets::{
    Engine, HttpPlainService, OpenAiEngine, PausingEngine, PausingPlainService, PlainService,
    TargetPauses,
};
use timer::Timer;
use types::{Target, millis};
use wire::Key;

use crate::{
    admission::CoreAdmission,
    core::{ConfigHint, Core},
    directory::DirectoryWatcher,
    liveness::MemberLiveness,
    outbox::{Outbox, RefusedPeers},
    peers::PeerClient,
    quarantine::SharedQuarantine,
    reports::{LoadPoller, ReportScope},
    state::InstanceState,
    tasks,
};

/// Capacity of the channel for configuration hints.
const MAX_HINTS: usize = 64;
/// Number of instances among which the fixed-share baseline divides the capacity of targets.
const FIXED_SHARE_INSTANCES: u32 = 8;

/// Channels whose messages the background tasks pass to membership and configuration.
pub struct Inputs {
    refused_peers: RefusedPeers,
    hints: Receiver<ConfigHint>,
}

/// The components of one instance.
pub struct Components {
    /// Membership, policy and quarantine.
    pub core: Arc<Core>,
    /// The key that authenticates messages between instances.
    pub key: Key,
    /// The claims of idempotency keys.
    pub claims: Arc<StoreClaims>,
    config: Arc<ConfigUpdater>,
    table: Arc<PacedTable>,
    directory_watcher: Arc<DirectoryWatcher>,
    peers: Arc<PeerClient>,
    engine: Arc<dyn Engine>,
    plain: Arc<dyn PlainService>,
    /// The memory for all that is kept for callers, targets and other instances.
    memory: Budget,
}

impl Components {
    /// Constructs the components; no task is started.
    ///
    /// # Errors
    /// Fails if an address of the platform is invalid, and names it.
    pub fn new(settings: &Settings, me: &members::Identity) -> Result<(Self, Inputs)> {
        let timer = Timer::new();
        let memory = Budget::new(settings.limits.kept_bytes());
        let key = Key::new(&settings.peers.key);
        let client = Client::new().with_resets();
        let (core, inputs) = build_core(settings, me, timer, &key, &client);

        let platform = &settings.platform;
        let dynamo = DynamoTable::new(client.clone(), &platform.table, platform.token.clone())?;
        let directory =
            SliceDirectory::new(client.clone(), &platform.directory, platform.token.clone())?;
        let paced = PacedTable::new(Arc::new(dynamo), CallBudget::default(), timer);
        let table = Arc::new(paced);
        let store = Arc::clone(&table) as Arc<dyn Table>;

        let peers = PeerClient::new(Arc::clone(&core), key.clone(), client.clone())
            .with_memory(memory.clone());
        let peers = Arc::new(peers);
        let peer_config = Arc::clone(&peers) as Arc<dyn PeerConfig>;
        let updater = ConfigUpdater::new(me.id.clone(), Arc::clone(&store), peer_config, timer);
        let liveness = Arc::new(MemberLiveness::new(Arc::clone(&core)));
        let claims = StoreClaims::new(me.id.clone(), me.incarnation, store, liveness, timer);
        let config = Arc::clone(&updater) as Arc<dyn Config>;
        let directory_watcher =
            DirectoryWatcher::new(Arc::clone(&core), config, Arc::new(directory));
        let pauses = target_pauses(&core);
        let engine = Arc::new(OpenAiEngine::new(client.clone(), timer).with_memory(memory.clone()));
        let plain = Arc::new(HttpPlainService::new(client, timer).with_memory(memory.clone()));
        let components = Self {
            core,
            key,
            claims,
            config: updater,
            table,
            directory_watcher: Arc::new(directory_watcher),
            peers,
            engine: Arc::new(PausingEngine::new(engine, pauses.clone())),
            plain: Arc::new(PausingPlainService::new(plain, pauses)),
            memory,
        };
        Ok((components, inputs))
    }

    /// Returns the configuration.
    pub fn config(&self) -> Arc<dyn Config> {
        Arc::clone(&self.config) as Arc<dyn Config>
    }

    /// Returns the state that operators can read. `draining` is set when the shutdown begins.
    pub fn state(&self, draining: &Arc<AtomicBool>) -> Arc<InstanceState> {
        Arc::new(InstanceState::new(
            Arc::clone(&self.core),
            Arc::clone(&self.config),
            Arc::clone(&self.directory_watcher),
            Arc::clone(&self.claims),
            Arc::clone(&self.table),
            Arc::clone(draining),
        ))
    }

    /// Creates the gateway, which serves callers, and registers its metrics in the registry.
    pub fn gateway(
        &self,
        settings: &Settings,
        state: &Arc<InstanceState>,
        registry: &mut Registry,
    ) -> Gateway {
        let state = Arc::clone(state);
        let admission = CoreAdmission::new(
            Arc::clone(&self.core),
            Arc::new(move || state.accepts_requests()),
        );
        let metrics = Metrics::new();
        metrics.register(registry);
        let parts = GatewayParts {
            admission: Arc::new(admission),
            engine: Arc::clone(&self.engine),
            plain: Arc::clone(&self.plain),
            claims: Arc::clone(&self.claims) as Arc<dyn Claims>,
            quarantine: Arc::new(SharedQuarantine::new(Arc::clone(&self.core))),
            config: self.config(),
            timer: self.core.timer,
            limits: settings.limits.clone(),
            memory: self.memory.clone(),
            instance: self.core.me.clone(),
            metrics,
            stream_key: settings.peers.key.clone(),
        };
        Gateway::with_takeover(parts, Arc::clone(&self.peers) as Arc<dyn gateway::Takeover>)
    }

    /// Starts the background tasks.
    pub fn spawn_tasks(self, settings: &Settings, inputs: Inputs) {
        let config = self.config();
        let core = self.core;
        let poller = LoadPoller::new(
            Arc::clone(&core),
            self.engine,
            self.plain,
            report_scope(settings),
        );
        let heartbeat_period = settings.peers.heartbeat();
        workers::spawn(Arc::new(poller).run()).detach();
        workers::spawn(self.config.run()).detach();
        workers::spawn(self.claims.run()).detach();
        workers::spawn(Arc::clone(&self.directory_watcher).poll_directory()).detach();
        workers::spawn(self.directory_watcher.watch_view()).detach();
        workers::spawn(tasks::tick(Arc::clone(&core))).detach();
        workers::spawn(tasks::send_heartbeats(
            Arc::clone(&core),
            Arc::clone(&config),
            heartbeat_period,
        ))
        .detach();
        workers::spawn(tasks::watch_refused_peers(core, inputs.refused_peers)).detach();
        workers::spawn(tasks::forward_hints(config, inputs.hints)).detach();
    }
}

fn build_core(
    settings: &Settings,
    me: &members::Identity,
    timer: Timer,
    key: &Key,
    client: &Client,
) -> (Arc<Core>, Inputs) {
    let id = me.id.clone();
    let (outbox, refused_peers) =
        Outbox::new(id, me.incarnation, key.clone(), client.clone(), timer);
    let (hint_tx, hints) = bounded(MAX_HINTS);
    let core = Core::new(timer, me, build_policy(settings, me), outbox, hint_tx);
    (
        Arc::new(core),
        Inputs {
            refused_peers,
            hints,
        },
    )
}

/// Creates the record of the targets' pauses, of which the policy is told.
fn target_pauses(core: &Arc<Core>) -> TargetPauses {
    let policy = Arc::clone(core);
    let listener = move |target: &Target, time: Duration| {
        events::emit(&Log::TargetPaused {
            target: target.id.clone(),
            pause_ms: millis(time),
        });
        policy.handle_event(Event::TargetPaused {
            target: target.id.clone(),
            incarnation: target.incarnation,
            time,
        });
    };
    TargetPauses::new(core.timer, Arc::new(listener))
}

/// Returns the targets whose load reports are needed: baselines decide by the reports of all
/// targets, an owner by those of its own shards.
const fn report_scope(settings: &Settings) -> ReportScope {
    match settings.instance.strategy {
        Strategy::Owner | Strategy::Oracle => ReportScope::Owned,
        Strategy::RoundRobin | Strategy::LeastLoaded | Strategy::FixedShare => ReportScope::All,
    }
}

fn build_policy(settings: &Settings, me: &members::Identity) -> Box<dyn Policy> {
    match settings.instance.strategy {
        Strategy::Owner | Strategy::Oracle => {
            let identity = policy::Identity {
                id: me.id.clone(),
                data_centre: me.data_centre.clone(),
                incarnation: me.incarnation,
            };
            let instance = policy::Instance::new(identity, me.incarnation);
            if settings.instance.strategy == Strategy::Oracle {
                Box::new(instance.with_known_lengths())
            } else {
                Box::new(instance)
            }
        }
        Strategy::RoundRobin => Box::new(LocalPolicy::new(Box::new(RoundRobin::default()))),
        Strategy::LeastLoaded => Box::new(LocalPolicy::new(Box::new(LeastLoaded))),
        Strategy::FixedShare => Box::new(LocalPolicy::new(Box::new(FixedShare {
            instances: FIXED_SHARE_INSTANCES,
        }))),
    }
}
