//! Allocates targets' rate limits to requests, one request after the other.
//!
//! Each target's limit is allocated by one instance on behalf of all.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use types::{Moment, TargetId, bounded};

use crate::limits::Rate;

/// Share of a limit that is allocated: while instances disagree on the coordinator, two of them
/// allocate the same limit for a moment.
const ALLOCATED_SHARE: f64 = 0.75;
/// Requests that may be sent at once after a pause.
const BURST: f64 = 2.0;
/// The lowest rate that is allocated: a target that gets no request at all has no answer in which
/// to raise its limit.
const MIN_RATE: Rate = 0.1;
/// The longest time after which a caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Whether a request may be sent to a target with a rate limit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reservation {
    /// The request may be sent; this part of the limit is used up.
    #[serde(rename = "At")]
    Granted {
        /// Time to wait before it is sent.
        #[serde(deserialize_with = "bounded")]
        after: Duration,
    },
    /// The limit is used up for longer than the request can wait.
    #[serde(rename = "Full")]
    Rejected {
        /// Time after which its caller should retry.
        #[serde(deserialize_with = "bounded")]
        after: Duration,
    },
}

impl Reservation {
    /// The request may be sent at once.
    pub const NOW: Self = Self::Granted {
        after: Duration::ZERO,
    };
}

/// What has been allocated of one target's limit.
#[derive(Clone, Copy, Debug)]
struct Allocation {
    /// When all that was allocated is used up.
    used_until: Moment,
    /// When the last rejected caller was told to retry.
    last_retry_at: Moment,
}

/// The allocations of the targets whose limits this instance allocates.
#[derive(Debug, Default)]
pub struct RateAllocator {
    allocations: HashMap<TargetId, Allocation>,
}

impl RateAllocator {
    /// Nothing has been allocated yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Reserves one request of a target's limit, if it can be sent within `max_wait`. Rejected
    /// callers are told to retry one after the other, spaced like the limit.
    pub fn reserve(
        &mut self,
        now: Moment,
        target: &TargetId,
        rate: Rate,
        max_wait: Duration,
    ) -> Reservation {
        let spacing = Duration::from_secs_f64(1.0 / (rate.max(MIN_RATE) * ALLOCATED_SHARE));
        let allocation = self.allocations.entry(target.clone());
        // Another instance may have allocated a burst just before; a new allocation starts without.
        let allocation = allocation.or_insert(Allocation {
            used_until: now + spacing,
            last_retry_at: now,
        });
        allocation.used_until = allocation.used_until.max(now);
        let free = allocation
            .used_until
            .saturating_sub(spacing.mul_f64(BURST - 1.0));
        let after = free.saturating_sub(now);
        if after <= max_wait {
            allocation.used_until += spacing;
            return Reservation::Granted { after };
        }
        allocation.last_retry_at = allocation
            .last_retry_at
            .max(free)
            .min(now + MAX_RETRY_AFTER)
            + spacing;
        Reservation::Rejected {
            after: allocation
                .last_retry_at
                .saturating_sub(now)
                .min(MAX_RETRY_AFTER),
        }
    }

    /// Removes targets that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.allocations.retain(|target, _| is_listed(target));
    }
}
