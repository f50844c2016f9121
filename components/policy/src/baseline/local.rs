//! A baseline that places requests by what one instance knows, without coordination.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use types::{Moment, PermitRequestId, Refusal, ServingState, TargetId};
use wire::{Outcome, ShardSummary};

use crate::{
    api::{Action, DispatchPermit, Event, Policy, Request, RequestId, View},
    baseline::pick::{LocalTarget, TargetPicker},
};

/// Maximum attempts to send one request.
const MAX_ATTEMPTS: u32 = 3;
/// Retry delay given to refused callers.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longer than any run, since a baseline's permits do not expire.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1 << 30);

struct RunningRequest {
    request: Request,
    target: TargetId,
    attempts: u32,
}

/// Places requests by the knowledge of one instance alone, with a given way to pick targets.
pub struct LocalPolicy {
    picker: Box<dyn TargetPicker>,
    view: View,
    targets: BTreeMap<TargetId, LocalTarget>,
    running: BTreeMap<RequestId, RunningRequest>,
    waiting: VecDeque<(Request, u32)>,
}

impl LocalPolicy {
    /// Creates a baseline that picks targets with `picker`.
    #[must_use]
    pub fn new(picker: Box<dyn TargetPicker>) -> Self {
        Self {
            picker,
            view: View::default(),
            targets: BTreeMap::new(),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    fn place(&mut self, now: Moment, request: Request, attempts: u32, out: &mut Vec<Action>) {
        if request.deadline <= now {
            refuse(request.id, out);
            return;
        }
        let available = self.available_targets(&request);
        let limits = self.view.limits.get(&request.service).cloned();
        let picked = limits.and_then(|l| self.picker.pick(&request, &l, &self.targets, &available));
        let Some(picked) = picked.and_then(|id| self.targets.get_mut(&id)) else {
            self.waiting.push_back((request, attempts));
            return;
        };
        picked.running += 1;
        let permit = DispatchPermit {
            permit: 0,
            target: picked.target.clone(),
            valid_until: now + PERMIT_LIFETIME,
        };
        out.push(Action::Dispatch {
            request: request.id,
            permit,
        });
        let target = picked.target.id.clone();
        self.running.insert(
            request.id,
            RunningRequest {
                request,
                target,
                attempts: attempts + 1,
            },
        );
    }

    fn available_targets(&self, request: &Request) -> Vec<TargetId> {
        let available = self.targets.values().map(|k| &k.target).filter(|t| {
            t.service == request.service
                && t.state == ServingState::Live
                && !self.view.data_centres_out.contains(&t.data_centre)
        });
        available.map(|t| t.id.clone()).collect()
    }

    fn end(&mut self, id: RequestId) -> Option<RunningRequest> {
        let running = self.running.remove(&id)?;
        if let Some(known) = self.targets.get_mut(&running.target) {
            known.running = known.running.saturating_sub(1);
        }
        Some(running)
    }

    fn place_waiting(&mut self, now: Moment, out: &mut Vec<Action>) {
        let mut waiting: Vec<(Request, u32)> = std::mem::take(&mut self.waiting).into();
        waiting.sort_by_key(|(request, _)| request.class);
        for (request, attempts) in waiting {
            self.place(now, request, attempts, out);
        }
    }

    fn apply_view(&mut self, view: View) {
        let mut targets = BTreeMap::new();
        for target in &view.targets {
            let before = self.targets.remove(&target.id);
            let (report, running) = before.map_or_else(Default::default, |k| (k.report, k.running));
            let local = LocalTarget {
                target: target.clone(),
                report,
                running,
            };
            targets.insert(target.id.clone(), local);
        }
        self.targets = targets;
        self.view = view;
    }
}

fn refuse(request: RequestId, out: &mut Vec<Action>) {
    let refusal = Refusal::new(
        503,
        "overloaded",
        "Too much work",
        "no target took the request",
    )
    .with_retry_after(RETRY_AFTER);
    out.push(Action::Refuse { request, refusal });
}

impl Policy for LocalPolicy {
    fn handle(&mut self, now: Moment, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived(request) => self.place(now, request, 0, out),
            Event::CallerLeft { request } => {
                self.end(request);
                self.waiting.retain(|(r, _)| r.id != request);
            }
            Event::Ended {
                request,
                outcome,
                retry,
            } => {
                let Some(running) = self.end(request) else {
                    return;
                };
                let counted = !matches!(outcome, Outcome::Unsent);
                let attempts = running.attempts - u32::from(!counted);
                if retry && attempts < MAX_ATTEMPTS {
                    self.place(now, running.request, attempts, out);
                } else if retry {
                    refuse(request, out);
                }
                self.place_waiting(now, out);
            }
            Event::TargetReported { target, report } => {
                if let Some(known) = self.targets.get_mut(&target) {
                    known.report = report;
                }
            }
            Event::ViewChanged(view) => self.apply_view(view),
            Event::Tick => self.place_waiting(now, out),
            _ => {}
        }
    }

    fn may_send(&self, _now: Moment, request: RequestId) -> bool {
        self.running.contains_key(&request)
    }

    fn summaries(&self, _now: Moment) -> Vec<ShardSummary> {
        Vec::new()
    }

    fn dump(&self, _now: Moment) -> Vec<String> {
        vec![format!(
            "{} run, {} wait",
            self.running.len(),
            self.waiting.len()
        )]
    }

    fn last_permit_request(&self) -> PermitRequestId {
        0
    }
}
