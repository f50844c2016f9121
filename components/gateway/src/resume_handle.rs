//! The ids of a stream's events, by which a caller can resume the stream at any instance.
//!
//! An id is `HANDLE.OFFSET`. The handle contains the target, the stream and its terms in base64url,
//! followed by an authentication code over its content and the workspace, made with the key of the
//! deployment. A caller can therefore neither forge a handle nor use one of another workspace.

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use targets::StreamId;
use types::{Class, InstanceId, RouteId, TargetId, Tokens};

/// Length of the authentication code, in bytes.
const CODE_LEN: usize = 16;
/// Longest id that is decoded, in bytes. Ids made here are shorter.
const MAX_ID_LEN: usize = 2048;

/// Identifies a running generation and the terms of its request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResumeHandle {
    /// The target that runs the generation.
    pub target: TargetId,
    /// Id of the stream at the target.
    pub stream: StreamId,
    /// The instance that delivers the stream.
    pub holder: InstanceId,
    /// The route by which the service was chosen.
    pub route: RouteId,
    /// Urgency.
    pub class: Class,
    /// Tokens in the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: Tokens,
    /// Largest number of tokens to produce.
    pub max_output: Tokens,
}

/// Encodes and authenticates resume handles with the key of the deployment.
#[derive(Clone)]
pub struct ResumeHandleCodec {
    mac: Hmac<Sha256>,
}

impl ResumeHandleCodec {
    /// Creates a codec with this key, which is the same at all instances.
    #[must_use]
    pub fn new(key: &str) -> Self {
        let mac = Hmac::new_from_slice(key.as_bytes());
        Self {
            mac: mac.expect("HMAC takes keys of any length"),
        }
    }

    /// Encodes a handle for callers of a workspace.
    #[must_use]
    pub fn encode(&self, workspace: &str, handle: &ResumeHandle) -> String {
        // A handle consists of strings and numbers, which can always be encoded.
        let mut content = rmp_serde::to_vec(handle).expect("a handle can be encoded");
        let code = self.authentication_code(workspace, &content);
        content.extend_from_slice(&code);
        URL_SAFE_NO_PAD.encode(content)
    }

    /// Decodes an event id into the handle and the offset of the event. Returns `None` if the id is
    /// invalid or belongs to another workspace.
    #[must_use]
    pub fn decode(&self, workspace: &str, id: &str) -> Option<(ResumeHandle, Tokens)> {
        if id.len() > MAX_ID_LEN {
            return None;
        }
        let (handle, offset) = id.rsplit_once('.')?;
        let bytes = URL_SAFE_NO_PAD.decode(handle).ok()?;
        let (content, code) = bytes.split_at_checked(bytes.len().checked_sub(CODE_LEN)?)?;
        self.mac_over(workspace, content)
            .verify_truncated_left(code)
            .ok()?;
        let handle = rmp_serde::from_slice(content).ok()?;
        Some((handle, offset.parse().ok()?))
    }

    fn authentication_code(&self, workspace: &str, content: &[u8]) -> [u8; CODE_LEN] {
        let full = self.mac_over(workspace, content).finalize().into_bytes();
        let mut code = [0; CODE_LEN];
        code.copy_from_slice(&full[..CODE_LEN]);
        code
    }

    fn mac_over(&self, workspace: &str, content: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        // The length makes the boundary between workspace and content unambiguous.
        mac.update(b"celerystand stream ticket");
        mac.update(&(workspace.len() as u64).to_le_bytes());
        mac.update(workspace.as_bytes());
        mac.update(content);
        mac
    }
}
