//! Where a topic of the store is followed, and what comes next when that fails.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fastrand::Rng;
use front::store::{
    fanout::{READERS, Ranking},
    sources::{Source, SourceFailure, SourceSelector},
};
use proptest::prelude::*;
use types::InstanceId;

const NOW: Duration = Duration::from_secs(100);

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count).map(|n| format!("i-{n}").into()).collect()
}

/// Instances of which no data centre has many.
fn scattered(count: usize) -> Ranking {
    Ranking {
        all: instances(count),
        same_data_centre: Vec::new(),
    }
}

/// Instances of five data centres, as one of the first of them sees them.
fn dense(count: usize) -> Ranking {
    let all = instances(count);
    Ranking {
        same_data_centre: all.iter().step_by(5).cloned().collect(),
        all,
    }
}

fn sources(seed: u64) -> SourceSelector {
    SourceSelector::new(Rng::with_seed(seed))
}

/// Asks until a whole round has failed; tells the sources of that round. The store is silent; the
/// peers fail as told.
fn failing_round(
    sources: &mut SourceSelector,
    me: &InstanceId,
    ranking: &Ranking,
    how: SourceFailure,
) -> Vec<Source> {
    let mut asked = Vec::new();
    loop {
        let source = sources.next(NOW, me, ranking);
        asked.push(source.clone());
        let how = match source {
            Source::Store => SourceFailure::NoAnswer,
            Source::Peer(_) => how,
        };
        if sources.record_failure(&source, how) {
            return asked;
        }
    }
}

#[test]
fn the_first_instances_read_the_store_and_the_others_follow_them() {
    let ranking = scattered(9);
    let all = &ranking.all;
    for (number, me) in all.iter().enumerate() {
        let source = sources(number as u64).next(NOW, me, &ranking);
        if number < READERS {
            assert_eq!(source, Source::Store);
        } else {
            assert!(
                all[..READERS]
                    .iter()
                    .any(|id| source == Source::Peer(Arc::clone(id)))
            );
        }
    }
}

/// A reader falls silent. Its followers have two seconds until a change must be in force; waiting
/// for the other reader, which may be cut off as well, would be too long.
#[test]
fn after_a_silent_reader_the_store_comes_next() {
    let ranking = scattered(83);
    let me = &ranking.all[40];
    let mut sources = sources(1);
    let first = sources.next(NOW, me, &ranking);
    assert!(!sources.record_failure(&first, SourceFailure::NoAnswer));
    assert_eq!(sources.next(NOW, me, &ranking), Source::Store);
}

/// The same where relays stand between: the other relay may be cut off as well.
#[test]
fn after_a_silent_relay_the_store_comes_next() {
    let ranking = dense(195);
    let leaf = &ranking.same_data_centre[20];
    let mut sources = sources(1);
    let relay = sources.next(NOW, leaf, &ranking);
    assert!(ranking.same_data_centre[..2].contains(&peer(&relay)));
    assert!(!sources.record_failure(&relay, SourceFailure::NoAnswer));
    assert_eq!(sources.next(NOW, leaf, &ranking), Source::Store);
}

fn peer(source: &Source) -> InstanceId {
    match source {
        Source::Peer(id) => Arc::clone(id),
        Source::Store => panic!("a peer was expected"),
    }
}

/// Both readers have lost the store, and relays get through to it. A whole data centre follows
/// each relay, so these ask whatever the luck of the draw.
#[test]
fn relays_ask_the_store_where_both_readers_have_lost_it() {
    let mut ranking = dense(195);
    // Readers of other data centres.
    ranking.same_data_centre.remove(0);
    for relay in &ranking.same_data_centre[..2] {
        for seed in 0..20 {
            let round = failing_round(&mut sources(seed), relay, &ranking, SourceFailure::Stale);
            assert!(round.contains(&Source::Store), "{round:?}");
        }
    }
}

/// Both readers are turned away by the store and answer that they know nothing new. If all of
/// eighty followers turned to the store in the same moment, that would cost as many calls as ten
/// seconds of following, and again in each round.
#[test]
fn few_followers_ask_the_store_where_readers_answer_that_they_have_lost_it() {
    let ranking = scattered(83);
    let asked: Vec<Vec<Source>> = ranking.all[READERS..]
        .iter()
        .enumerate()
        .map(|(seed, me)| {
            failing_round(
                &mut sources(seed as u64),
                me,
                &ranking,
                SourceFailure::Stale,
            )
        })
        .collect();
    let at_store = asked.iter().filter(|round| round.contains(&Source::Store));
    assert!((2..=20).contains(&at_store.count()));
    // Each asked somebody else too, and not all the same one.
    let third = |round: &Vec<Source>| round[READERS].to_string();
    let thirds: BTreeSet<String> = asked.iter().map(third).collect();
    assert!(thirds.len() > 20, "{thirds:?}");
}

/// On a small deployment each may ask the store itself: it costs little, and sooner known is better.
#[test]
fn on_few_instances_each_may_ask_the_store() {
    let ranking = scattered(4);
    let round = failing_round(
        &mut sources(3),
        &ranking.all[3],
        &ranking,
        SourceFailure::Stale,
    );
    assert!(round.contains(&Source::Store), "{round:?}");
}

/// A peer beside the readers gets through to the store. It is followed for a while, and then the
/// readers are tried again: if everybody stayed where they are, chains of followers would grow.
#[test]
fn a_peer_that_knows_is_kept_for_a_while_only() {
    let ranking = scattered(83);
    let all = &ranking.all;
    let me = &all[40];
    let mut sources = sources(5);
    for _ in 0..READERS {
        let reader = sources.next(NOW, me, &ranking);
        assert!(!sources.record_failure(&reader, SourceFailure::Stale));
    }
    let third = sources.next(NOW, me, &ranking);
    sources.record_success();
    assert_eq!(
        sources.next(NOW + Duration::from_secs(1), me, &ranking),
        third
    );
    let later = sources.next(NOW + Duration::from_secs(2), me, &ranking);
    assert!(
        all[..READERS]
            .iter()
            .any(|id| later == Source::Peer(Arc::clone(id)))
    );
}

proptest! {
    /// Whatever fails in whatever way, and however many instances there are, a round ends, no
    /// instance asks itself, and somebody asks the store again and again.
    #[test]
    fn no_order_of_failures_goes_round_for_ever(
        count in 1..90_usize,
        number in any::<prop::sample::Index>(),
        seed in any::<u64>(),
        stale in prop::collection::vec(any::<bool>(), 1..8),
        relayed in any::<bool>(),
    ) {
        let ranking = if relayed { dense(count) } else { scattered(count) };
        let me = &ranking.all[number.index(count)];
        let mut sources = sources(seed);
        let mut at_store = 0;
        for step in 0..2_000 {
            let source = sources.next(NOW, me, &ranking);
            prop_assert_ne!(&source, &Source::Peer(Arc::clone(me)));
            at_store += usize::from(source == Source::Store);
            let how = if stale[step % stale.len()] { SourceFailure::Stale } else { SourceFailure::NoAnswer };
            sources.record_failure(&source, how);
        }
        prop_assert!(sources.failed_rounds() >= 2_000 / 6, "{}", sources.failed_rounds());
        prop_assert!(at_store > 0);
    }
}
