//! The parts of an instance, and how they are put together.

use std::sync::{Arc, atomic::AtomicBool};

use claims::{Claims, StoreClaims};
use config::{Config, Keeper, PeerConfig};
use errors::Result;
use gateway::{Gateway, GatewayParts, Metrics};
use net::Client;
use policy::{
    Policy,
    baseline::{FixedShare, LeastLoaded, LocalPolicy, RoundRobin},
};
use prometheus_client::registry::Registry;
use settings::{Settings, Strategy};
use smol::channel::{Receiver, bounded};
use stores::{CallBudget, DynamoTable, PacedTable, SliceDirectory, Table};
use targets::{Engine, HttpPlainService, OpenAiEngine, PlainService};
use timer::Timer;
use wire::Key;

use crate::{
    admitted::Door,
    core::{ConfigHint, Core},
    directory::Watch,
    dump::State,
    liveness::Heard,
    outbox::{Outbox, Refusals},
    peers::PeerClient,
    quarantine::Suspects,
    reports::{Reports, Scope},
    ticks,
};

/// Configuration hints that may wait.
const HINTS: usize = 64;
/// Instances that share the targets under the fixed-share baseline.
const SHARING: u32 = 8;

/// What the parts bring to membership and configuration from outside.
pub struct Inputs {
    refusals: Refusals,
    hints: Receiver<ConfigHint>,
}

/// The parts of one instance.
pub struct Parts {
    /// Membership and decisions.
    pub core: Arc<Core>,
    /// Key between instances.
    pub key: Key,
    /// Idempotency keys.
    pub claims: Arc<StoreClaims>,
    keeper: Arc<Keeper>,
    table: Arc<PacedTable>,
    watch: Arc<Watch>,
    peers: Arc<PeerClient>,
    engine: Arc<dyn Engine>,
    plain: Arc<dyn PlainService>,
}

impl Parts {
    /// Puts the parts together; nothing runs yet.
    ///
    /// # Errors
    /// Tells which of the platform's addresses is wrong.
    pub fn new(settings: &Settings, me: &members::Identity) -> Result<(Self, Inputs)> {
        let timer = Timer::new();
        let key = Key::new(&settings.peers.key);
        let client = Client::new();
        let (core, inputs) = core(settings, me, timer, &key, &client);

        let at = &settings.platform;
        let dynamo = DynamoTable::new(client.clone(), &at.table, at.token.clone())?;
        let directory = SliceDirectory::new(client.clone(), &at.directory, at.token.clone())?;
        let paced = PacedTable::new(Arc::new(dynamo), CallBudget::default(), timer);
        let table = Arc::new(paced);
        let shared = Arc::clone(&table) as Arc<dyn Table>;

        let peers = PeerClient::new(Arc::clone(&core), key.clone(), client.clone());
        let peers = Arc::new(peers);
        let asked = Arc::clone(&peers) as Arc<dyn PeerConfig>;
        let keeper = Keeper::new(me.id.clone(), Arc::clone(&shared), asked, timer);
        let heard = Arc::new(Heard::new(Arc::clone(&core)));
        let claims = StoreClaims::new(me.id.clone(), me.incarnation, shared, heard, timer);
        let config = Arc::clone(&keeper) as Arc<dyn Config>;
        let watch = Watch::new(Arc::clone(&core), config, Arc::new(directory));
        let parts = Self {
            core,
            key,
            claims,
            keeper,
            table,
            watch: Arc::new(watch),
            peers,
            engine: Arc::new(OpenAiEngine::new(client.clone(), timer)),
            plain: Arc::new(HttpPlainService::new(client, timer)),
        };
        Ok((parts, inputs))
    }

    /// The configuration.
    pub fn config(&self) -> Arc<dyn Config> {
        Arc::clone(&self.keeper) as Arc<dyn Config>
    }

    /// What operators may see.
    pub fn state(&self, draining: &Arc<AtomicBool>) -> Arc<State> {
        Arc::new(State::new(
            Arc::clone(&self.core),
            Arc::clone(&self.keeper),
            Arc::clone(&self.watch),
            Arc::clone(&self.claims),
            Arc::clone(&self.table),
            Arc::clone(draining),
        ))
    }

    /// The callers' side; its metrics go into the registry.
    pub fn gateway(
        &self,
        settings: &Settings,
        state: &Arc<State>,
        registry: &mut Registry,
    ) -> Gateway {
        let serving = Arc::clone(state);
        let door = Door::new(Arc::clone(&self.core), Arc::new(move || serving.serves()));
        let metrics = Metrics::new();
        metrics.register(registry);
        let parts = GatewayParts {
            admission: Arc::new(door),
            engine: Arc::clone(&self.engine),
            plain: Arc::clone(&self.plain),
            claims: Arc::clone(&self.claims) as Arc<dyn Claims>,
            quarantine: Arc::new(Suspects::new(Arc::clone(&self.core))),
            config: self.config(),
            timer: self.core.timer,
            limits: settings.limits.clone(),
            instance: self.core.me.clone(),
            metrics,
            stream_key: settings.peers.key.clone(),
        };
        Gateway::with_takeover(parts, Arc::clone(&self.peers) as Arc<dyn gateway::Takeover>)
    }

    /// Starts everything that goes on by itself.
    pub fn run(self, settings: &Settings, inputs: Inputs) {
        let config = self.config();
        let core = self.core;
        let reports = Reports::new(Arc::clone(&core), self.engine, self.plain, scope(settings));
        let beat = settings.peers.heartbeat();
        workers::spawn(Arc::new(reports).run()).detach();
        workers::spawn(self.keeper.run()).detach();
        workers::spawn(self.claims.run()).detach();
        workers::spawn(Arc::clone(&self.watch).read_lists()).detach();
        workers::spawn(self.watch.follow()).detach();
        workers::spawn(ticks::tick(Arc::clone(&core))).detach();
        workers::spawn(ticks::beat(Arc::clone(&core), Arc::clone(&config), beat)).detach();
        workers::spawn(ticks::watch_refusals(core, inputs.refusals)).detach();
        workers::spawn(ticks::follow_hints(config, inputs.hints)).detach();
    }
}

fn core(
    settings: &Settings,
    me: &members::Identity,
    timer: Timer,
    key: &Key,
    client: &Client,
) -> (Arc<Core>, Inputs) {
    let id = me.id.clone();
    let (outbox, refusals) = Outbox::new(id, me.incarnation, key.clone(), client.clone(), timer);
    let (hint_tx, hints) = bounded(HINTS);
    let core = Core::new(timer, me, decider(settings, me), outbox, hint_tx);
    (Arc::new(core), Inputs { refusals, hints })
}

/// Baselines place by all targets' reports, owners by those of their own.
const fn scope(settings: &Settings) -> Scope {
    match settings.instance.strategy {
        Strategy::Owner | Strategy::Oracle => Scope::Owned,
        Strategy::RoundRobin | Strategy::LeastLoaded | Strategy::FixedShare => Scope::All,
    }
}

fn decider(settings: &Settings, me: &members::Identity) -> Box<dyn Policy> {
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
            instances: SHARING,
        }))),
    }
}
