//! The whole requests that targets were running when they crashed.

use std::collections::{BTreeSet, VecDeque};

use types::Moment;

use crate::{fingerprint::Fingerprint, state::BASE_DURATION, verdict::TargetIncarnation};

/// The most crashes of which the requests are kept; the oldest are dropped first.
const MAX_CRASHES: usize = 64;
/// The most requests that are kept for one crash.
const MAX_REQUESTS: usize = 32;

#[derive(Clone, Debug)]
struct Crash {
    incarnation: TargetIncarnation,
    recorded_at: Moment,
    requests: BTreeSet<Fingerprint>,
}

/// The requests that crashed targets were running. Bounded in size.
#[derive(Debug, Default)]
pub(super) struct LostRequests {
    /// In the order in which the crashes became known.
    crashes: VecDeque<Crash>,
}

impl LostRequests {
    /// Records a request that a target was running when it crashed. Returns all requests that are known
    /// of this crash.
    pub fn record(
        &mut self,
        now: Moment,
        incarnation: &TargetIncarnation,
        request: Option<&Fingerprint>,
    ) -> BTreeSet<Fingerprint> {
        self.crashes
            .retain(|crash| now.saturating_sub(crash.recorded_at) < BASE_DURATION);
        let known = self
            .crashes
            .iter()
            .position(|crash| crash.incarnation == *incarnation);
        let index = known.unwrap_or_else(|| self.insert(now, incarnation));
        let requests = &mut self.crashes[index].requests;
        if requests.len() < MAX_REQUESTS {
            requests.extend(request);
        }
        requests.clone()
    }

    /// Adds a crash without requests; returns its index.
    fn insert(&mut self, now: Moment, incarnation: &TargetIncarnation) -> usize {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Crash {
            incarnation: incarnation.clone(),
            recorded_at: now,
            requests: BTreeSet::new(),
        });
        self.crashes.len() - 1
    }
}
