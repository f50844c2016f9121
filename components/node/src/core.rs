//! The shared tables: membership and decisions, and what their answers lead to.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use events::Event as Log;
use members::{Change, Input, Membership, timeouts::PAUSE_THRESHOLD};
use parking_lot::Mutex;
use policy::{Action, DispatchPermit, Event, Policy, RequestId, ShardRole, View};
use quarantine::QuarantineState;
use smol::channel::{Receiver, Sender, bounded};
use timer::{PauseDetector, Timer};
use types::{Incarnation, InstanceId, Moment, Refusal, Shard};
use wire::{Heartbeat, Message};

use crate::outbox::Outbox;

/// What a waiting request is told.
pub type Verdict = Result<DispatchPermit, Refusal>;

/// A request's ends of the channels to the decisions.
struct Waiting {
    verdict: Sender<Verdict>,
    pull_back: Sender<()>,
}

/// A request's own ends.
pub struct Waiter {
    /// The request's number.
    pub id: RequestId,
    /// Brings the permit or the refusal.
    pub verdict: Receiver<Verdict>,
    /// Brings a word when the permit is pulled back.
    pub pull_back: Receiver<()>,
}

/// A peer that has another configuration version.
pub struct ConfigHint {
    /// The peer.
    pub peer: InstanceId,
    /// Its version.
    pub version: u64,
}

/// The shared tables of one instance.
pub struct Core {
    /// The clock.
    pub timer: Timer,
    /// Who this instance is.
    pub me: InstanceId,
    /// Which life of it this is.
    pub incarnation: Incarnation,
    members: Mutex<Membership>,
    policy: Mutex<Box<dyn Policy>>,
    waiting: Mutex<HashMap<RequestId, Waiting>>,
    pauses: Mutex<PauseDetector>,
    view: Mutex<Arc<View>>,
    /// Requests that crash targets; held alone.
    pub(crate) quarantine: Mutex<QuarantineState>,
    /// Shards whose ownership was logged.
    owned: Mutex<BTreeSet<Shard>>,
    outbox: Outbox,
    config_hints: Sender<ConfigHint>,
    next_request: AtomicU64,
}

impl Core {
    /// Puts the tables together. Peers' configuration versions go to `config_hints`.
    #[must_use]
    pub fn new(
        timer: Timer,
        me: &members::Identity,
        policy: Box<dyn Policy>,
        outbox: Outbox,
        config_hints: Sender<ConfigHint>,
    ) -> Self {
        let now = timer.now();
        Self {
            timer,
            me: me.id.clone(),
            incarnation: me.incarnation,
            members: Mutex::new(Membership::new(now, me.clone())),
            policy: Mutex::new(policy),
            waiting: Mutex::default(),
            pauses: Mutex::new(PauseDetector::new(now, PAUSE_THRESHOLD)),
            view: Mutex::default(),
            quarantine: Mutex::default(),
            owned: Mutex::default(),
            outbox,
            config_hints,
            next_request: AtomicU64::new(1),
        }
    }

    /// Feeds one event to the decisions and carries out what they say.
    pub fn decide(&self, event: Event) {
        self.check_pause();
        self.feed(event);
    }

    /// Feeds one input to membership, and what follows from it to the decisions.
    pub fn member(&self, input: Input) {
        self.check_pause();
        self.feed_members(input);
    }

    /// Takes one message of a peer.
    pub fn receive(&self, from: &InstanceId, incarnation: Incarnation, message: Message) {
        self.check_pause();
        match &message {
            Message::Heartbeat(heartbeat) => {
                self.answer_mark(from, heartbeat.quarantine);
                let heartbeat = heartbeat.clone();
                self.feed_members(Input::Heartbeat {
                    from: from.clone(),
                    incarnation,
                    heartbeat,
                });
            }
            Message::Query(query) => self.feed_members(Input::Queried {
                from: from.clone(),
                shard: query.shard.clone(),
                epoch: query.epoch,
            }),
            Message::TargetCrashed(evidence) => self.take_evidence(evidence.clone()),
            Message::Verdicts(words) => self.learn_words(words),
            _ => {}
        }
        self.feed(Event::Received {
            from: from.clone(),
            incarnation,
            message,
        });
    }

    /// Sends a message to a peer.
    pub fn push(&self, to: &InstanceId, message: Message) {
        self.outbox.push(to, message);
    }

    /// Registers a request that is about to wait; `id` is reused for another try.
    pub fn register(&self, id: Option<RequestId>) -> Waiter {
        let id = id.unwrap_or_else(|| self.next_request.fetch_add(1, Ordering::Relaxed));
        let (verdict_tx, verdict) = bounded(1);
        let (pull_tx, pull_back) = bounded(1);
        let waiting = Waiting {
            verdict: verdict_tx,
            pull_back: pull_tx,
        };
        self.waiting.lock().insert(id, waiting);
        Waiter {
            id,
            verdict,
            pull_back,
        }
    }

