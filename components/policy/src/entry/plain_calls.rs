//! Permits for plain calls. They come in blocks of slots that are requested ahead of time, so that
//! an urgent call needs no extra round trip.

use std::{collections::BTreeMap, time::Duration};

use types::{Moment, ServiceId, ServiceKind};
use wire::PermitRequest;

use crate::{
    api::{Action, Request, RequestId},
    entry::{
        machine::Entry,
        pending::{OutstandingPermitRequest, PendingRequest, Stage},
        permit::PermitKey,
    },
};

/// A block with less than this time left is replaced.
const MIN_BLOCK_LIFETIME: Duration = Duration::from_millis(500);
/// A service without calls for this long gets no blocks ahead of time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay of the next refill after one that brought slots at a cold target.
const COLD_REFILL_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of slots in a block.
const MAX_SLOTS: u32 = 8;

/// Demand for plain calls of one service at this entry.
#[derive(Clone, Debug)]
struct ServiceDemand {
    last_call_at: Moment,
    last_request: Option<Request>,
    /// Maximum number of concurrent calls since the last refill.
    peak: u32,
    /// No block is requested before this moment.
    refill_not_before: Moment,
}

/// Demand for plain calls by service.
#[derive(Debug, Default)]
pub struct CallDemand {
    by_service: BTreeMap<ServiceId, ServiceDemand>,
}

impl CallDemand {
    /// Records the arrival of a call.
    pub fn record_call(&mut self, now: Moment, service: &ServiceId) {
        let demand = self
            .by_service
            .entry(service.clone())
            .or_insert(ServiceDemand {
                last_call_at: now,
                last_request: None,
                peak: 1,
                refill_not_before: Moment::ZERO,
            });
        demand.last_call_at = now;
    }

    /// Returns whether a service is known to serve plain calls.
    #[must_use]
    pub fn contains(&self, service: &ServiceId) -> bool {
        self.by_service.contains_key(service)
    }

    /// Delays the next refill after one that brought slots at a cold target. Such slots are few and
    /// are returned unused; requesting them again at once would only pass them to and fro.
    pub fn pause_refill(&mut self, now: Moment, service: &ServiceId) {
        if let Some(demand) = self.by_service.get_mut(service) {
            demand.refill_not_before = now + COLD_REFILL_DELAY;
        }
    }

    /// Returns the number of slots to request for a request.
    #[must_use]
    pub fn slots(&self, request: &Request) -> u32 {
        if request.kind == ServiceKind::Model {
            return 1;
        }
        let peak = self.by_service.get(&request.service).map_or(1, |d| d.peak);
        peak.clamp(1, MAX_SLOTS)
    }
}

impl Entry {
    /// Places a plain call under a block that is held. Returns whether there was one with room.
    pub(super) fn place_on_block(
        &mut self,
        now: Moment,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(pending) = self.requests.get(&id) else {
            return false;
        };
        let usable = self.permits.values().filter(|p| {
            p.kind == ServiceKind::Plain
                && p.shard.service == pending.request.service
                && p.has_room(now)
                && !pending.avoid.contains(&p.target.id)
                && self.accepts_work(now, &p.target.id, p.target.incarnation)
        });
        // The least used block is chosen, which spreads calls over targets.
        let Some(key) = usable
            .min_by_key(|p| (p.users.len(), p.valid_until))
            .map(|p| p.key)
        else {
            return false;
        };
        self.dispatch(key, id, out);
        self.record_peak(id);
        true
    }

    fn record_peak(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let request = pending.request.clone();
        let blocks = self
            .permits
            .values()
            .filter(|p| p.shard.service == request.service);
        let running: usize = blocks.map(|p| p.users.len()).sum();
        if let Some(demand) = self.call_demand.by_service.get_mut(&request.service) {
            demand.peak = demand.peak.max(u32::try_from(running).unwrap_or(MAX_SLOTS));
            demand.last_request = Some(request);
        }
    }

    /// Places waiting plain calls on the free slots of a block, most urgent first.
    pub(super) fn fill_block(&mut self, now: Moment, key: PermitKey, out: &mut Vec<Action>) {
        while let Some(id) = self.next_call_for(now, key) {
            let stage = self.requests.get(&id).map(|p| p.stage.clone());
            if let Some(Stage::Asked(permit_request)) = stage {
                self.withdraw(permit_request, out);
            }
            self.dispatch(key, id, out);
            self.record_peak(id);
        }
    }

    fn next_call_for(&self, now: Moment, key: PermitKey) -> Option<RequestId> {
        let permit = self.permits.get(&key)?;
        if permit.kind != ServiceKind::Plain
            || !permit.has_room(now)
            || !self.accepts_work(now, &permit.target.id, permit.target.incarnation)
        {
            return None;
        }
        let is_eligible = |p: &&PendingRequest| {
            p.request.service == permit.shard.service
                && !matches!(p.stage, Stage::Placed(_))
                && !p.avoid.contains(&permit.target.id)
        };
        let waiting = self.requests.values().filter(is_eligible);
        waiting
            .min_by_key(|p| (p.request.class, p.request.deadline))
            .map(|p| p.request.id)
    }

    /// Requests new blocks before those that are held expire.
    pub(super) fn refill(&mut self, now: Moment, out: &mut Vec<Action>) {
        let services: Vec<ServiceId> = self.call_demand.by_service.keys().cloned().collect();
        for service in services {
            self.refill_service(now, &service, out);
        }
    }

    fn refill_service(&mut self, now: Moment, service: &ServiceId, out: &mut Vec<Action>) {
        let is_requested = self
            .permit_requests
            .values()
            .any(|a| a.request.is_none() && a.shard.service == *service);
        let has_fresh_block = self.permits.values().any(|p| {
            p.shard.service == *service && p.valid_until > now + MIN_BLOCK_LIFETIME && !p.cold
        });
        let Some(demand) = self.call_demand.by_service.get_mut(service) else {
            return;
        };
        if has_fresh_block
            || is_requested
            || now < demand.refill_not_before
            || now.saturating_sub(demand.last_call_at) >= IDLE_TIMEOUT
        {
            return;
        }
        let Some(request) = demand.last_request.clone() else {
            return;
        };
        let slots = demand.peak.clamp(1, MAX_SLOTS);
        demand.peak = (demand.peak / 2).max(1);
        let Some((shard, owner)) = self.choose_shard(now, service, &[]) else {
            return;
        };
        let avoid = self.paused_targets(now, service);
        let permit_request = self.next_permit_request();
        let message = PermitRequest {
            shard: shard.clone(),
            permit_request,
            stamp: now,
            kind: ServiceKind::Plain,
            class: request.class,
            workspace: request.workspace,
            route: request.route,
            deadline_left: MIN_BLOCK_LIFETIME,
            waited: Duration::ZERO,
            prompt_tokens: 0,
            max_output: 0,
            slots: slots.max(2),
            prefix: Vec::new(),
            avoid,
        };
        self.permit_requests.insert(
            permit_request,
            OutstandingPermitRequest {
                request: None,
                shard,
                owner: owner.clone(),
                sent_at: now,
            },
        );
        out.push(Action::Send {
            to: owner,
            message: message.into(),
        });
    }
}
