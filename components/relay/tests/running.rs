//! Streams over links that break, fall silent, repeat and skip.

mod scripted;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert_eq, proptest};
use relay::{Broken, Closed, End, Relay, Sink};
use scripted::{Link, Scripted, Step, call, target, token};
use targets::TargetError;
use timer::Timer;
use types::Tokens;

/// Keeps what it gets, and checks that it is in order.
#[derive(Default)]
struct Kept {
    data: Vec<Bytes>,
    room: Option<usize>,
}

#[async_trait::async_trait]
impl Sink for Kept {
    async fn tokens(&mut self, first: Tokens, data: Vec<Bytes>) -> Result<(), Closed> {
        assert_eq!(first, self.data.len() as Tokens, "tokens came out of order");
        if self.room.is_some_and(|room| self.data.len() >= room) {
            return Err(Closed);
        }
        self.data.extend(data);
        Ok(())
    }
}

/// Runs a generation over these links: the first for the start, each other one for a resumption.
fn run(links: Vec<Link>) -> (Arc<Scripted>, End, Vec<Bytes>) {
    let engine = Arc::new(Scripted::new(links));
    let relay = Relay::new(engine.clone(), Timer::new());
    let mut kept = Kept::default();
    let end = smol::block_on(async {
        let mut running = relay.start(&target(), &call()).await.expect("it starts");
        running.pump(&mut kept).await
    });
    (engine, end, kept.data)
}

fn tokens(count: Tokens) -> Vec<Bytes> {
    (0..count).map(token).collect()
}

#[test]
fn a_whole_stream_comes_through_as_it_is() {
    let (engine, end, data) = run(vec![Ok(vec![
        Step::Tokens(0, 3),
        Step::Tokens(3, 2),
        Step::End,
    ])]);
    assert_eq!(end, End::Finished);
    assert_eq!(data, tokens(5));
    assert!(engine.resumed().is_empty());
}

#[test]
fn a_cut_link_is_resumed_at_the_next_token() {
    // A switch drops the connection in the middle of a draft. Without a resumption the editor
    // sees half a sentence; with one from the wrong place, words twice or not at all.
    let (engine, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 3), Step::Cut]),
        Ok(vec![Step::Tokens(3, 1), Step::Cut]),
        Ok(vec![Step::Tokens(4, 2), Step::End]),
    ]);
    assert_eq!(end, End::Finished);
    assert_eq!(data, tokens(6));
    assert_eq!(engine.resumed(), vec![3, 4]);
}

#[test]
fn a_link_cut_before_the_first_token_is_resumed_from_the_start() {
    // The connection breaks while the engine still reads the prompt. The generation runs, so
    // starting another one would make two.
    let (engine, end, data) = run(vec![
        Ok(vec![Step::Cut]),
        Ok(vec![Step::Tokens(0, 2), Step::End]),
    ]);
    assert_eq!(end, End::Finished);
    assert_eq!(data, tokens(2));
    assert_eq!(engine.resumed(), vec![0]);
}

#[test]
fn a_silent_link_is_replaced_by_a_new_one() {
    // Something between the two ends has lost track of the connection: it stays open and
    // nothing ever comes over it. The caller would look at a frozen answer for good.
    let (engine, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 1), Step::Tokens(1, 1), Step::Silent]),
        Ok(vec![Step::Tokens(2, 2), Step::End]),
    ]);
    assert_eq!(end, End::Finished);
    assert_eq!(data, tokens(4));
    assert_eq!(engine.resumed(), vec![2]);
}

#[test]
fn repeated_events_reach_the_caller_once() {
    // An engine that resumes sends again what it had sent last. Passed on, the caller would read
    // the same words twice.
    let (_, end, data) = run(vec![
        Ok(vec![
            Step::Tokens(0, 3),
            Step::Tokens(1, 2),
            Step::Tokens(2, 3),
            Step::Cut,
        ]),
        Ok(vec![Step::Tokens(0, 6), Step::End]),
    ]);
    assert_eq!(end, End::Finished);
    assert_eq!(data, tokens(6));
}

#[test]
fn a_gap_in_the_offsets_is_fetched_from_the_engine() {
    // Events get lost on the way, for instance in a buffer that an engine drops. Passed on, the
    // answer would lack words and nobody could tell.
    let (engine, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 2), Step::Tokens(4, 2), Step::End]),
        Ok(vec![Step::Tokens(2, 4), Step::End]),
    ]);
    assert_eq!(end, End::Finished);
    assert_eq!(data, tokens(6));
    assert_eq!(engine.resumed(), vec![2]);
}

#[test]
fn an_answer_of_another_stream_is_not_passed_on() {
    // A proxy hands the answer of another request to this connection. The caller would read
    // somebody else's text.
    let (_, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 1), Step::Cut]),
        Ok(vec![Step::Other, Step::Tokens(1, 9), Step::End]),
        Ok(vec![Step::Tokens(1, 1), Step::End]),
    ]);
    assert_eq!(end, End::Finished);
    assert_eq!(data, tokens(2));
}

