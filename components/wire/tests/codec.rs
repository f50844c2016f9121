//! Decoding of valid, foreign and malformed envelopes.

use proptest::prelude::*;
use types::{Moment, Shard};
use wire::{Envelope, Held, Key, Message, WireError};

const KEY: &str = "a key of enough characters";

fn envelope(to: &str) -> Envelope {
    let held = Held {
        shard: Shard::new(&"design".into(), &"colombo-1".into()),
        epoch: 7,
        stamp: Moment::from_millis(12),
        permits: Vec::new(),
    };
    Envelope {
        format: Envelope::FORMAT,
        from: "a".into(),
        incarnation: 3,
        to: to.into(),
        sequence: 1,
        messages: vec![Message::Held(held)],
    }
}

#[test]
fn an_envelope_survives_a_round_trip() {
    let key = Key::new(KEY);
    let sent = envelope("b");
    assert_eq!(key.open_envelope(&key.seal(&sent), &"b".into()), Ok(sent));
}

#[test]
fn an_envelope_for_another_instance_is_rejected() {
    let key = Key::new(KEY);
    let sealed = key.seal(&envelope("c"));
    assert_eq!(
        key.open_envelope(&sealed, &"b".into()),
        Err(WireError::OtherReceiver)
    );
}

#[test]
fn an_envelope_of_another_format_is_rejected() {
    let key = Key::new(KEY);
    let sealed = key.seal(&Envelope {
        format: 9,
        ..envelope("b")
    });
    assert_eq!(
        key.open_envelope(&sealed, &"b".into()),
        Err(WireError::OtherFormat { format: 9 })
    );
}

#[test]
fn an_envelope_made_with_another_key_is_rejected() {
    let sealed = Key::new("another key of some length").seal(&envelope("b"));
    let opened = Key::new(KEY).open_envelope(&sealed, &"b".into());
    assert_eq!(opened, Err(WireError::NotAuthentic));
}

proptest! {
    // An instance of another version or a faulty one may send any bytes; they must not end the
    // process.
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Key::new(KEY).open_envelope(&bytes, &"b".into()).is_err());
    }

    #[test]
    fn a_truncated_envelope_is_rejected(keep in 0_usize..100) {
        let key = Key::new(KEY);
        let mut sealed = key.seal(&envelope("b"));
        let keep = keep.min(sealed.len() - 1);
        sealed.truncate(keep);
        prop_assert_eq!(key.open_envelope(&sealed, &"b".into()), Err(WireError::NotAuthentic));
    }

    #[test]
    fn authentic_but_invalid_content_is_rejected(
        bytes in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let key = Key::new(KEY);
        let sealed = key.seal(&bytes);
        prop_assert!(key.open_envelope(&sealed, &"b".into()).is_err());
    }
}
