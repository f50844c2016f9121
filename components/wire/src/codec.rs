//! Encoding and authentication of envelopes.
//!
//! Format: 32 bytes of HMAC-SHA256 over the rest, followed by the envelope in MessagePack.

use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use types::InstanceId;

use crate::message::Envelope;

/// Maximum size of an envelope in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 4 * 1024 * 1024;

const TAG_BYTES: usize = 32;

/// Why bytes were not accepted as an envelope.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum WireError {
    /// Longer than `MAX_ENVELOPE_BYTES`.
    #[display("the envelope is larger than {MAX_ENVELOPE_BYTES} bytes")]
    TooLarge,
    /// Too short, altered after it was authenticated, or authenticated with another key.
    #[display("the envelope is too short, was altered, or was authenticated with another key")]
    NotAuthentic,
    /// Authentic, but not a valid envelope.
    #[display("the envelope is authentic but cannot be decoded")]
    Undecodable,
    /// Sent by another version of celerystand.
    #[display(
        "the envelope has format {format}, but this instance accepts format {}",
        Envelope::FORMAT
    )]
    OtherFormat {
        /// Format of the envelope.
        format: u16,
    },
    /// Addressed to another instance.
    #[display("the envelope is addressed to another instance")]
    OtherReceiver,
}

/// Key that all instances share.
#[derive(Clone)]
pub struct Key {
    mac: Hmac<Sha256>,
}

impl Key {
    /// Creates a key from its text in the settings.
    #[must_use]
    pub fn new(text: &str) -> Self {
        let mac = Hmac::new_from_slice(text.as_bytes()).expect("HMAC accepts keys of any length");
        Self { mac }
    }

    /// Encodes and authenticates content for another instance.
    #[must_use]
    pub fn seal<T: serde::Serialize>(&self, content: &T) -> Vec<u8> {
        // The message types contain nothing that MessagePack cannot express.
        let body = rmp_serde::to_vec(content).expect("messages are encodable");
        let mut mac = self.mac.clone();
        mac.update(&body);
        let mut sealed = mac.finalize().into_bytes().to_vec();
        sealed.extend_from_slice(&body);
        sealed
    }

    /// Verifies and decodes bytes made by `seal`.
    ///
    /// # Errors
    /// The bytes are too long, not authentic or not decodable.
    pub fn open<T: serde::de::DeserializeOwned>(&self, sealed: &[u8]) -> Result<T, WireError> {
        if sealed.len() > MAX_ENVELOPE_BYTES {
            return Err(WireError::TooLarge);
        }
        let (tag, body) = sealed
            .split_at_checked(TAG_BYTES)
            .ok_or(WireError::NotAuthentic)?;
        let mut mac = self.mac.clone();
        mac.update(body);
        // Compares in constant time.
        mac.verify_slice(tag).map_err(|_| WireError::NotAuthentic)?;
        rmp_serde::from_slice(body).map_err(|_| WireError::Undecodable)
    }

    /// Verifies and decodes an envelope addressed to `me`.
    ///
    /// # Errors
    /// As for `open`; also if the envelope has another format or another receiver.
    pub fn open_envelope(&self, sealed: &[u8], me: &InstanceId) -> Result<Envelope, WireError> {
        let envelope: Envelope = self.open(sealed)?;
        if envelope.format != Envelope::FORMAT {
            return Err(WireError::OtherFormat {
                format: envelope.format,
            });
        }
        if envelope.to != *me {
            return Err(WireError::OtherReceiver);
        }
        Ok(envelope)
    }
}
