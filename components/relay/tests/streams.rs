//! Streams over connections that break, go silent, repeat tokens and skip tokens.

mod scripted_engine;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert_eq, proptest};
use reach::ABSENCE_TIME;
use relay::{ReceiverClosed, Relay, StreamEnd, StreamError, TokenSink};
use scripted_engine::{ConnectionScript, ScriptedEngine, Step, call, target, token};
use targets::TargetError;
use timer::Timer;
use types::Tokens;

/// Collects tokens, checks their order, and closes after `capacity` tokens.
#[derive(Default)]
struct CollectingSink {
    data: Vec<Bytes>,
    capacity: Option<usize>,
}

#[async_trait::async_trait]
impl TokenSink for CollectingSink {
    async fn write_tokens(
        &mut self,
        first: Tokens,
        data: Vec<Bytes>,
    ) -> Result<(), ReceiverClosed> {
        assert_eq!(first, self.data.len() as Tokens, "tokens came out of order");
        if self
            .capacity
            .is_some_and(|capacity| self.data.len() >= capacity)
        {
            return Err(ReceiverClosed);
        }
        self.data.extend(data);
        Ok(())
    }
}

/// Runs a generation over scripted connections: the first for the start, each further one for a
/// resumption.
fn run(connections: Vec<ConnectionScript>) -> (Arc<ScriptedEngine>, StreamEnd, Vec<Bytes>) {
    let engine = Arc::new(ScriptedEngine::new(connections));
    let relay = Relay::new(engine.clone(), Timer::new());
    let mut sink = CollectingSink::default();
    let end = smol::block_on(async {
        let mut stream = relay
            .start(&target(), &call())
            .await
            .expect("the generation starts");
        stream.forward_to(&mut sink).await
    });
    (engine, end, sink.data)
}

fn tokens(count: Tokens) -> Vec<Bytes> {
    (0..count).map(token).collect()
}

#[test]
fn an_uninterrupted_stream_is_forwarded_unchanged() {
    let (engine, end, data) = run(vec![Ok(vec![
        Step::Tokens(0, 3),
        Step::Tokens(3, 2),
        Step::End,
    ])]);
    assert_eq!(end, StreamEnd::Finished);
    assert_eq!(data, tokens(5));
    assert!(engine.resumed().is_empty());
}

#[test]
fn a_broken_connection_is_resumed_at_the_next_token() {
    // The network drops the connection in mid-stream. Without a resumption the answer would end
    // early; with one from the wrong offset it would repeat or lose words.
    let (engine, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 3), Step::Break]),
        Ok(vec![Step::Tokens(3, 1), Step::Break]),
        Ok(vec![Step::Tokens(4, 2), Step::End]),
    ]);
    assert_eq!(end, StreamEnd::Finished);
    assert_eq!(data, tokens(6));
    assert_eq!(engine.resumed(), vec![3, 4]);
}

#[test]
fn a_connection_broken_before_the_first_token_is_resumed_from_the_start() {
    // The connection breaks while the engine still processes the prompt. The generation is
    // running, so starting another one would run the request twice.
    let (engine, end, data) = run(vec![
        Ok(vec![Step::Break]),
        Ok(vec![Step::Tokens(0, 2), Step::End]),
    ]);
    assert_eq!(end, StreamEnd::Finished);
    assert_eq!(data, tokens(2));
    assert_eq!(engine.resumed(), vec![0]);
}

#[test]
fn a_silent_connection_is_replaced() {
    // A middlebox drops its state of the connection: it stays open, but nothing arrives over it
    // any more. The answer would hang forever.
    let (engine, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 1), Step::Tokens(1, 1), Step::Silent]),
        Ok(vec![Step::Tokens(2, 2), Step::End]),
    ]);
    assert_eq!(end, StreamEnd::Finished);
    assert_eq!(data, tokens(4));
    assert_eq!(engine.resumed(), vec![2]);
}

#[test]
fn repeated_tokens_are_forwarded_once() {
    // An engine may repeat its last tokens when a stream is resumed. The caller must not get the
    // same words twice.
    let (_, end, data) = run(vec![
        Ok(vec![
            Step::Tokens(0, 3),
            Step::Tokens(1, 2),
            Step::Tokens(2, 3),
            Step::Break,
        ]),
        Ok(vec![Step::Tokens(0, 6), Step::End]),
    ]);
    assert_eq!(end, StreamEnd::Finished);
    assert_eq!(data, tokens(6));
}

#[test]
fn skipped_tokens_are_fetched_from_the_engine() {
    // Events get lost on the way, for instance when an engine drops a buffer. If the remaining
    // ones were forwarded, the answer would silently lack words.
    let (engine, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 2), Step::Tokens(4, 2), Step::End]),
        Ok(vec![Step::Tokens(2, 4), Step::End]),
    ]);
    assert_eq!(end, StreamEnd::Finished);
    assert_eq!(data, tokens(6));
    assert_eq!(engine.resumed(), vec![2]);
}

#[test]
fn tokens_of_another_stream_are_not_forwarded() {
    // A proxy mixes up connections and delivers the answer to another request. The caller would
    // get the text of somebody else.
    let (_, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 1), Step::Break]),
        Ok(vec![Step::OtherStream, Step::Tokens(1, 9), Step::End]),
        Ok(vec![Step::Tokens(1, 1), Step::End]),
    ]);
    assert_eq!(end, StreamEnd::Finished);
    assert_eq!(data, tokens(2));
}

