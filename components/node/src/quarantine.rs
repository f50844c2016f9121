//! Requests that crash targets, as all instances know them.
//!
//! Evidence goes to two keepers, chosen by the request's fingerprint among those that are heard. What
//! they make of it goes to all peers; heartbeats carry a digest of what an instance knows, and one
//! that knows otherwise answers with its own words.

use std::sync::Arc;

use ::quarantine::{Evidence, Fingerprint, Recipients, Verdict, VerdictKind};
use events::Event;
use gateway::Quarantine;
use types::InstanceId;
use wire::Message;

use crate::core::Core;

/// Instances that sum up the evidence against one request.
const KEEPERS: usize = 2;

/// What the gateway asks and tells.
pub struct Suspects {
    core: Arc<Core>,
}

impl Suspects {
    /// Makes it.
    #[must_use]
    pub const fn new(core: Arc<Core>) -> Self {
        Self { core }
    }
}

impl Quarantine for Suspects {
    fn rejects(&self, fingerprint: &Fingerprint) -> bool {
        let now = self.core.timer.now();
        self.core.quarantine.lock().rejects(now, fingerprint)
    }

    fn record_crash(&self, evidence: Evidence) {
        for keeper in self.core.keepers(&evidence.fingerprint) {
            self.core
                .push(&keeper, Message::TargetCrashed(evidence.clone()));
        }
        self.core.take_evidence(evidence);
    }

    fn record_success(&self, fingerprint: &Fingerprint) {
        let now = self.core.timer.now();
        let served = self.core.quarantine.lock().record_success(now, fingerprint);
        let Some((verdict, recipients)) = served else {
            return;
        };
        let to = match recipients {
            Recipients::Aggregators => self.core.keepers(fingerprint),
            Recipients::All => self.core.others(),
        };
        log(&verdict);
        for peer in to {
            self.core.push(&peer, Message::Verdicts(vec![verdict]));
        }
    }
}

impl Core {
    /// Takes evidence in; tells all peers what comes of it.
    pub fn take_evidence(&self, evidence: Evidence) {
        let verdict = self
            .quarantine
            .lock()
            .record_crash(self.timer.now(), evidence);
        let Some(verdict) = verdict else {
            return;
        };
        log(&verdict);
        for peer in self.others() {
            self.push(&peer, Message::Verdicts(vec![verdict]));
        }
    }

    /// Takes a peer's words.
    pub fn learn_words(&self, words: &[Verdict]) {
        let now = self.timer.now();
        for verdict in words {
            if self.quarantine.lock().apply(now, verdict) {
                log(verdict);
            }
        }
    }

    /// Tells a peer what is known here, if it knows otherwise.
    pub fn answer_mark(&self, peer: &InstanceId, mark: u64) {
        let now = self.timer.now();
        let state = self.quarantine.lock();
        let words = if state.digest(now) == mark {
            Vec::new()
        } else {
            state.verdicts(now)
        };
        drop(state);
        if !words.is_empty() {
            self.push(peer, Message::Verdicts(words));
        }
    }

    fn others(&self) -> Vec<InstanceId> {
        let peers = self.with_members(|members, _| members.peers());
        peers.into_iter().map(|peer| peer.id).collect()
    }

    fn keepers(&self, fingerprint: &Fingerprint) -> Vec<InstanceId> {
        let mut all = self.with_members(|members, now| members.alive_peers(now));
        all.push(Arc::clone(&self.me));
        all.sort_by_cached_key(|id| {
            Fingerprint::new(&[&fingerprint.short().to_be_bytes(), id.as_bytes()])
        });
        all.truncate(KEEPERS);
        all.retain(|id| *id != self.me);
        all
    }
}

fn log(verdict: &Verdict) {
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
