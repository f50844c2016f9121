//! The shared state of an instance: membership, policy and quarantine.
//!
//! Inputs are passed to membership and policy one at a time, and the resulting changes and actions
//! are carried out in the order in which they were decided.

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
use quarantine::{PartQuarantine, QuarantineState};
use smol::channel::{Receiver, Sender, bounded};
use timer::{PauseDetector, Timer};
use types::{Incarnation, InstanceId, Moment, Refusal, ServiceId, Shard};
use wire::{Heartbeat, Message};

use crate::outbox::Outbox;

/// The decision about a request that waits for a permit.
pub type PermitResult = Result<DispatchPermit, Refusal>;

/// The sending ends of the channels of a pending permit.
struct PendingChannels {
    result: Sender<PermitResult>,
    revocation: Sender<()>,
}

/// The permit that a request waits for: the receiving ends of its channels.
pub struct PendingPermit {
    /// Id of the request.
    pub id: RequestId,
    /// Receives the permit or the refusal.
    pub result: Receiver<PermitResult>,
    /// Receives a message when the permit is revoked.
    pub revocation: Receiver<()>,
}

/// The configuration version of a peer, as its heartbeat reports it.
pub struct ConfigHint {
    /// The peer.
    pub peer: InstanceId,
    /// The version that is effective there.
    pub version: u64,
}

/// The shared state of one instance.
pub struct Core {
    /// The clock of the process.
    pub timer: Timer,
    /// Name of this instance.
    pub me: InstanceId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    members: Mutex<Membership>,
    policy: Mutex<Box<dyn Policy>>,
    pending: Mutex<HashMap<RequestId, PendingChannels>>,
    pauses: Mutex<PauseDetector>,
    view: Mutex<Arc<View>>,
    /// Requests that crash targets. This lock is never held together with another one.
    pub(crate) quarantine: Mutex<QuarantineState>,
    /// Parts of prompts that crash targets. This lock is never held together with another one.
    pub(crate) part_quarantine: Mutex<PartQuarantine>,
    /// When this instance was granted a probe of a service. This lock is never held together with another
    /// one.
    pub(crate) granted_probes: Mutex<HashMap<ServiceId, Moment>>,
    /// Shards for which the start of the ownership was logged.
    owned: Mutex<BTreeSet<Shard>>,
    outbox: Outbox,
    config_hints: Sender<ConfigHint>,
    next_request: AtomicU64,
}

