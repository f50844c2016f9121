//! Shares evidence and verdicts on requests that crash targets among all instances.
//!
//! Evidence is sent to two aggregators, which are chosen by the fingerprint of the request among
//! the live instances. They send their verdicts to all peers. Heartbeats carry a digest of the
//! verdicts that an instance has; a receiver with another digest answers with its own verdicts.

use std::{sync::Arc, time::Duration};

use ::quarantine::{
    Assessment, Evidence, Fingerprint, PartEvidence, Recipients, Verdict, VerdictKind,
};
use events::Event;
use gateway::Quarantine;
use types::{InstanceId, ServiceId};
use wire::Message;

use crate::core::Core;

/// Number of instances that sum up the evidence against one request.
const AGGREGATORS_PER_REQUEST: usize = 2;

/// The quarantine of the gateway, with verdicts of all instances.
pub struct SharedQuarantine {
    core: Arc<Core>,
}

impl SharedQuarantine {
    /// Creates the quarantine on top of the shared state.
    #[must_use]
    pub const fn new(core: Arc<Core>) -> Self {
        Self { core }
    }
}

impl Quarantine for SharedQuarantine {
    fn rejects(&self, fingerprint: &Fingerprint) -> bool {
        let now = self.core.timer.now();
        self.core.quarantine.lock().rejects(now, fingerprint)
    }

    fn record_crash(&self, evidence: Evidence) {
        for aggregator in self.core.aggregators(&evidence.fingerprint) {
            self.core
                .send(&aggregator, Message::TargetCrashed(evidence.clone()));
        }
        self.core.record_evidence(evidence);
    }

    fn assess_parts(&self, parts: &[Fingerprint]) -> Assessment {
        let now = self.core.timer.now();
        self.core.part_quarantine.lock().assess(now, parts)
    }

    fn try_probe(&self, service: &ServiceId) -> bool {
        self.core.try_probe(service)
    }

    fn record_part_crash(&self, evidence: &PartEvidence) {
        self.core.report_part_crash(evidence);
    }

    fn record_sound_parts(&self, parts: &[Fingerprint], age: Duration) {
        self.core.record_sound_parts(parts, age);
    }

    fn record_success(&self, fingerprint: &Fingerprint) {
        let now = self.core.timer.now();
        let changed = self.core.quarantine.lock().record_success(now, fingerprint);
        let Some((verdict, recipients)) = changed else {
            return;
        };
        let to = match recipients {
            Recipients::Aggregators => self.core.aggregators(fingerprint),
            Recipients::All => self.core.other_instances(),
        };
        log_verdict(&verdict);
        for peer in to {
            self.core.send(&peer, Message::Verdicts(vec![verdict]));
        }
    }
}

impl Core {
    /// Records evidence, and sends a resulting verdict to all peers.
    pub fn record_evidence(&self, evidence: Evidence) {
        let verdict = self
            .quarantine
            .lock()
            .record_crash(self.timer.now(), evidence);
        let Some(verdict) = verdict else {
            return;
        };
        log_verdict(&verdict);
        for peer in self.other_instances() {
            self.send(&peer, Message::Verdicts(vec![verdict]));
        }
    }

    /// Applies the verdicts of a peer.
    pub fn apply_verdicts(&self, verdicts: &[Verdict]) {
        let now = self.timer.now();
        for verdict in verdicts {
            if self.quarantine.lock().apply(now, verdict) {
                log_verdict(verdict);
            }
        }
    }

    /// Sends the verdicts of this instance to a peer whose digest differs from this instance's.
    pub fn reply_to_digest(&self, peer: &InstanceId, digest: u64) {
        if self.quarantine_digest() == digest {
            return;
        }
        let now = self.timer.now();
        let verdicts = self.quarantine.lock().verdicts(now);
        if !verdicts.is_empty() {
            self.send(peer, Message::Verdicts(verdicts));
        }
        let verdicts = self.part_quarantine.lock().verdicts(now);
        if !verdicts.is_empty() {
            self.send(peer, Message::PartVerdicts(verdicts));
        }
    }

    /// A digest of the verdicts on requests and on parts of prompts.
    pub fn quarantine_digest(&self) -> u64 {
        let now = self.timer.now();
        let of_requests = self.quarantine.lock().digest(now);
        of_requests ^ self.part_quarantine.lock().digest(now)
    }

    /// Returns all listed instances except this one.
    pub fn other_instances(&self) -> Vec<InstanceId> {
        let peers = self.with_members(|members, _| members.peers());
        peers.into_iter().map(|peer| peer.id).collect()
    }

    /// Returns the aggregators of a request, without this instance.
    fn aggregators(&self, fingerprint: &Fingerprint) -> Vec<InstanceId> {
        let mut all = self.ranked_aggregators(fingerprint);
        all.retain(|id| *id != self.me);
        all
    }

    /// Returns the aggregators of a request.
    pub fn ranked_aggregators(&self, fingerprint: &Fingerprint) -> Vec<InstanceId> {
        let mut all = self.with_members(|members, now| members.alive_peers(now));
        all.push(Arc::clone(&self.me));
        all.sort_by_cached_key(|id| {
            Fingerprint::new(&[&fingerprint.short().to_be_bytes(), id.as_bytes()])
        });
        all.truncate(AGGREGATORS_PER_REQUEST);
        all
    }
}

fn log_verdict(verdict: &Verdict) {
    let fingerprint = verdict.fingerprint.to_string().into();
    match verdict.kind {
        VerdictKind::Suspected => {}
        VerdictKind::Rejected => events::emit(&Event::RequestsQuarantined {
            fingerprint,
            for_ms: u64::try_from(verdict.remaining.as_millis()).unwrap_or(u64::MAX),
        }),
        VerdictKind::Cleared => events::emit(&Event::QuarantineLifted { fingerprint }),
    }
}
