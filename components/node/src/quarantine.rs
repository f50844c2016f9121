//! Requests that crash targets, as all instances know them.
//!
//! Evidence goes to two keepers, chosen by the request's fingerprint among those that are heard. What
//! they make of it goes to all peers; heartbeats carry a digest of what an instance knows, and one
//! that knows otherwise answers with its own words.

use std::sync::Arc;

use ::quarantine::{Audience, Evidence, Fingerprint, Standing, Word};
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

    fn ended(&self, evidence: Evidence) {
        for keeper in self.core.keepers(&evidence.fingerprint) {
            self.core.push(&keeper, Message::Ended(evidence.clone()));
        }
        self.core.take_evidence(evidence);
    }

    fn served(&self, fingerprint: &Fingerprint) {
        let now = self.core.timer.now();
        let served = self.core.quarantine.lock().served(now, fingerprint);
        let Some((word, audience)) = served else {
            return;
        };
        let to = match audience {
            Audience::Keepers => self.core.keepers(fingerprint),
            Audience::All => self.core.others(),
        };
        log(&word);
        for peer in to {
            self.core.push(&peer, Message::Words(vec![word]));
        }
    }
}

impl Core {
    /// Takes evidence in; tells all peers what comes of it.
    pub fn take_evidence(&self, evidence: Evidence) {
        let word = self.quarantine.lock().ended(self.timer.now(), evidence);
        let Some(word) = word else {
            return;
        };
        log(&word);
        for peer in self.others() {
            self.push(&peer, Message::Words(vec![word]));
        }
    }

    /// Takes a peer's words.
    pub fn learn_words(&self, words: &[Word]) {
        let now = self.timer.now();
        for word in words {
            if self.quarantine.lock().learn(now, word) {
                log(word);
            }
        }
    }

    /// Tells a peer what is known here, if it knows otherwise.
    pub fn answer_mark(&self, peer: &InstanceId, mark: u64) {
        let now = self.timer.now();
        let ledger = self.quarantine.lock();
        let words = if ledger.mark(now) == mark {
            Vec::new()
        } else {
            ledger.words(now)
        };
        drop(ledger);
        if !words.is_empty() {
            self.push(peer, Message::Words(words));
        }
    }

    fn others(&self) -> Vec<InstanceId> {
        let peers = self.with_members(|members, _| members.peers());
        peers.into_iter().map(|peer| peer.id).collect()
    }

    fn keepers(&self, fingerprint: &Fingerprint) -> Vec<InstanceId> {
        let mut all = self.with_members(|members, now| members.alive(now));
        all.push(Arc::clone(&self.me));
        all.sort_by_cached_key(|id| {
            Fingerprint::new(&[&fingerprint.short().to_be_bytes(), id.as_bytes()])
        });
        all.truncate(KEEPERS);
        all.retain(|id| *id != self.me);
        all
    }
}

fn log(word: &Word) {
    let fingerprint = word.fingerprint.to_string().into();
    match word.standing {
        Standing::Suspected => {}
        Standing::Rejected => events::emit(&Event::RequestsQuarantined {
            fingerprint,
            for_ms: u64::try_from(word.left.as_millis()).unwrap_or(u64::MAX),
        }),
        Standing::Cleared => events::emit(&Event::QuarantineLifted { fingerprint }),
    }
}
