//! Admission as the gateway sees it.

use std::sync::Arc;

use async_trait::async_trait;
use gateway::{
    Admission, PermitHandle,
    admission::{AdmissionRequest, WorkOutcome},
};
use policy::{Event, Request, RequestId};
use smol::channel::Receiver;
use types::{Moment, Refusal, Target, Tokens};
use wire::Outcome;

use crate::core::{Core, Verdict, Waiter};

/// Lets the gateway ask the decisions.
pub struct Door {
    core: Arc<Core>,
    ready: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl Door {
    /// Makes it; `ready` tells whether new requests are taken.
    #[must_use]
    pub fn new(core: Arc<Core>, ready: Arc<dyn Fn() -> bool + Send + Sync>) -> Self {
        Self { core, ready }
    }
}

/// Reports a request as gone if its caller goes away while it waits.
struct Waits {
    core: Arc<Core>,
    id: RequestId,
    placed: bool,
}

impl Drop for Waits {
    fn drop(&mut self) {
        if !self.placed {
            self.core.unregister(self.id);
            self.core.decide(Event::CallerLeft { request: self.id });
        }
    }
}

async fn wait(core: &Arc<Core>, waiter: Waiter) -> Result<Box<dyn PermitHandle>, Refusal> {
    let mut waits = Waits {
        core: Arc::clone(core),
        id: waiter.id,
        placed: false,
    };
    let verdict: Verdict = waiter
        .verdict
        .recv()
        .await
        .unwrap_or_else(|_| Err(closing()));
    waits.placed = true;
    let used = verdict?;
    Ok(Box::new(Placed {
        core: Arc::clone(core),
        id: waiter.id,
        target: used.target,
        pull_back: waiter.pull_back,
        ended: false,
    }))
}

fn closing() -> Refusal {
    Refusal::new(
        503,
        "closing",
        "Shutting down",
        "this instance is shutting down",
    )
}

/// A request with a permit.
struct Placed {
    core: Arc<Core>,
    id: RequestId,
    target: Target,
    pull_back: Receiver<()>,
    ended: bool,
}

impl Placed {
    fn report_outcome(&mut self, outcome: Outcome) {
        self.ended = true;
        self.core.unregister(self.id);
        self.core.decide(Event::Ended {
            request: self.id,
            outcome,
            retry: false,
        });
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        if !self.ended {
            // Nobody knows how far it came, so it may still run.
            self.report_outcome(Outcome::Failed);
        }
    }
}

#[async_trait]
impl PermitHandle for Placed {
    fn target(&self) -> &Target {
        &self.target
    }

    fn may_send(&self) -> bool {
        self.core.may_send(self.id)
    }

    fn report_progress(&self, produced: Tokens) {
        self.core.decide(Event::Progress {
            request: self.id,
            produced,
            answer_started: true,
        });
    }

    fn report_buffered(&self, produced: Tokens) {
        self.core.decide(Event::Progress {
            request: self.id,
            produced,
            answer_started: false,
        });
    }

    async fn revoked(&self) {
        if self.pull_back.recv().await.is_err() {
            // The request is no longer known to the decisions; nothing is pulled back any more.
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
        self.ended = true;
        let waiter = self.core.register(Some(self.id));
        let event = Event::Ended {
            request: self.id,
            outcome,
            retry: true,
        };
        self.core.decide(event);
        wait(&self.core, waiter).await
    }
}

/// A stream that began at another instance. The target goes on with it whatever is said here.
struct Adopted {
    target: Target,
}

#[async_trait]
impl PermitHandle for Adopted {
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
impl Admission for Door {
    fn now(&self) -> Moment {
        self.core.timer.now()
    }

    async fn admit(&self, request: AdmissionRequest) -> Result<Box<dyn PermitHandle>, Refusal> {
        let waiter = self.core.register(None);
        self.core
            .decide(Event::Arrived(policy_request(waiter.id, request)));
        wait(&self.core, waiter).await
    }

    fn find_target(&self, target: &str) -> Option<Target> {
        self.core
            .view()
            .targets
            .iter()
            .find(|t| *t.id == *target)
            .cloned()
    }

    fn adopt(
        &self,
        target: &Target,
        _request: AdmissionRequest,
        _produced: Tokens,
    ) -> Box<dyn PermitHandle> {
        Box::new(Adopted {
            target: target.clone(),
        })
    }

    fn is_ready(&self) -> bool {
        (self.ready)()
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
