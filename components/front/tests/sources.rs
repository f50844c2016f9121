//! The selection of sources of a topic, without failures and after them.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fastrand::Rng;
use front::store::{
    fanout::{READERS, Ranking},
    sources::{Confirmation, Source, SourceFailure, SourceSelector},
};
use proptest::prelude::*;
use types::{InstanceId, Moment};

const NOW: Duration = Duration::from_secs(100);

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count).map(|n| format!("i-{n}").into()).collect()
}

/// Instances in data centres too small for relays.
fn scattered(count: usize) -> Ranking {
    Ranking {
        all: instances(count),
        same_data_centre: Vec::new(),
    }
}

/// Instances in five large data centres, as seen from the first.
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

/// The answer of the store to a read at a time.
fn confirmation(at: Moment) -> Confirmation {
    Confirmation {
        read_at: at,
        hold: None,
    }
}

/// Fails all sources of a round, and returns them. The store does not answer; peers fail with
/// `failure`.
fn failing_round(
    sources: &mut SourceSelector,
    me: &InstanceId,
    ranking: &Ranking,
    failure: SourceFailure,
) -> Vec<Source> {
    let mut tried = Vec::new();
    loop {
        let source = sources.next(NOW, me, ranking);
        tried.push(source.clone());
        let failure = match source {
            Source::Store => SourceFailure::NoAnswer,
            Source::Peer(_) => failure,
        };
        if sources.record_failure(&source, failure) {
            return tried;
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

/// A change must be effective within two seconds. After one reader has not answered, waiting for
/// the other, which may be unreachable as well, would take too long.
#[test]
fn after_a_reader_that_does_not_answer_the_store_is_tried() {
    let ranking = scattered(83);
    let me = &ranking.all[40];
    let mut sources = sources(1);
    let first = sources.next(NOW, me, &ranking);
    assert!(!sources.record_failure(&first, SourceFailure::NoAnswer));
    assert_eq!(sources.next(NOW, me, &ranking), Source::Store);
}

/// The same for a leaf that follows relays: the other relay may be unreachable as well.
#[test]
fn after_a_relay_that_does_not_answer_the_store_is_tried() {
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
        Source::Store => panic!("expected a peer"),
    }
}

/// Both readers have lost the store, but relays may still reach it. Since a whole data centre
/// follows the relays, they always try the store, whatever the random draw.
#[test]
fn relays_always_try_the_store_if_both_readers_have_lost_it() {
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

/// The store refuses both readers, and these answer with stale state. If all of eighty followers
/// tried the store at once, that would take as many calls as ten seconds of following, and again in
/// each round.
#[test]
fn few_followers_try_the_store_if_the_readers_have_lost_it() {
    let ranking = scattered(83);
    let rounds: Vec<Vec<Source>> = ranking.all[READERS..]
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
    let at_store = rounds.iter().filter(|round| round.contains(&Source::Store));
    assert!((2..=20).contains(&at_store.count()));
    // Each has also tried an extra peer, and these differ.
    let extra = |round: &Vec<Source>| round[READERS].to_string();
    let extras: BTreeSet<String> = rounds.iter().map(extra).collect();
    assert!(extras.len() > 20, "{extras:?}");
}

/// In a small deployment each instance may try the store: that costs little and gives the state
/// sooner.
#[test]
fn in_small_deployments_each_instance_may_try_the_store() {
    let ranking = scattered(4);
    let round = failing_round(
        &mut sources(3),
        &ranking.all[3],
        &ranking,
        SourceFailure::Stale,
    );
    assert!(round.contains(&Source::Store), "{round:?}");
}

/// An extra peer still has access to the store. It is followed for a while only, then the readers
/// are tried again: otherwise longer and longer chains of followers would form.
#[test]
fn a_fallback_source_is_used_only_for_a_while() {
    let ranking = scattered(83);
    let all = &ranking.all;
    let me = &all[40];
    let mut sources = sources(5);
    for _ in 0..READERS {
        let reader = sources.next(NOW, me, &ranking);
        assert!(!sources.record_failure(&reader, SourceFailure::Stale));
    }
    let extra = sources.next(NOW, me, &ranking);
    sources.record_success(NOW, &confirmation(NOW));
    assert_eq!(
        sources.next(NOW + Duration::from_secs(1), me, &ranking),
        extra
    );
    let confirmed_at = NOW + Duration::from_secs(1);
    sources.record_success(confirmed_at, &confirmation(confirmed_at));
    let later = sources.next(NOW + Duration::from_secs(2), me, &ranking);
    assert!(
        all[..READERS]
            .iter()
            .any(|id| later == Source::Peer(Arc::clone(id)))
    );
}

proptest! {
    /// With any sequence of failures and any number of instances, each round ends, no instance
    /// selects itself, and the store is tried again and again.
    #[test]
    fn with_any_failures_rounds_end_and_the_store_is_retried(
        count in 1..90_usize,
        number in any::<prop::sample::Index>(),
        seed in any::<u64>(),
        stale in prop::collection::vec(any::<bool>(), 1..8),
        has_relays in any::<bool>(),
    ) {
        let ranking = if has_relays { dense(count) } else { scattered(count) };
        let me = &ranking.all[number.index(count)];
        let mut sources = sources(seed);
        let mut at_store = 0;
        for step in 0..2_000 {
            let source = sources.next(NOW, me, &ranking);
            prop_assert_ne!(&source, &Source::Peer(Arc::clone(me)));
            at_store += usize::from(source == Source::Store);
            let failure = if stale[step % stale.len()] {
                SourceFailure::Stale
            } else {
                SourceFailure::NoAnswer
            };
            sources.record_failure(&source, failure);
        }
        prop_assert!(sources.failed_rounds() >= 2_000 / 6, "{}", sources.failed_rounds());
        prop_assert!(at_store > 0);
    }
}
