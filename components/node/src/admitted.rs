//! Admission as the gateway sees it.

use std::sync::Arc;

use async_trait::async_trait;
use gateway::{
    Admission, Admitted,
    admission::{Ending, Wanted},
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

async fn wait(core: &Arc<Core>, waiter: Waiter) -> Result<Box<dyn Admitted>, Refusal> {
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
    fn finish(&mut self, outcome: Outcome) {
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
            self.finish(Outcome::Failed);
        }
    }
}

#[async_trait]
impl Admitted for Placed {
    fn target(&self) -> &Target {
        &self.target
    }

    fn may_send(&self) -> bool {
        self.core.may_send(self.id)
    }

    fn progress(&self, produced: Tokens) {
        self.core.decide(Event::Progress {
            request: self.id,
            produced,
            seen: true,
        });
    }

    fn gathered(&self, produced: Tokens) {
        self.core.decide(Event::Progress {
            request: self.id,
            produced,
            seen: false,
        });
    }

    async fn pulled_back(&self) {
        if self.pull_back.recv().await.is_err() {
            // The request is no longer known to the decisions; nothing is pulled back any more.
            std::future::pending::<()>().await;
        }
    }

    fn end(mut self: Box<Self>, ending: Ending) {
        self.finish(ending);
    }

    async fn again(mut self: Box<Self>, ending: Ending) -> Result<Box<dyn Admitted>, Refusal> {
        self.ended = true;
        let waiter = self.core.register(Some(self.id));
        let event = Event::Ended {
            request: self.id,
            outcome: ending,
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
impl Admitted for Adopted {
    fn target(&self) -> &Target {
        &self.target
    }

    fn may_send(&self) -> bool {
        true
    }

    fn progress(&self, _produced: Tokens) {}

    async fn pulled_back(&self) {
        std::future::pending::<()>().await;
    }

    fn end(self: Box<Self>, _ending: Ending) {}

    async fn again(self: Box<Self>, _ending: Ending) -> Result<Box<dyn Admitted>, Refusal> {
        let detail = "a stream that began elsewhere can't be run again";
        Err(
            Refusal::new(502, "not-repeatable", "Not repeatable", detail)
                .with_run(types::Run::Partial),
        )
    }
}

#[async_trait]
impl Admission for Door {
    fn now(&self) -> Moment {
        self.core.timer.now()
    }

    async fn admit(&self, wanted: Wanted) -> Result<Box<dyn Admitted>, Refusal> {
        let waiter = self.core.register(None);
        self.core.decide(Event::Arrived(request(waiter.id, wanted)));
        wait(&self.core, waiter).await
    }

    fn find(&self, target: &str) -> Option<Target> {
        self.core
            .view()
            .targets
            .iter()
            .find(|t| *t.id == *target)
            .cloned()
    }

    fn adopt(&self, target: &Target, _wanted: Wanted, _produced: Tokens) -> Box<dyn Admitted> {
        Box::new(Adopted {
            target: target.clone(),
        })
    }

    fn ready(&self) -> bool {
        (self.ready)()
    }
}

fn request(id: RequestId, wanted: Wanted) -> Request {
    Request {
        id,
        service: wanted.service,
        kind: wanted.kind,
        workspace: wanted.workspace,
        route: wanted.route,
        class: wanted.class,
        deadline: wanted.deadline,
        idempotent: wanted.idempotent,
        prompt_tokens: wanted.prompt,
        max_output: wanted.max_output,
        prefix: wanted.prefix,
        true_output: wanted.true_output,
    }
}
