//! What two instances tell each other about a relayed request, beside the request itself. It is in
//! headers of their own, which the target and the caller don't see.

use std::{sync::Arc, time::Duration};

use hyper::{
    HeaderMap,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING},
};
use types::{InstanceId, TargetId, millis};

use crate::signals::Purpose;

/// Marks a relayed request and names its target; in the response, says what became of it.
const RELAY: HeaderName = HeaderName::from_static("celerystand-relay");
const FROM: HeaderName = HeaderName::from_static("celerystand-from");
const REQUEST: HeaderName = HeaderName::from_static("celerystand-request");
const STARTED_AT: HeaderName = HeaderName::from_static("celerystand-started-at");
const PURPOSE: HeaderName = HeaderName::from_static("celerystand-purpose");
const TIME_LEFT: HeaderName = HeaderName::from_static("celerystand-time-left");
const REASON: HeaderName = HeaderName::from_static("celerystand-reason");
/// Whether the target's response marks the end of its body.
const FRAMED: HeaderName = HeaderName::from_static("celerystand-framed");
/// Whether the request was sent before.
const REPEAT: HeaderName = HeaderName::from_static("celerystand-repeat");
const OWN: [HeaderName; 9] = [
    RELAY, FROM, REQUEST, STARTED_AT, PURPOSE, TIME_LEFT, REASON, FRAMED, REPEAT,
];

/// The longest reason that is sent.
const MAX_REASON_BYTES: usize = 200;

/// Which target a relayed request is for, and from whom it comes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// The target.
    pub target: TargetId,
    /// Start of the target's process in Unix milliseconds, if listed.
    pub started_at: Option<u64>,
    /// The instance that relays the request.
    pub from: InstanceId,
    /// The id of the caller's request.
    pub request: Arc<str>,
    /// What the request is for.
    pub purpose: Purpose,
    /// Time until the answer must be there.
    pub time_left: Duration,
    /// The request was sent before, so that it needs a connection of its own: instances of earlier versions do not
    /// know which requests a connection has carried.
    pub is_repeat: bool,
}

impl Envelope {
    /// Adds the envelope to a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        set(headers, RELAY, &self.target);
        set(headers, FROM, &self.from);
        set(headers, REQUEST, &self.request);
        if let Some(started_at) = self.started_at {
            set(headers, STARTED_AT, &started_at.to_string());
        }
        let purpose = match self.purpose {
            Purpose::NewWork => "new",
            Purpose::RunningWork => "running",
        };
        set(headers, PURPOSE, purpose);
        set(headers, TIME_LEFT, &millis(self.time_left).to_string());
        if self.is_repeat {
            set(headers, REPEAT, "1");
        }
    }

    /// Takes the envelope off a request; none if it is no relayed request, or an unreadable one.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let purpose = match text(headers, &PURPOSE)? {
            "new" => Purpose::NewWork,
            "running" => Purpose::RunningWork,
            _ => return None,
        };
        let started_at = text(headers, &STARTED_AT).map(str::parse);
        let envelope = Self {
            target: text(headers, &RELAY)?.into(),
            started_at: started_at.transpose().ok()?,
            from: text(headers, &FROM)?.into(),
            request: text(headers, &REQUEST)?.into(),
            purpose,
            time_left: Duration::from_millis(text(headers, &TIME_LEFT)?.parse().ok()?),
            is_repeat: headers.contains_key(REPEAT),
        };
        remove_own(headers);
        Some(envelope)
    }
}

/// The id of the caller's request, as a relayed request names it.
#[must_use]
pub fn request_id(headers: &HeaderMap) -> Arc<str> {
    text(headers, &REQUEST).unwrap_or_default().into()
}

/// Whether a request is a relayed one.
#[must_use]
pub fn is_relayed(headers: &HeaderMap) -> bool {
    headers.contains_key(RELAY)
}

/// What became of a relayed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayOutcome {
    /// The target has answered; the answer follows.
    Answered,
    /// The relaying instance does not take it: it is stopping, has enough of its own, or does not know
    /// the sender or the target. Nothing was sent.
    Declined,
    /// No connection to the target opened, so nothing was sent.
    NotReached {
        /// Whether the relaying instance reaches other targets of the service.
        reaches_others: bool,
    },
    /// Nothing was sent because of what the target has said of itself.
    Withheld,
    /// It was sent, and no valid answer came. It may have run.
    Lost,
}

impl RelayOutcome {
    const fn name(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Declined => "declined",
            Self::NotReached {
                reaches_others: true,
            } => "target-not-reached",
            Self::NotReached {
                reaches_others: false,
            } => "not-reached",
            Self::Withheld => "withheld",
            Self::Lost => "lost",
        }
    }

    fn parse(name: &str) -> Option<Self> {
        let reached = |reaches_others| Self::NotReached { reaches_others };
        let all = [
            Self::Answered,
            Self::Declined,
            reached(true),
            reached(false),
            Self::Withheld,
            Self::Lost,
        ];
        all.into_iter().find(|outcome| outcome.name() == name)
    }

    /// Adds the outcome and its reason to the response to a relayed request.
    pub fn write(&self, headers: &mut HeaderMap, request: &str, reason: &str) {
        set(headers, RELAY, self.name());
        set(headers, REQUEST, request);
        let visible = reason.chars().filter(|c| c.is_ascii() && !c.is_control());
        let reason: String = visible.take(MAX_REASON_BYTES).collect();
        set(headers, REASON, &reason);
    }
}

/// What an instance states of a request that it was to relay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayStatement {
    outcome: RelayOutcome,
    reason: Arc<str>,
}

impl RelayStatement {
    /// Takes the statement off the response to a relayed request; none if the response does not state, for
    /// this request and no other, what became of it.
    pub fn take(headers: &mut HeaderMap, request: &str) -> Option<Self> {
        let outcome = stated_outcome(headers, request)?;
        let reason = text(headers, &REASON).unwrap_or_default().into();
        let is_framed = text(headers, &FRAMED) != Some("0");
        remove_own(headers);
        if !is_framed {
            // The stream between the instances marks its end, but the target's did not.
            headers.remove(CONTENT_LENGTH);
            headers.remove(TRANSFER_ENCODING);
        }
        Some(Self { outcome, reason })
    }

    /// What became of the request.
    #[must_use]
    pub const fn outcome(&self) -> &RelayOutcome {
        &self.outcome
    }

    /// The reason.
    #[must_use]
    pub const fn reason(&self) -> &Arc<str> {
        &self.reason
    }
}

/// What the response to a relayed request states of it; none if it states nothing, or names another request.
#[must_use]
pub fn stated_outcome(headers: &HeaderMap, request: &str) -> Option<RelayOutcome> {
    let names_it = only(headers, &REQUEST)? == request;
    names_it.then(|| RelayOutcome::parse(only(headers, &RELAY)?))?
}

/// Records in a response whether the target's response marks the end of its body, and removes what
/// concerns the connection to the target only.
pub fn write_framing(headers: &mut HeaderMap) {
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    headers.remove("keep-alive");
    set(headers, FRAMED, if is_framed { "1" } else { "0" });
}

fn remove_own(headers: &mut HeaderMap) {
    for name in &OWN {
        headers.remove(name);
    }
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The value of a header that is there once.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then(|| value.to_str().ok())?
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