    /// Forgets a request.
    pub fn unregister(&self, id: RequestId) {
        self.waiting.lock().remove(&id);
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, id: RequestId) -> bool {
        self.check_pause();
        self.policy.lock().may_send(self.timer.now(), id)
    }

    /// Puts a new view in force.
    pub fn set_view(&self, view: View) {
        let view = Arc::new(view);
        *self.view.lock() = Arc::clone(&view);
        self.decide(Event::ViewChanged((*view).clone()));
    }

    /// The view in force.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.lock())
    }

    /// Reads membership.
    pub fn with_members<T>(&self, read: impl FnOnce(&Membership, Moment) -> T) -> T {
        read(&self.members.lock(), self.timer.now())
    }

    /// Sends a heartbeat to every peer.
    pub fn send_heartbeats(&self, config_version: u64) {
        self.check_pause();
        let mark = self.quarantine.lock().digest(self.timer.now());
        let members = self.members.lock();
        let now = self.timer.now();
        let owned = self.policy.lock().summaries(now);
        self.outbox.set_peers(&members.peers());
        for peer in members.peers() {
            let heartbeat = Heartbeat {
                quarantine: mark,
                ..members.heartbeat(now, &peer.id, owned.clone(), config_version)
            };
            self.outbox.push(&peer.id, heartbeat.into());
        }
        drop(members);
        // The entry here learns of shards owned here in the same way as from a peer.
        self.feed(Event::Summary {
            owner: self.me.clone(),
            shards: owned,
        });
    }

    /// Lines for a dump: membership, then decisions.
    pub fn dump(&self) -> (Vec<String>, Vec<String>) {
        let now = self.timer.now();
        let members = self.members.lock().dump(now);
        let policy = self.policy.lock().dump(now);
        (members, policy)
    }

    /// A process that was stopped must not act on what it knew before; see `PauseDetector`.
    fn check_pause(&self) {
        let gap = self.pauses.lock().check(self.timer.now());
        if let Some(gap) = gap {
            let gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            events::emit(&Log::Paused { gap_ms });
            self.feed(Event::Paused { gap });
            self.feed_members(Input::Paused { gap });
        }
    }

    fn feed_members(&self, input: Input) {
        let mut members = self.members.lock();
        let mut changes = Vec::new();
        members.handle(self.timer.now(), input, &mut changes);
        // Still under the lock: roles must reach the decisions in the order in which they changed.
        for change in changes {
            self.apply(change);
        }
    }

    fn apply(&self, change: Change) {
        match change {
            Change::Own {
                shard,
                epoch,
                entries_to_query,
            } => {
                self.owned.lock().insert(shard.clone());
                events::emit(&Log::Owning {
                    shard: shard.clone(),
                    epoch,
                });
                self.feed(Event::RoleChanged {
                    shard,
                    role: ShardRole::Own {
                        epoch,
                        entries_to_query,
                    },
                });
            }
            Change::Follow {
                shard,
                owner,
                epoch,
            } => {
                if self.owned.lock().remove(&shard) {
                    let shard = shard.clone();
                    events::emit(&Log::Disowned { shard });
                }
                self.feed(Event::RoleChanged {
                    shard,
                    role: ShardRole::Follow { owner, epoch },
                });
            }
            Change::ExclusivityChanged { shard, exclusive } => {
                self.feed(Event::ExclusivityChanged { shard, exclusive });
            }
            Change::PeerAlive { peer } => events::emit(&Log::PeerHeard { peer }),
            Change::PeerUnresponsive { peer } => events::emit(&Log::PeerSilent { peer }),
            Change::PeerGone { peer } => self.feed(Event::PeerGone { peer }),
            Change::Summary { owner, shards } => self.feed(Event::Summary { owner, shards }),
            Change::PeerConfig { peer, version } => {
                // A full channel loses a hint; the next heartbeat brings it again.
                let _ = self.config_hints.try_send(ConfigHint { peer, version });
            }
        }
    }

    fn feed(&self, event: Event) {
        let mut policy = self.policy.lock();
        let mut actions = Vec::new();
        policy.handle(self.timer.now(), event, &mut actions);
        // Still under the lock: messages to one peer must leave in the order they were decided.
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send { to, message } => self.outbox.push(&to, message),
            Action::Dispatch { request, permit } => self.tell(request, Ok(permit)),
            Action::Refuse { request, refusal } => {
                self.tell(request, Err(refusal));
                self.unregister(request);
            }
            Action::Revoke { request } => {
                if let Some(waiting) = self.waiting.lock().get(&request) {
                    // Told already if full.
                    let _ = waiting.pull_back.try_send(());
                }
            }
        }
    }

    fn tell(&self, request: RequestId, verdict: Verdict) {
        if let Some(waiting) = self.waiting.lock().get(&request) {
            // A receiver that has gone away leaves by itself.
            let _ = waiting.verdict.try_send(verdict);
        }
    }
}

/// Time between two ticks of membership and decisions.
pub const TICK: Duration = Duration::from_millis(20);
