//! The parts that all requests have in common: the caller, option headers and the body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use config::CurrentConfig;
use hyper::{HeaderMap, Request, body::Incoming};
use net::{BodyError, Share, SharedError, read_shared};
use types::{Class, Moment, Refusal, WorkspaceId};

use crate::{auth, gateway::Core, refusals, send_gate::SendGate};

/// Header that selects a route of the service.
pub const ROUTE: &str = "x-route";
/// Header that lowers the urgency.
pub const CLASS: &str = "x-class";
/// Header that shortens the deadline.
pub const DEADLINE: &str = "x-deadline-ms";
/// Route of requests that select none.
const DEFAULT_ROUTE: &str = "default";
/// Deadline if the configuration sets none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// The caller, and the configuration that applies to its request.
pub struct Caller {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The configuration in force when the request arrived; it applies to the whole request.
    pub current: Arc<CurrentConfig>,
    /// When the request arrived, on this process's clock.
    pub arrived: Moment,
    /// What the request passes before it is sent to a target.
    pub gate: SendGate,
}

/// Options that a caller sets by headers.
#[derive(Clone, Debug)]
pub struct RequestOptions {
    /// The selected route.
    pub route: Arc<str>,
    class: Option<Class>,
    deadline_ms: Option<u64>,
}

impl Caller {
    /// Identifies the caller by its key.
    pub fn identify(core: &Core, headers: &HeaderMap) -> Result<Self, Refusal> {
        let arrived = core.admission.now();
        let current = core.current()?;
        let workspace = auth::workspace(headers, current.effective.as_ref())?;
        Ok(Self {
            workspace,
            current,
            arrived,
            gate: SendGate::default(),
        })
    }
}

impl RequestOptions {
    /// Reads the headers.
    pub fn read(headers: &HeaderMap) -> Result<Self, Refusal> {
        Ok(Self {
            route: header(headers, ROUTE)?.unwrap_or(DEFAULT_ROUTE).into(),
            class: header(headers, CLASS)?.map(parse_class).transpose()?,
            deadline_ms: header(headers, DEADLINE)?
                .map(parse_deadline_ms)
                .transpose()?,
        })
    }

    /// Returns the urgency: the effective one, which the caller may lower but not raise.
    pub fn class(&self, effective: Option<Class>) -> Class {
        let effective = effective.unwrap_or_default();
        self.class.map_or(effective, |wanted| wanted.max(effective))
    }

    /// Returns the deadline: the effective one, in milliseconds after arrival, which the caller may
    /// shorten but not extend.
    pub fn deadline(&self, arrived: Moment, effective: Option<u64>) -> Moment {
        let effective = effective.unwrap_or(DEFAULT_DEADLINE_MS);
        let ms = self
            .deadline_ms
            .map_or(effective, |wanted| wanted.min(effective));
        arrived.saturating_add(Duration::from_millis(ms))
    }
}

/// Reads a header as text.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| invalid_header(name, "plain text"))?;
    Ok(Some(text.trim()))
}

fn parse_class(text: &str) -> Result<Class, Refusal> {
    match text {
        "urgent" => Ok(Class::Urgent),
        "normal" => Ok(Class::Normal),
        "background" => Ok(Class::Background),
        _ => Err(invalid_header(CLASS, "`urgent`, `normal` or `background`")),
    }
}

fn parse_deadline_ms(text: &str) -> Result<u64, Refusal> {
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(ms),
        _ => Err(invalid_header(
            DEADLINE,
            "a whole number of milliseconds above zero",
        )),
    }
}

fn invalid_header(name: &str, expected: &str) -> Refusal {
    refusals::bad_request("bad-header", &format!("`{name}` must be {expected}"))
}

/// A request's body and the memory reserved for it.
pub struct RequestBody {
    /// The body.
    pub bytes: Bytes,
    /// The reserved memory, given back when dropped.
    pub share: Share,
}

/// Reads the body within the limits of size, time and memory.
pub async fn body(core: &Core, req: Request<Incoming>) -> Result<RequestBody, Refusal> {
    let limit = core.limits.body_bytes;
    let timeout = Duration::from_secs(core.limits.sender_seconds);
    let mut share = core
        .memory
        .reserve_request()
        .ok_or_else(refusals::bodies_crowded)?;
    let read = read_shared(req.into_body(), limit, timeout, &mut share).await;
    let bytes = read.map_err(|e| match e {
        SharedError::Body(BodyError::TooLarge) => refusals::body_too_large(limit),
        SharedError::Body(BodyError::TooSlow) => refusals::body_too_slow(),
        SharedError::BudgetExhausted => refusals::bodies_crowded(),
        SharedError::Body(BodyError::Broken) => refusals::incomplete_body(),
    })?;
    Ok(RequestBody { bytes, share })
}
