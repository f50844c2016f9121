//! Encoding and authentication of envelopes.
//!
//! Shape on the wire: 32 bytes HMAC-SHA256 over the rest, then the envelope in MessagePack.

use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use types::InstanceId;

use crate::message::Envelope;

/// The longest envelope that is taken, in bytes.
pub const MAX_ENVELOPE_BYTES: usize = 4 * 1024 * 1024;

const TAG_BYTES: usize = 32;

/// Why bytes are not an envelope for us.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum WireError {
    /// Longer than `SIZE_LIMIT`.
    #[display("the envelope is larger than {MAX_ENVELOPE_BYTES} bytes")]
    TooLarge,
    /// Too short, or made with another key.
    #[display("the envelope is not authentic")]
    NotAuthentic,
    /// Authentic, yet not an envelope.
    #[display("the envelope can't be decoded")]
    Garbled,
    /// Made by another version of celerystand.
    #[display(
        "the envelope has format {format}, this instance speaks {}",
        Envelope::FORMAT
    )]
    OtherFormat {
        /// Its format.
        format: u16,
    },
    /// Meant for another instance.
    #[display("the envelope is meant for another instance")]
    OtherReceiver,
}

/// The key that instances share.
#[derive(Clone)]
pub struct Key {
    mac: Hmac<Sha256>,
}

impl Key {
    /// Makes a key from the settings' text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        // HMAC takes keys of any length.
        let mac = Hmac::new_from_slice(text.as_bytes()).expect("HMAC takes any key");
        Self { mac }
    }

    /// Encodes and authenticates anything that instances exchange.
    #[must_use]
    pub fn seal<T: serde::Serialize>(&self, content: &T) -> Vec<u8> {
        // Our message types hold nothing that MessagePack can't express.
        let body = rmp_serde::to_vec(content).expect("messages are encodable");
        let mut mac = self.mac.clone();
        mac.update(&body);
        let mut sealed = mac.finalize().into_bytes().to_vec();
        sealed.extend_from_slice(&body);
        sealed
    }

    /// Checks and decodes what `seal` made.
    ///
    /// # Errors
    /// Tells what is wrong with the bytes.
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
        rmp_serde::from_slice(body).map_err(|_| WireError::Garbled)
    }

    /// Checks and decodes an envelope meant for `me`.
    ///
    /// # Errors
    /// Tells what is wrong with the bytes.
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
