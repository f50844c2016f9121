//! What the gateway asks of the decisions.

use async_trait::async_trait;
use types::{Class, Moment, Refusal, RouteId, ServiceId, ServiceKind, Target, Tokens, WorkspaceId};

/// A request waiting for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Which service.
    pub service: ServiceId,
    /// What the service's targets are.
    pub kind: ServiceKind,
    /// Who asks.
    pub workspace: WorkspaceId,
    /// By which route.
    pub route: RouteId,
    /// Urgency.
    pub class: Class,
    /// When the caller's patience ends, on this process's clock.
    pub deadline: Moment,
    /// Whether it may be sent again when it is unknown whether it ran.
    pub idempotent: bool,
    /// Tokens in the prompt, 0 for plain calls.
    pub prompt_tokens: Tokens,
    /// The most tokens to produce, 0 for plain calls.
    pub max_output: Tokens,
    /// Hashes of the prompt's leading blocks, longest last.
    pub prefix: Vec<u64>,
    /// How many tokens it really produces; set by the load tool for the oracle baseline only.
    pub true_output: Option<Tokens>,
}

/// How work under a permit ended, as the gateway sees it.
pub type WorkOutcome = wire::Outcome;

/// A request that holds a permit. Dropping it reports the work as cancelled.
#[async_trait]
pub trait PermitHandle: Send + Sync {
    /// Where to send.
    fn target(&self) -> &Target;

    /// Tells whether sending is still allowed, to be asked right before the first byte leaves.
    /// On `false` nothing may be sent; end it with `Unsent`.
    fn may_send(&self) -> bool;

    /// Reports that the answer has `produced` tokens by now and that the caller sees them.
    fn report_progress(&self, produced: Tokens);

    /// Reports that the engine has produced this many tokens by now, none of which a caller has
    /// seen: the answer is being gathered to be sent whole, so it may still be pulled back.
    fn report_buffered(&self, produced: Tokens) {
        let _ = produced;
    }

    /// Completes when the permit is pulled back: no token has reached the caller yet, and none
    /// may from now on; cancel at the engine, then call `again`.
    async fn revoked(&self);

    /// Reports how it ended.
    fn finish(self: Box<Self>, outcome: WorkOutcome);

    /// Reports how this try ended and waits for another permit for the same request, with the
    /// retry budget, the deadline and the failed targets taken into account.
    async fn retry(self: Box<Self>, outcome: WorkOutcome)
    -> Result<Box<dyn PermitHandle>, Refusal>;
}

/// Admission of requests.
#[async_trait]
pub trait Admission: Send + Sync {
    /// The time on this process's clock.
    fn now(&self) -> Moment;

    /// Waits until the request may be sent, or is refused.
    async fn admit(&self, request: AdmissionRequest) -> Result<Box<dyn PermitHandle>, Refusal>;

    /// Finds the target that runs a stream which a caller wants to go on with; `None` if the
    /// platform's list no longer has it.
    fn find_target(&self, target: &str) -> Option<Target>;

    /// Takes over the account of a stream that a caller goes on with here.
    fn adopt(
        &self,
        target: &Target,
        request: AdmissionRequest,
        produced: Tokens,
    ) -> Box<dyn PermitHandle>;

    /// Whether new requests are taken: false before the first configuration and in the last
    /// part of a shutdown.
    fn is_ready(&self) -> bool;
}
