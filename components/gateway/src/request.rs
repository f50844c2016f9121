//! What every request brings: headers of ours, a workspace, a body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use config::Current;
use hyper::{HeaderMap, Request, body::Incoming};
use net::{BodyError, Share, SharedError, read_shared};
use types::{Class, Moment, Refusal, WorkspaceId};

use crate::{auth, gateway::Core, refusals};

/// Names a route of the service.
pub const ROUTE: &str = "x-route";
/// Lowers the urgency.
pub const CLASS: &str = "x-class";
/// Shortens the deadline.
pub const DEADLINE: &str = "x-deadline-ms";
/// The route of callers that name none.
const DEFAULT_ROUTE: &str = "default";
/// Deadline where the configuration has none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Who asks, and under which configuration.
pub struct Caller {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// What is in force for the whole of this request.
    pub current: Arc<Current>,
    /// When the request came in, on the process's clock.
    pub arrived: Moment,
}

/// What a caller wishes by headers.
#[derive(Clone, Debug)]
pub struct Wishes {
    /// The route it names.
    pub route: Arc<str>,
    class: Option<Class>,
    deadline_ms: Option<u64>,
}

impl Caller {
    /// Finds out who asks.
    pub fn identify(core: &Core, headers: &HeaderMap) -> Result<Self, Refusal> {
        let arrived = core.admission.now();
        let current = core.current()?;
        let workspace = auth::workspace(headers, current.in_force.as_ref())?;
        Ok(Self {
            workspace,
            current,
            arrived,
        })
    }
}

impl Wishes {
    /// Reads the headers.
    pub fn read(headers: &HeaderMap) -> Result<Self, Refusal> {
        Ok(Self {
            route: header(headers, ROUTE)?.unwrap_or(DEFAULT_ROUTE).into(),
            class: header(headers, CLASS)?.map(class).transpose()?,
            deadline_ms: header(headers, DEADLINE)?.map(deadline).transpose()?,
        })
    }

    /// The urgency in force; the caller may lower but not raise it.
    pub fn class(&self, in_force: Option<Class>) -> Class {
        let in_force = in_force.unwrap_or_default();
        self.class.map_or(in_force, |wish| wish.max(in_force))
    }

    /// The deadline in force; the caller may shorten but not extend it.
    pub fn deadline(&self, arrived: Moment, in_force: Option<u64>) -> Moment {
        let in_force = in_force.unwrap_or(DEFAULT_DEADLINE_MS);
        let ms = self.deadline_ms.map_or(in_force, |wish| wish.min(in_force));
        arrived.saturating_add(Duration::from_millis(ms))
    }
}

/// Reads a header as text.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| wrong(name, "plain text"))?;
    Ok(Some(text.trim()))
}

fn class(text: &str) -> Result<Class, Refusal> {
    match text {
        "urgent" => Ok(Class::Urgent),
        "normal" => Ok(Class::Normal),
        "background" => Ok(Class::Background),
        _ => Err(wrong(CLASS, "`urgent`, `normal` or `background`")),
    }
}

fn deadline(text: &str) -> Result<u64, Refusal> {
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(ms),
        _ => Err(wrong(DEADLINE, "a whole number of milliseconds above zero")),
    }
}

fn wrong(name: &str, right: &str) -> Refusal {
    refusals::bad_request("bad-header", &format!("`{name}` must be {right}"))
}

/// A request's body, and its share of what all bodies may hold.
pub struct Held {
    /// The body.
    pub bytes: Bytes,
    /// Given back when the request is over.
    pub share: Share,
}

/// Reads the body within the limits.
pub async fn body(core: &Core, req: Request<Incoming>) -> Result<Held, Refusal> {
    let limit = core.limits.body_bytes;
    let patience = Duration::from_secs(core.limits.sender_seconds);
    let mut share = core.bodies.share();
    let read = read_shared(req.into_body(), limit, patience, &mut share).await;
    let bytes = read.map_err(|e| match e {
        SharedError::Body(BodyError::TooLarge) => refusals::too_large(limit),
        SharedError::Body(BodyError::TooSlow) => refusals::too_slow(),
        SharedError::Crowded => refusals::crowded(),
        SharedError::Body(BodyError::Broken) => refusals::broken_body(),
    })?;
    Ok(Held { bytes, share })
}
