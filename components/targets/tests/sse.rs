//! Splitting streams of events that arrive in chunks of any size.

use bytes::Bytes;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, prop_assert_eq, proptest};
use targets::sse::{Event, MAX_EVENT_BYTES, Splitter, SseError};

fn event(id: u64, data: &str) -> Event {
    Event {
        id: Some(id),
        data: Bytes::copy_from_slice(data.as_bytes()),
    }
}

fn split_all(chunks: &[&[u8]]) -> Vec<Event> {
    let mut splitter = Splitter::new();
    let mut out = Vec::new();
    for chunk in chunks {
        splitter
            .push(Bytes::copy_from_slice(chunk), &mut out)
            .expect("the stream is fine");
    }
    out
}

#[test]
fn an_event_has_its_id_and_its_data() {
    let out = split_all(&[b"id: 7\ndata: {\"a\":1}\n\n"]);
    assert_eq!(out, vec![event(7, "{\"a\":1}")]);
}

#[test]
fn comments_and_unknown_fields_are_ignored() {
    let out = split_all(&[b": busy\n\nevent: token\nretry: 5\nid:3\ndata:x\n\n"]);
    assert_eq!(out, vec![event(3, "x")]);
}

#[test]
fn carriage_returns_are_part_of_line_ends() {
    let out = split_all(&[b"id: 1\r\ndata: x\r\n\r\n"]);
    assert_eq!(out, vec![event(1, "x")]);
}

#[test]
fn several_lines_of_data_are_joined() {
    let out = split_all(&[b"id: 1\ndata: x\ndata: y\n\n"]);
    assert_eq!(out, vec![event(1, "x\ny")]);
}

#[test]
fn an_id_that_is_not_a_number_is_ignored() {
    let out = split_all(&[b"id: abc\ndata: x\n\nid: 99999999999999999999\ndata: y\n\n"]);
    assert!(out.iter().all(|event| event.id.is_none()));
    assert_eq!(out.len(), 2);
}

#[test]
fn an_endless_event_is_an_error() {
    // A faulty engine sends one endless line. Without a limit the instance would buffer it until it
    // runs out of memory, which would end all other streams too.
    let mut splitter = Splitter::new();
    let mut out = Vec::new();
    let chunk = Bytes::from(vec![b'x'; 64 * 1024]);
    let mut pushed = 0;
    let error = loop {
        pushed += chunk.len();
        assert!(
            pushed < 2 * MAX_EVENT_BYTES,
            "the splitter buffers without a limit"
        );
        if let Err(e) = splitter.push(chunk.clone(), &mut out) {
            break e;
        }
    };
    assert_eq!(error, SseError::TooLong);
    assert!(out.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn chunk_boundaries_do_not_affect_the_events(
        data in prop::collection::vec("[ -~]{0,40}", 1..20),
        cuts in prop::collection::vec(1_usize..50, 1..40),
    ) {
        let mut text = Vec::new();
        for (id, part) in data.iter().enumerate() {
            text.extend_from_slice(format!("id: {id}\ndata: {part}\n\n").as_bytes());
        }
        let mut chunks = Vec::new();
        let mut rest = text.as_slice();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, more) = rest.split_at((*cut).min(rest.len()));
            chunks.push(chunk);
            rest = more;
        }
        let expected: Vec<_> = data
            .iter()
            .enumerate()
            .map(|(id, part)| event(id as u64, part))
            .collect();
        prop_assert_eq!(split_all(&chunks), expected);
    }

    #[test]
    fn no_bytes_make_the_splitter_panic(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..20),
    ) {
        let mut splitter = Splitter::new();
        let mut out = Vec::new();
        let total: usize = chunks.iter().map(Vec::len).sum();
        for chunk in chunks {
            prop_assert!(splitter.push(chunk.into(), &mut out).is_ok());
        }
        prop_assert!(splitter.buffered_bytes() <= total);
    }
}