#[test]
fn a_stream_that_the_engine_no_longer_knows_fails() {
    // The engine has restarted: it answers, but does not know the generation. The caller must
    // learn that the answer is incomplete.
    let (engine, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 2), Step::Break]),
        Err(TargetError::Gone),
    ]);
    assert_eq!(end, StreamEnd::Failed(StreamError::Gone));
    assert_eq!(data, tokens(2));
    assert!(engine.cancelled().is_empty());
}

#[test]
fn an_engine_that_refuses_connections_counts_as_gone_after_a_few_attempts() {
    // The engine's machine was reclaimed. Reconnecting without a limit would leave the caller with
    // an answer that hangs.
    let refused = || {
        Err(TargetError::Unsent {
            reason: "refused".into(),
        })
    };
    let mut connections = vec![Ok(vec![Step::Tokens(0, 2), Step::Break])];
    connections.extend((0..20).map(|_| refused()));
    let started = Instant::now();
    let (engine, end, data) = run(connections);
    // Refusals for a shorter time show that it takes no new connections at the moment.
    assert!(started.elapsed() >= ABSENCE_TIME);
    assert!(matches!(
        end,
        StreamEnd::Failed(StreamError::Unreachable { .. })
    ));
    assert_eq!(data, tokens(2));
    assert!((6..=7).contains(&engine.resumed().len()));
}

#[test]
fn a_resumption_that_succeeds_after_refusals_loses_no_token() {
    // The engine refuses connections for a short time, for instance because its backlog is full.
    let (_, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 2), Step::Break]),
        Err(TargetError::Unsent {
            reason: "refused".into(),
        }),
        Err(TargetError::Lost {
            reason: "reset".into(),
        }),
        Ok(vec![Step::Tokens(2, 2), Step::End]),
    ]);
    assert_eq!(end, StreamEnd::Finished);
    assert_eq!(data, tokens(4));
}

#[test]
fn a_generation_dropped_before_its_end_is_cancelled() {
    // The caller disconnects while its request is being started. Without a cancellation the
    // engine would run the generation to its end and hold memory that other requests need.
    let engine = Arc::new(ScriptedEngine::new(vec![Ok(vec![
        Step::Tokens(0, 1),
        Step::Silent,
    ])]));
    let relay = Relay::new(engine.clone(), Timer::new());
    smol::block_on(async {
        let mut stream = relay
            .start(&target(), &call())
            .await
            .expect("the generation starts");
        stream.next().await.expect("a token arrives");
        drop(stream);
        while engine.cancelled().is_empty() {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    });
    assert_eq!(engine.cancelled().len(), 1);
}

#[test]
fn a_detached_generation_is_not_cancelled() {
    // The caller resumed its stream at another instance. Cancelling it here would end it there.
    let engine = Arc::new(ScriptedEngine::new(vec![Ok(vec![
        Step::Tokens(0, 1),
        Step::Silent,
    ])]));
    let relay = Relay::new(engine.clone(), Timer::new());
    smol::block_on(async {
        let mut stream = relay
            .start(&target(), &call())
            .await
            .expect("the generation starts");
        stream.next().await.expect("a token arrives");
        stream.detach();
        smol::Timer::after(Duration::from_millis(50)).await;
    });
    assert!(engine.cancelled().is_empty());
}

#[test]
fn a_closed_sink_leaves_the_generation_running() {
    let engine = Arc::new(ScriptedEngine::new(vec![Ok(vec![
        Step::Tokens(0, 2),
        Step::Tokens(2, 2),
        Step::End,
    ])]));
    let relay = Relay::new(engine.clone(), Timer::new());
    let mut sink = CollectingSink {
        capacity: Some(2),
        ..CollectingSink::default()
    };
    let end = smol::block_on(async {
        let mut stream = relay
            .start(&target(), &call())
            .await
            .expect("the generation starts");
        let end = stream.forward_to(&mut sink).await;
        stream.detach();
        end
    });
    assert_eq!(end, StreamEnd::Closed);
    assert_eq!(sink.data, tokens(2));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_token_is_forwarded_once_and_in_order_over_any_connections(
        total in 1_u64..40,
        breaks in prop::collection::vec((0_u64..12, 0_u64..4, any::<bool>()), 0..6),
    ) {
        // Each connection starts a few tokens before the requested offset, sends some tokens and
        // breaks; some skip a token first.
        let mut connections = Vec::new();
        let mut at = 0_u64;
        for (length, overlap, skips) in breaks {
            let from = at.saturating_sub(overlap);
            let to = (at + length).min(total);
            let mut steps = vec![Step::Tokens(from, to - from)];
            if skips && to + 1 < total {
                steps.push(Step::Tokens(to + 1, total - to - 1));
            } else {
                steps.push(Step::Break);
            }
            connections.push(Ok(steps));
            at = to;
        }
        connections.push(Ok(vec![Step::Tokens(at, total - at), Step::End]));
        let (_, end, data) = run(connections);
        prop_assert_eq!(end, StreamEnd::Finished);
        prop_assert_eq!(data, tokens(total));
    }
}