#[test]
fn an_engine_that_lost_the_stream_ends_it_as_broken() {
    // The engine was restarted: it answers, but knows nothing of the generation. The caller must
    // hear that the answer stops here.
    let (engine, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 2), Step::Cut]),
        Err(TargetError::Gone),
    ]);
    assert_eq!(end, End::Broken(Broken::Gone));
    assert_eq!(data, tokens(2));
    assert!(engine.cancelled().is_empty());
}

#[test]
fn an_engine_that_refuses_connections_counts_as_gone_after_a_few_tries() {
    // The engine's machine was reclaimed. Waiting for it for good would leave the caller with a
    // frozen answer.
    let refused = || {
        Err(TargetError::Unsent {
            reason: "refused".into(),
        })
    };
    let mut links = vec![Ok(vec![Step::Tokens(0, 2), Step::Cut])];
    links.extend((0..20).map(|_| refused()));
    let (engine, end, data) = run(links);
    assert!(matches!(end, End::Broken(Broken::Unreachable { .. })));
    assert_eq!(data, tokens(2));
    assert_eq!(engine.resumed().len(), 6);
}

#[test]
fn a_refused_resumption_that_works_later_loses_nothing() {
    // The engine refuses connections for a moment, for instance because its backlog is full.
    let (_, end, data) = run(vec![
        Ok(vec![Step::Tokens(0, 2), Step::Cut]),
        Err(TargetError::Unsent {
            reason: "refused".into(),
        }),
        Err(TargetError::Lost {
            reason: "reset".into(),
        }),
        Ok(vec![Step::Tokens(2, 2), Step::End]),
    ]);
    assert_eq!(end, End::Finished);
    assert_eq!(data, tokens(4));
}

#[test]
fn a_generation_dropped_before_its_end_is_cancelled() {
    // The caller went away while its request was starting. The engine would write the answer to
    // its very end for nobody, and hold memory that others wait for.
    let engine = Arc::new(Scripted::new(vec![Ok(vec![
        Step::Tokens(0, 1),
        Step::Silent,
    ])]));
    let relay = Relay::new(engine.clone(), Timer::new());
    smol::block_on(async {
        let mut running = relay.start(&target(), &call()).await.expect("it starts");
        running.next().await.expect("a token comes");
        drop(running);
        while engine.cancelled().is_empty() {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    });
    assert_eq!(engine.cancelled().len(), 1);
}

#[test]
fn a_released_generation_is_not_cancelled() {
    // The caller goes on with its stream at another instance. Cancelling it here would cut it
    // there.
    let engine = Arc::new(Scripted::new(vec![Ok(vec![
        Step::Tokens(0, 1),
        Step::Silent,
    ])]));
    let relay = Relay::new(engine.clone(), Timer::new());
    smol::block_on(async {
        let mut running = relay.start(&target(), &call()).await.expect("it starts");
        running.next().await.expect("a token comes");
        running.release();
        smol::Timer::after(Duration::from_millis(50)).await;
    });
    assert!(engine.cancelled().is_empty());
}

#[test]
fn a_sink_that_takes_no_more_leaves_the_generation_running() {
    let engine = Arc::new(Scripted::new(vec![Ok(vec![
        Step::Tokens(0, 2),
        Step::Tokens(2, 2),
        Step::End,
    ])]));
    let relay = Relay::new(engine.clone(), Timer::new());
    let mut kept = Kept {
        room: Some(2),
        ..Kept::default()
    };
    let end = smol::block_on(async {
        let mut running = relay.start(&target(), &call()).await.expect("it starts");
        let end = running.pump(&mut kept).await;
        running.release();
        end
    });
    assert_eq!(end, End::Closed);
    assert_eq!(kept.data, tokens(2));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_token_comes_once_and_in_order_over_any_links(
        total in 1_u64..40,
        cuts in prop::collection::vec((0_u64..12, 0_u64..4, any::<bool>()), 0..6),
    ) {
        // Each link serves from a little before the place asked for, some tokens, then breaks
        // off, some with a gap first.
        let mut links = Vec::new();
        let mut at = 0_u64;
        for (length, back, gap) in cuts {
            let from = at.saturating_sub(back);
            let to = (at + length).min(total);
            let mut steps = vec![Step::Tokens(from, to - from)];
            if gap && to + 1 < total {
                steps.push(Step::Tokens(to + 1, total - to - 1));
            } else {
                steps.push(Step::Cut);
            }
            links.push(Ok(steps));
            at = to;
        }
        links.push(Ok(vec![Step::Tokens(at, total - at), Step::End]));
        let (_, end, data) = run(links);
        prop_assert_eq!(end, End::Finished);
        prop_assert_eq!(data, tokens(total));
    }
}
