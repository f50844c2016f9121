//! How many requests one instance sends to the new version of a service.
//!
//! The bound on all instances together holds without their agreement: each sends its share of its own
//! requests, and the coordinator deals out the slack.

use std::time::Duration;

use types::Moment;

use crate::order::{Directive, ExposureLimits, Outcome};

/// How long a directive counts. An instance that does not hear from the coordinator for longer leaves
/// the new version alone.
const DIRECTIVE_LIFETIME: Duration = Duration::from_millis(1_500);
/// Part of the bound's share that is used: a send may be counted at the target a little earlier than
/// the requests that entitle to it.
const USED_SHARE: f64 = 0.95;

/// The requests of one instance during a rollout.
#[derive(Clone, Debug)]
pub struct Exposure {
    limits: ExposureLimits,
    arrivals: u64,
    /// Requests sent to the new version, or about to be.
    exposed: u64,
    /// The last directive of a rollout that is under way, and when it arrived.
    directive: Option<(Moment, Directive)>,
    /// How the rollout has ended, once that is known. Final.
    outcome: Option<Outcome>,
    /// Random number from 0 to 1, by which entitlements to fractions of a request are rounded.
    /// Without it hundreds of instances with few requests each would send nothing.
    rounding: f64,
}

impl Exposure {
    /// No request has been sent yet.
    #[must_use]
    pub const fn new(limits: ExposureLimits, rounding: f64) -> Self {
        Self {
            limits,
            arrivals: 0,
            exposed: 0,
            directive: None,
            outcome: None,
            rounding,
        }
    }

    /// How the rollout has ended, if it has.
    #[must_use]
    pub const fn outcome(&self) -> Option<Outcome> {
        self.outcome
    }

    /// Whether the new version gets no further requests: it was rolled back, or is about to be.
    #[must_use]
    pub const fn is_stopped(&self) -> bool {
        match self.outcome {
            Some(outcome) => matches!(outcome, Outcome::RolledBack),
            None => matches!(self.directive, Some((_, Directive::Suspended))),
        }
    }

    /// Requests sent so far.
    #[must_use]
    pub const fn arrivals(&self) -> u64 {
        self.arrivals
    }

    /// Requests sent to the new version so far, or about to be.
    #[must_use]
    pub const fn exposed(&self) -> u64 {
        self.exposed
    }

    /// Applies what the coordinator says. Returns whether the rollout has ended by it.
    pub const fn apply(&mut self, now: Moment, directive: Directive) -> bool {
        if self.outcome.is_some() {
            return false;
        }
        if let Directive::Ended(outcome) = directive {
            self.outcome = Some(outcome);
            return true;
        }
        self.directive = Some((now, directive));
        false
    }

    /// Decides whether the next request goes to the new version, and counts it as exposed if so.
    /// `random` is a random number from 0 to 1.
    pub fn take(&mut self, now: Moment, random: f64) -> bool {
        match self.outcome {
            Some(Outcome::Succeeded) => return true,
            Some(Outcome::RolledBack) => return false,
            None => {}
        }
        let Some((heard, directive)) = self.directive else {
            return false;
        };
        if now.saturating_sub(heard) > DIRECTIVE_LIFETIME {
            return false;
        }
        let (share, slack) = match directive {
            Directive::Expose {
                share,
                slack,
                turn_in,
                ..
            } => {
                let turned = now >= heard + turn_in;
                (if turned { 1.0 } else { share }, slack)
            }
            Directive::Unopposed => return true,
            Directive::Suspended | Directive::Ended(_) => return false,
        };
        let entitled = self.limits.share * USED_SHARE * as_f64(self.arrivals) + slack;
        let is_taken = random < share && as_f64(self.exposed + 1) <= entitled + self.rounding;
        if is_taken {
            self.exposed += 1;
        }
        is_taken
    }

    /// Takes back a request that was not sent to the new version after all.
    pub const fn give_back(&mut self) {
        self.exposed = self.exposed.saturating_sub(1);
    }

    /// Counts a request that is sent to a target of any version.
    pub const fn record_sent(&mut self) {
        self.arrivals += 1;
    }

    /// Whether generations are to be migrated off engines of the other versions.
    #[must_use]
    pub fn migrates(&self, now: Moment) -> bool {
        if let Some(outcome) = self.outcome {
            return outcome == Outcome::Succeeded;
        }
        matches!(
            self.directive,
            Some((heard, Directive::Expose { migrate_in, .. }))
                if now >= heard + migrate_in && now <= heard + DIRECTIVE_LIFETIME
        )
    }
}

/// A count as a floating-point number.
pub(crate) fn as_f64(count: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
    let value = count as f64;
    value
}