impl Core {
    /// Creates the state. Configuration versions of peers are sent to `config_hints`.
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
            pending: Mutex::default(),
            pauses: Mutex::new(PauseDetector::new(now, PAUSE_THRESHOLD)),
            view: Mutex::default(),
            quarantine: Mutex::default(),
            part_quarantine: Mutex::default(),
            granted_probes: Mutex::default(),
            owned: Mutex::default(),
            outbox,
            config_hints,
            next_request: AtomicU64::new(1),
        }
    }

    /// Passes one event to the policy and performs the resulting actions.
    pub fn handle_event(&self, event: Event) {
        self.check_pause();
        self.feed_policy(event);
    }

    /// Passes one input to membership, and the resulting changes to the policy.
    pub fn handle_member_input(&self, input: Input) {
        self.check_pause();
        self.feed_members(input);
    }

    /// Handles one message of a peer.
    pub fn receive(&self, from: &InstanceId, incarnation: Incarnation, message: Message) {
        self.check_pause();
        match &message {
            Message::Heartbeat(heartbeat) => {
                self.reply_to_digest(from, heartbeat.quarantine);
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
            Message::TargetCrashed(evidence) => self.record_evidence(evidence.clone()),
            Message::Verdicts(verdicts) => self.apply_verdicts(verdicts),
            Message::PartCrashed(evidence) => self.record_part_evidence(evidence),
            Message::PartVerdicts(verdicts) => self.apply_part_verdicts(verdicts),
            Message::RequestProbe { service } => self.grant_probe(from, service),
            Message::ProbeGranted { service } => self.record_probe_grant(service),
            _ => {}
        }
        self.feed_policy(Event::Received {
            from: from.clone(),
            incarnation,
            message,
        });
    }

    /// Queues a message for a peer.
    pub fn send(&self, to: &InstanceId, message: Message) {
        self.outbox.push(to, message);
    }

    /// Registers a request that is about to wait for a permit. A retry passes the `id` of the
    /// request; otherwise a new one is assigned.
    pub fn register(&self, id: Option<RequestId>) -> PendingPermit {
        let id = id.unwrap_or_else(|| self.next_request.fetch_add(1, Ordering::Relaxed));
        let (result_tx, result) = bounded(1);
        let (revocation_tx, revocation) = bounded(1);
        let channels = PendingChannels {
            result: result_tx,
            revocation: revocation_tx,
        };
        self.pending.lock().insert(id, channels);
        PendingPermit {
            id,
            result,
            revocation,
        }
    }

    /// Removes a request.
    pub fn unregister(&self, id: RequestId) {
        self.pending.lock().remove(&id);
    }

    /// Whether a request still has a valid permit and may be sent now.
    pub fn may_send(&self, id: RequestId) -> bool {
        self.check_pause();
        self.policy.lock().may_send(self.timer.now(), id)
    }

    /// Puts a new view in force.
    pub fn set_view(&self, view: View) {
        let view = Arc::new(view);
        *self.view.lock() = Arc::clone(&view);
        self.handle_event(Event::ViewChanged((*view).clone()));
    }

    /// Returns the view in force.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.lock())
    }

    /// Calls `read` with the membership locked, and the present time.
    pub fn with_members<T>(&self, read: impl FnOnce(&Membership, Moment) -> T) -> T {
        read(&self.members.lock(), self.timer.now())
    }

    /// Sends a heartbeat to every peer.
    pub fn send_heartbeats(&self, config_version: u64) {
        self.check_pause();
        let digest = self.quarantine_digest();
        let members = self.members.lock();
        let now = self.timer.now();
        let owned = self.policy.lock().summaries(now);
        self.outbox.set_peers(&members.peers());
        for peer in members.peers() {
            let heartbeat = Heartbeat {
                quarantine: digest,
                ..members.heartbeat(now, &peer.id, owned.clone(), config_version)
            };
            self.outbox.push(&peer.id, heartbeat.into());
        }
        drop(members);
        // As an entry, this instance receives the summaries of its own shards like those of a peer.
        self.feed_policy(Event::Summary {
            owner: self.me.clone(),
            shards: owned,
        });
    }

    /// Returns descriptions of the states of membership and of the policy for operators, in lines.
    pub fn dump(&self) -> (Vec<String>, Vec<String>) {
        let now = self.timer.now();
        let members = self.members.lock().dump(now);
        let policy = self.policy.lock().dump(now);
        (members, policy)
    }

    /// Checks whether the process was paused since the last check. After a pause it must not act
    /// on the state from before; see [`PauseDetector`].
    fn check_pause(&self) {
        let gap = self.pauses.lock().check(self.timer.now());
        if let Some(gap) = gap {
            let gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            events::emit(&Log::Paused { gap_ms });
            self.feed_policy(Event::Paused { gap });
            self.feed_members(Input::Paused { gap });
        }
    }

    fn feed_members(&self, input: Input) {
        let mut members = self.members.lock();
        let mut changes = Vec::new();
        members.handle(self.timer.now(), input, &mut changes);
        // The lock is still held: roles must reach the policy in the order in which they changed.
        for change in changes {
            self.apply_change(change);
        }
    }

    fn apply_change(&self, change: Change) {
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
                self.feed_policy(Event::RoleChanged {
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
                self.feed_policy(Event::RoleChanged {
                    shard,
                    role: ShardRole::Follow { owner, epoch },
                });
            }
            Change::ExclusivityChanged { shard, exclusive } => {
                self.feed_policy(Event::ExclusivityChanged { shard, exclusive });
            }
            Change::PeerAlive { peer } => events::emit(&Log::PeerHeard { peer }),
            Change::PeerUnresponsive { peer } => events::emit(&Log::PeerSilent { peer }),
            Change::PeerGone { peer } => self.feed_policy(Event::PeerGone { peer }),
            Change::Summary { owner, shards } => self.feed_policy(Event::Summary { owner, shards }),
            Change::PeerConfig { peer, version } => {
                // If the channel is full the hint is lost; the next heartbeat repeats it.
                let _ = self.config_hints.try_send(ConfigHint { peer, version });
            }
        }
    }

    fn feed_policy(&self, event: Event) {
        let mut policy = self.policy.lock();
        let mut actions = Vec::new();
        policy.handle(self.timer.now(), event, &mut actions);
        // The lock is still held: messages to one peer must be sent in the order of the decisions.
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send { to, message } => self.outbox.push(&to, message),
            Action::Dispatch { request, permit } => self.resolve(request, Ok(permit)),
            Action::Refuse { request, refusal } => {
                self.resolve(request, Err(refusal));
                self.unregister(request);
            }
            Action::Revoke { request } => {
                if let Some(pending) = self.pending.lock().get(&request) {
                    // If the channel is full, the request was already notified.
                    let _ = pending.revocation.try_send(());
                }
            }
        }
    }

    fn resolve(&self, request: RequestId, result: PermitResult) {
        if let Some(pending) = self.pending.lock().get(&request) {
            // Fails if the receiver was dropped; its guard withdraws the request.
            let _ = pending.result.try_send(result);
        }
    }
}

/// Time between two ticks of membership and of the policy.
pub const TICK_PERIOD: Duration = Duration::from_millis(20);
