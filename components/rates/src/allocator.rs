//! The account of the rates that targets take, kept for each target by one instance for all.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use types::{Moment, TargetId};

use crate::limits::Rate;

/// Part of a rate that is handed out: for a moment two instances may keep the same account.
const ALLOCATED_SHARE: f64 = 0.75;
/// Requests that may be sent at once after a pause.
const BURST: f64 = 2.0;
/// The least rate, in requests a second: a target that takes none could never say that it takes some.
const MIN_RATE: Rate = 0.1;
/// The longest time after which a caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reservation {
    /// It may, and nobody else in its place.
    #[serde(rename = "At")]
    Granted {
        /// From when on.
        after: Duration,
    },
    /// The rate is used up for longer than it can wait.
    #[serde(rename = "Full")]
    Rejected {
        /// When its caller should come back.
        after: Duration,
    },
}

impl Reservation {
    /// It may be sent at once.
    pub const NOW: Self = Self::Granted {
        after: Duration::ZERO,
    };
}

/// The account of one target.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// When all that was handed out is used up.
    until: Moment,
    /// When the last caller was told to come back.
    back: Moment,
}

/// The accounts that this instance keeps.
#[derive(Debug, Default)]
pub struct RateAllocator {
    accounts: HashMap<TargetId, Account>,
}

impl RateAllocator {
    /// Keeps none yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Hands out a slot of a target's rate to a request that can wait for `max_wait`.
    pub fn reserve(
        &mut self,
        now: Moment,
        target: &TargetId,
        rate: Rate,
        max_wait: Duration,
    ) -> Reservation {
        let spacing = Duration::from_secs_f64(1.0 / (rate.max(MIN_RATE) * ALLOCATED_SHARE));
        let account = self.accounts.entry(target.clone());
        // Another instance may have handed out what a new account does not know of.
        let account = account.or_insert(Account {
            until: now + spacing,
            back: now,
        });
        account.until = account.until.max(now);
        let free = account.until.saturating_sub(spacing.mul_f64(BURST - 1.0));
        let after = free.saturating_sub(now);
        if after <= max_wait {
            account.until += spacing;
            return Reservation::Granted { after };
        }
        account.back = account.back.max(free).min(now + MAX_RETRY_AFTER) + spacing;
        Reservation::Rejected {
            after: account.back.saturating_sub(now).min(MAX_RETRY_AFTER),
        }
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.accounts.retain(|target, _| listed(target));
    }
}
