//! Implements the gateway's admission of requests on top of the policy.

use std::sync::Arc;

use async_trait::async_trait;
use gateway::{
    Admission, PermitHandle,
    admission::{AdmissionRequest, WorkOutcome},
};
use policy::{Event, Request, RequestId};
use smol::channel::Receiver;
use types::{Moment, Refusal, ServingState, Target, Tokens};
use wire::Outcome;

use crate::core::{Core, PendingPermit, PermitResult};

/// Admits requests of the gateway by the decisions of the policy.
pub struct CoreAdmission {
    core: Arc<Core>,
    accepts_requests: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl CoreAdmission {
    /// Creates the admission. `accepts_requests` returns whether new requests are accepted.
    #[must_use]
    pub fn new(core: Arc<Core>, accepts_requests: Arc<dyn Fn() -> bool + Send + Sync>) -> Self {
        Self {
            core,
            accepts_requests,
        }
    }
}

/// Withdraws a request from the policy if its caller disconnects before the decision, which drops
/// the guard.
struct WaitGuard {
    core: Arc<Core>,
    id: RequestId,
    decided: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if !self.decided {
            self.core.unregister(self.id);
            self.core
                .handle_event(Event::CallerLeft { request: self.id });
        }
    }
}

/// Waits until the policy has decided about a request.
async fn wait_for_permit(
    core: &Arc<Core>,
    pending: PendingPermit,
) -> Result<Box<dyn PermitHandle>, Refusal> {
    let mut guard = WaitGuard {
        core: Arc::clone(core),
        id: pending.id,
        decided: false,
    };
    let result: PermitResult = pending
        .result
        .recv()
        .await
        .unwrap_or_else(|_| Err(shutting_down()));
    guard.decided = true;
    let permit = result?;
    Ok(Box::new(CorePermit {
        core: Arc::clone(core),
        id: pending.id,
        target: permit.target,
        revocation: pending.revocation,
        finished: false,
    }))
}

fn shutting_down() -> Refusal {
    Refusal::new(
        503,
        "closing",
        "Shutting down",
        "this instance is shutting down",
    )
}

/// The permit of a request, granted by the policy.
struct CorePermit {
    core: Arc<Core>,
    id: RequestId,
    target: Target,
    revocation: Receiver<()>,
    finished: bool,
}

impl CorePermit {
    fn report_outcome(&mut self, outcome: Outcome) {
        self.finished = true;
        self.core.unregister(self.id);
        self.core.handle_event(Event::Ended {
            request: self.id,
            outcome,
            retry: false,
        });
    }
}

impl Drop for CorePermit {
    fn drop(&mut self) {
        if !self.finished {
            // How far the work got is unknown, so it counts as failed and may still run.
            self.report_outcome(Outcome::Failed);
        }
    }
}

#[async_trait]
impl PermitHandle for CorePermit {
    fn target(&self) -> &Target {
        &self.target
    }

    fn may_send(&self) -> bool {
        self.core.may_send(self.id)
    }

    fn report_progress(&self, produced: Tokens) {
        self.core.handle_event(Event::Progress {
            request: self.id,
            produced,
            answer_started: true,
        });
    }

    fn report_buffered(&self, produced: Tokens) {
        self.core.handle_event(Event::Progress {
            request: self.id,
            produced,
            answer_started: false,
        });
    }

    async fn revoked(&self) {
        if self.revocation.recv().await.is_err() {
            // The policy no longer knows the request, so the permit can't be revoked any more.
            std::future::pending::<()>().await;
        }
    }

    fn finish(mut self: Box<Self>, outcome: WorkOutcome) {
        self.report_outcome(outcome);
    }

    async fn retry(
        mut self: Box<Self>,
        outcome: WorkOutcome,
    ) -> Result<Box<dyn PermitHandle>, Refusal> {
        self.finished = true;
        let pending = self.core.register(Some(self.id));
        let event = Event::Ended {
            request: self.id,
            outcome,
            retry: true,
        };
        self.core.handle_event(event);
        wait_for_permit(&self.core, pending).await
    }
}

/// Stands in for the permit of a stream that began at another instance. It reports nothing and is
/// never revoked: the target continues the stream without a permit of this instance.
struct AdoptedPermit {
    target: Target,
}

#[async_trait]
impl PermitHandle for AdoptedPermit {
    fn target(&self) -> &Target {
        &self.target
    }

    fn may_send(&self) -> bool {
        true
    }

    fn report_progress(&self, _produced: Tokens) {}

    async fn revoked(&self) {
        std::future::pending::<()>().await;
    }

    fn finish(self: Box<Self>, _outcome: WorkOutcome) {}

    async fn retry(
        self: Box<Self>,
        _outcome: WorkOutcome,
    ) -> Result<Box<dyn PermitHandle>, Refusal> {
        let detail = "a stream that began elsewhere can't be run again";
        Err(
            Refusal::new(502, "not-repeatable", "Not repeatable", detail)
                .with_execution(types::Execution::Partial),
        )
    }
}

#[async_trait]
impl Admission for CoreAdmission {
    fn now(&self) -> Moment {
        self.core.timer.now()
    }

    async fn admit(&self, request: AdmissionRequest) -> Result<Box<dyn PermitHandle>, Refusal> {
        let pending = self.core.register(None);
        self.core
            .handle_event(Event::Arrived(policy_request(pending.id, request)));
        wait_for_permit(&self.core, pending).await
    }

    fn find_target(&self, target: &str) -> Option<Target> {
        self.core
            .view()
            .targets
            .iter()
            .find(|t| *t.id == *target)
            .cloned()
    }

    fn another_target(&self, target: &Target) -> Option<Target> {
        let view = self.core.view();
        let others = view.targets.iter().filter(|other| {
            other.service == target.service
                && other.id != target.id
                && other.state == ServingState::Live
        });
        fastrand::choice(others.cloned().collect::<Vec<_>>())
    }

    fn adopt(
        &self,
        target: &Target,
        _request: AdmissionRequest,
        _produced: Tokens,
    ) -> Box<dyn PermitHandle> {
        Box::new(AdoptedPermit {
            target: target.clone(),
        })
    }

    fn is_ready(&self) -> bool {
        (self.accepts_requests)()
    }
}

fn policy_request(id: RequestId, request: AdmissionRequest) -> Request {
    Request {
        id,
        service: request.service,
        kind: request.kind,
        workspace: request.workspace,
        route: request.route,
        class: request.class,
        deadline: request.deadline,
        idempotent: request.idempotent,
        prompt_tokens: request.prompt_tokens,
        max_output: request.max_output,
        prefix: request.prefix,
        true_output: request.true_output,
    }
}
