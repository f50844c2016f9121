//! Engines of a large service are divided into parts, each with an owner and an account of its own.

mod support;

use std::{collections::BTreeSet, time::Duration};

use placing::{
    ActiveGeneration, GenerationUpdate, PlacementAnswer, PlacementRequest, Shard, ShardCounts,
    StateSync,
};
use proptest::prelude::*;
use support::{engine, owner, request, sent};
use types::ServiceId;

fn shard(service: &str, index: u32, of: u32) -> Shard {
    Shard::new(service.into(), index, of)
}

fn running(generation: &str, service: &str, target: &str) -> ActiveGeneration {
    ActiveGeneration {
        generation: generation.into(),
        service: service.into(),
        target: target.into(),
        prompt_tokens: 3_000,
        tokens_generated: 10,
        route: "drafts".into(),
        max_tokens: 2_000,
        length_hint: None,
        priority: 1,
        started: true,
    }
}

#[test]
fn a_service_of_today_has_one_account_and_a_large_one_many() {
    assert_eq!(Shard::count_for(0), 1);
    assert_eq!(Shard::count_for(64), 1);
    assert_eq!(Shard::count_for(65), 2);
    assert_eq!(Shard::count_for(1_000), 16);
    assert_eq!(Shard::count_for(12_000), 256);
}

/// One instance owns the accounts of two services. An entry tells what it holds of the one, and that
/// must not make the other's engines look empty: they would be filled a second time.
#[test]
fn what_an_entry_holds_of_one_account_says_nothing_of_another() {
    let (mut owner, now) = owner();
    let tell = |service: &str, generations: Vec<ActiveGeneration>| StateSync {
        entry: "entry-1".into(),
        shard: shard(service, 0, 1),
        generations,
    };
    owner.apply_sync(now, &tell("drafts", vec![running("a", "drafts", "e-1")]));
    let later = now + Duration::from_secs(1);
    owner.apply_sync(later, &tell("tags", vec![running("b", "tags", "e-2")]));
    assert!(owner.generation("a").is_some() && owner.generation("b").is_some());
    owner.apply_sync(later, &tell("drafts", Vec::new()));
    assert!(owner.generation("a").is_none() && owner.generation("b").is_some());
}

/// Prompts wait for the engines of one account. Those of another are free, and nobody should wait
/// behind them for these.
#[test]
fn those_who_wait_for_one_account_do_not_hold_up_another() {
    let (mut owner, now) = owner();
    let full = [engine("e-1", "dc-1")];
    let free = [engine("e-2", "dc-1")];
    let patient = |generation: &str, index: u32| PlacementRequest {
        shard: shard("drafts", index, 2),
        objective_left: Duration::from_secs(60),
        ..request(generation)
    };
    let mut number = 0;
    while sent(owner.place(now, &patient(&format!("run-{number}"), 0), &full)).is_some() {
        let generation = format!("run-{number}").into();
        owner.apply_update(now, &GenerationUpdate::Started { generation });
        number += 1;
    }
    let mut late = patient("late", 1);
    late.priority = 9;
    assert!(matches!(
        owner.place(now, &late, &free),
        PlacementAnswer::Assigned { .. }
    ));
}

proptest! {
    /// Each engine belongs to one part, whoever asks, and no part gets far more than another.
    #[test]
    fn parts_divide_the_engines_evenly(engines in 1..2_000_usize) {
        let of = Shard::count_for(engines);
        let mut counts = vec![0_usize; usize::try_from(of).expect("small")];
        for number in 0..engines {
            let id = format!("i-{number:010x}");
            let mine: BTreeSet<u32> = (0..of)
                .filter(|index| shard("drafts", *index, of).contains(&id))
                .collect();
            prop_assert_eq!(mine.len(), 1);
            let with = Shard::of_target("drafts".into(), &id, of);
            prop_assert!(mine.contains(&with.index));
            counts[usize::try_from(with.index).expect("small")] += 1;
        }
        let most = counts.iter().max().copied().unwrap_or_default();
        prop_assert!(most <= 64 + 40, "{:?}", counts);
    }
}

/// Engines that are reclaimed are replaced before they leave. Where the count swung around the limit
/// of a part, all engines changed owners several times in ten seconds.
#[test]
fn the_number_of_parts_does_not_follow_a_count_that_swings_around_a_limit() {
    let mut counts = ShardCounts::default();
    let service: ServiceId = "synopsis".into();
    let mut seen = Vec::new();
    for wave in 0..20_u64 {
        for (after_ms, engines) in [(0, 63), (300, 74), (2_000, 63)] {
            let now = Duration::from_millis(wave * 3_300 + after_ms);
            seen.push(counts.count_for(now, &service, engines));
        }
    }
    seen.dedup();
    assert_eq!(seen, [1, 2]);
}

#[test]
fn a_service_that_has_shrunk_for_good_has_fewer_parts_in_the_end() {
    let mut counts = ShardCounts::default();
    let service: ServiceId = "synopsis".into();
    assert_eq!(counts.count_for(Duration::from_secs(1), &service, 200), 4);
    assert_eq!(counts.count_for(Duration::from_secs(20), &service, 60), 4);
    assert_eq!(counts.count_for(Duration::from_secs(32), &service, 60), 1);
}
