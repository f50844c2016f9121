//! A fake entry: asks, sends what is granted, tells what it holds.

use std::collections::BTreeMap;

use types::{Class, Moment, PermitId, PermitRequestId, Shard, TargetId, Tokens};
use wire::{Done, Grant, Held, HeldPermit, Outcome, PermitRequest};

use super::requests::Drawn;

/// A permit in hand.
#[derive(Clone, Debug)]
pub struct InHand {
    /// For which request.
    pub request: usize,
    /// What was granted.
    pub grant: Grant,
}

/// One fake entry.
#[derive(Debug, Default)]
pub struct Entry {
    next_ask: PermitRequestId,
    /// Requests that wait, by ask.
    pub asks: BTreeMap<PermitRequestId, usize>,
    /// Permits in use.
    pub permits: BTreeMap<PermitId, InHand>,
}

/// What a request looks like in messages.
#[derive(Clone, Copy, Debug)]
pub struct Shape<'a> {
    /// The request.
    pub drawn: &'a Drawn,
    /// Whether its limit is its true length.
    pub told: bool,
}

impl Shape<'_> {
    fn max_output(&self) -> Tokens {
        if self.told {
            self.drawn.length
        } else {
            self.drawn.max_output
        }
    }

    fn workspace(&self) -> types::WorkspaceId {
        format!("workspace-{}", self.drawn.workspace).into()
    }
}

impl Entry {
    /// Asks for a request.
    pub fn ask(
        &mut self,
        now: Moment,
        shard: &Shard,
        request: usize,
        shape: Shape<'_>,
    ) -> PermitRequest {
        self.next_ask += 1;
        self.asks.insert(self.next_ask, request);
        let deadline = shape.drawn.at + shape.drawn.patience;
        PermitRequest {
            shard: shard.clone(),
            permit_request: self.next_ask,
            stamp: now,
            kind: types::ServiceKind::Model,
            class: shape.drawn.class,
            workspace: shape.workspace(),
            route: shape.drawn.route.into(),
            deadline_left: deadline.saturating_sub(now),
            waited: now.saturating_sub(shape.drawn.at),
            prompt_tokens: shape.drawn.prompt,
            max_output: shape.max_output(),
            slots: 1,
            prefix: Vec::new(),
            avoid: Vec::new(),
        }
    }

    /// Gives a permit back.
    pub fn done(&mut self, permit: PermitId, outcome: Outcome) -> Option<Done> {
        let in_hand = self.permits.remove(&permit)?;
        Some(Done {
            shard: in_hand.grant.shard,
            permit,
            target: in_hand.grant.target,
            outcome,
        })
    }

    /// Tells what is held; `produced` looks up how far a request is.
    pub fn held<'a>(
        &self,
        now: Moment,
        shard: &Shard,
        shape: impl Fn(usize) -> Shape<'a>,
        produced: impl Fn(&TargetId, usize) -> Tokens,
    ) -> Held {
        let permits = self.permits.values().map(|in_hand| {
            let shape = shape(in_hand.request);
            let produced = produced(&in_hand.grant.target, in_hand.request);
            held_permit(in_hand, shape, produced)
        });
        Held {
            shard: shard.clone(),
            epoch: 1,
            stamp: now,
            permits: permits.collect(),
        }
    }
}

fn held_permit(in_hand: &InHand, shape: Shape<'_>, produced: Tokens) -> HeldPermit {
    HeldPermit {
        permit: in_hand.grant.permit,
        epoch: in_hand.grant.epoch,
        target: in_hand.grant.target.clone(),
        incarnation: in_hand.grant.incarnation,
        class: shape.drawn.class,
        workspace: shape.workspace(),
        route: shape.drawn.route.into(),
        prompt_tokens: shape.drawn.prompt,
        max_output: shape.max_output(),
        produced,
        slots: 1,
        answer_started: produced > 0,
    }
}

/// The index of a class in tables.
#[must_use]
pub const fn index(class: Class) -> usize {
    class as usize
}
