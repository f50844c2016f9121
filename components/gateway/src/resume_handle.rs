//! The ids of a stream's events: what a caller needs to go on with it at any instance.
//!
//! An id is `TICKET.OFFSET`. The ticket names target, stream and account in base64url and ends
//! in a code made with the deployment's key over its content and the workspace: nobody can make
//! a ticket for a stream that they were not given, nor use another workspace's.

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use targets::StreamId;
use types::{Class, InstanceId, RouteId, TargetId, Tokens};

/// Bytes of the authentication code.
const CODE: usize = 16;
/// Bytes of an id at most: a longer one is none of ours.
const ID_LIMIT: usize = 2048;

/// What a ticket says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResumeHandle {
    /// Where the generation runs.
    pub target: TargetId,
    /// Its name there.
    pub stream: StreamId,
    /// The instance that relayed it.
    pub holder: InstanceId,
    /// The route it came by.
    pub route: RouteId,
    /// Its urgency.
    pub class: Class,
    /// Tokens in the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: Tokens,
    /// The most tokens to produce.
    pub max_output: Tokens,
}

/// Makes and checks tickets with the deployment's key.
#[derive(Clone)]
pub struct ResumeHandleCodec {
    mac: Hmac<Sha256>,
}

impl ResumeHandleCodec {
    /// Uses this key, the same at all instances.
    #[must_use]
    pub fn new(key: &str) -> Self {
        let mac = Hmac::new_from_slice(key.as_bytes());
        Self {
            mac: mac.expect("HMAC takes keys of any length"),
        }
    }

    /// Writes a ticket for a workspace's caller.
    #[must_use]
    pub fn write(&self, workspace: &str, ticket: &ResumeHandle) -> String {
        // A ticket has strings and numbers only, which always have an encoding.
        let mut content = rmp_serde::to_vec(ticket).expect("a ticket can be encoded");
        let code = self.code(workspace, &content);
        content.extend_from_slice(&code);
        URL_SAFE_NO_PAD.encode(content)
    }

    /// Reads an event id: the ticket and the event's offset. `None` if it is none of ours or
    /// belongs to another workspace.
    #[must_use]
    pub fn read(&self, workspace: &str, id: &str) -> Option<(ResumeHandle, Tokens)> {
        if id.len() > ID_LIMIT {
            return None;
        }
        let (ticket, offset) = id.rsplit_once('.')?;
        let bytes = URL_SAFE_NO_PAD.decode(ticket).ok()?;
        let (content, code) = bytes.split_at_checked(bytes.len().checked_sub(CODE)?)?;
        self.signed(workspace, content)
            .verify_truncated_left(code)
            .ok()?;
        let ticket = rmp_serde::from_slice(content).ok()?;
        Some((ticket, offset.parse().ok()?))
    }

    fn code(&self, workspace: &str, content: &[u8]) -> [u8; CODE] {
        let full = self.signed(workspace, content).finalize().into_bytes();
        let mut code = [0; CODE];
        code.copy_from_slice(&full[..CODE]);
        code
    }

    fn signed(&self, workspace: &str, content: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        // The length keeps the border between the two parts unambiguous.
        mac.update(b"celerystand stream ticket");
        mac.update(&(workspace.len() as u64).to_le_bytes());
        mac.update(workspace.as_bytes());
        mac.update(content);
        mac
    }
}
