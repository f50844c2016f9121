//! The interface through which the gateway asks for permission to send requests to targets.

use async_trait::async_trait;
use types::{Class, Moment, Refusal, RouteId, ServiceId, ServiceKind, Target, Tokens, WorkspaceId};

/// A request that needs a target.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The requested service.
    pub service: ServiceId,
    /// What kind of targets the service has.
    pub kind: ServiceKind,
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// The route by which the service was chosen.
    pub route: RouteId,
    /// Urgency.
    pub class: Class,
    /// When the caller stops waiting, on this process's clock.
    pub deadline: Moment,
    /// Whether the request may be sent again when it is unknown whether it ran.
    pub idempotent: bool,
    /// Tokens in the prompt, 0 for plain calls.
    pub prompt_tokens: Tokens,
    /// Largest number of tokens to produce, 0 for plain calls.
    pub max_output: Tokens,
    /// Hashes of the prompt's leading blocks, longest prefix last.
    pub prefix: Vec<u64>,
    /// How many tokens the generation will really produce. Set by the load generator for the
    /// oracle baseline only.
    pub true_output: Option<Tokens>,
}

/// How the work under a permit ended, as the gateway observed it.
pub type WorkOutcome = wire::Outcome;

/// A permit to send one request to one target. A permit dropped without `finish` or `retry` counts
/// as failed work that may still run at the target.
#[async_trait]
pub trait PermitHandle: Send + Sync {
    /// Returns the target to send to.
    fn target(&self) -> &Target;

    /// Whether the permit is still valid. Must be checked right before the first byte is sent; if
    /// it returns false, nothing may be sent and the permit ends with `Unsent`.
    fn may_send(&self) -> bool;

    /// Reports that the caller has received the first `produced` tokens of the answer.
    fn report_progress(&self, produced: Tokens);

    /// Reports that the engine has produced this many tokens, none of which the caller has
    /// received: the answer is buffered to be sent at once, so the permit may still be revoked.
    fn report_buffered(&self, produced: Tokens) {
        let _ = produced;
    }

    /// Completes when the permit is revoked. This happens only while no token has reached the
    /// caller, and none may be sent afterwards: cancel the work at the engine, then call `retry`.
    async fn revoked(&self);

    /// Reports how the work ended and gives the permit back.
    fn finish(self: Box<Self>, outcome: WorkOutcome);

    /// Reports how this attempt ended and waits for another permit for the same request, within
    /// its retry budget and deadline and avoiding targets that failed.
    ///
    /// # Errors
    /// Returns the refusal for the caller if there is no further permit.
    async fn retry(self: Box<Self>, outcome: WorkOutcome)
    -> Result<Box<dyn PermitHandle>, Refusal>;
}

/// Admission of requests.
#[async_trait]
pub trait Admission: Send + Sync {
    /// Returns the time on this process's clock.
    fn now(&self) -> Moment;

    /// Waits for a permit to send the request.
    ///
    /// # Errors
    /// Returns the refusal for the caller if the request is not admitted.
    async fn admit(&self, request: AdmissionRequest) -> Result<Box<dyn PermitHandle>, Refusal>;

    /// Returns the target with this id, `None` if the platform no longer lists it.
    fn find_target(&self, target: &str) -> Option<Target>;

    /// Returns another target of the same service that is in service, if there is one.
    fn another_target(&self, target: &Target) -> Option<Target>;

    /// Takes over the permit of a stream that its caller resumes here after `produced` tokens.
    fn adopt(
        &self,
        target: &Target,
        request: AdmissionRequest,
        produced: Tokens,
    ) -> Box<dyn PermitHandle>;

    /// Whether new requests are accepted: false before the first configuration and in the last
    /// phase of a shutdown.
    fn is_ready(&self) -> bool;
}
