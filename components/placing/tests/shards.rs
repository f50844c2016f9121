//! The engines of a large service are divided into shards, each with its own owner.

mod support;

use std::{collections::BTreeSet, time::Duration};

use placing::{
    ActiveGeneration, GenerationUpdate, PlacementAnswer, PlacementRequest, Shard, ShardCounts,
    StateSync,
};
use proptest::prelude::*;
use support::{assigned, engine, owner, request};
use types::ServiceId;

fn shard(service: &str, index: u32, count: u32) -> Shard {
    Shard::new(service.into(), index, count)
}

fn active(generation: &str, service: &str, target: &str) -> ActiveGeneration {
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
        longest_pause: Duration::ZERO,
    }
}

#[test]
fn a_small_service_has_one_shard_and_a_large_one_many() {
    assert_eq!(Shard::count_for(0), 1);
    assert_eq!(Shard::count_for(64), 1);
    assert_eq!(Shard::count_for(65), 2);
    assert_eq!(Shard::count_for(1_000), 16);
    assert_eq!(Shard::count_for(12_000), 256);
}

/// One instance owns shards of two services. A sync for one of them must not make the engines of
/// the other look empty, or they would be filled a second time.
#[test]
fn a_sync_affects_its_own_shard_only() {
    let (mut owner, now) = owner();
    let sync = |service: &str, generations: Vec<ActiveGeneration>| StateSync {
        entry: "entry-1".into(),
        shard: shard(service, 0, 1),
        generations,
    };
    owner.apply_sync(now, &sync("drafts", vec![active("a", "drafts", "e-1")]));
    let later = now + Duration::from_secs(1);
    owner.apply_sync(later, &sync("tags", vec![active("b", "tags", "e-2")]));
    assert!(owner.generation("a").is_some() && owner.generation("b").is_some());
    owner.apply_sync(later, &sync("drafts", Vec::new()));
    assert!(owner.generation("a").is_none() && owner.generation("b").is_some());
}

/// Requests wait for the engines of one shard. Those of another shard are free, and requests for
/// them must not wait.
#[test]
fn requests_that_wait_for_one_shard_do_not_delay_another() {
    let (mut owner, now) = owner();
    let full = [engine("e-1", "dc-1")];
    let free = [engine("e-2", "dc-1")];
    let relaxed = |generation: &str, index: u32| PlacementRequest {
        shard: shard("drafts", index, 2),
        objective_left: Duration::from_secs(60),
        ..request(generation)
    };
    let mut number = 0;
    while assigned(owner.place(now, &relaxed(&format!("run-{number}"), 0), &full)).is_some() {
        let generation = format!("run-{number}").into();
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation,
                work_time_percent: None,
            },
        );
        number += 1;
    }
    let mut late = relaxed("late", 1);
    late.priority = 9;
    assert!(matches!(
        owner.place(now, &late, &free),
        PlacementAnswer::Assigned { .. }
    ));
}

proptest! {
    /// Each engine belongs to exactly one shard, and no shard gets far more engines than another.
    #[test]
    fn shards_divide_the_engines_evenly(engines in 1..2_000_usize) {
        let count = Shard::count_for(engines);
        let mut counts = vec![0_usize; usize::try_from(count).expect("small")];
        for number in 0..engines {
            let id = format!("i-{number:010x}");
            let containing: BTreeSet<u32> = (0..count)
                .filter(|index| shard("drafts", *index, count).contains(&id))
                .collect();
            prop_assert_eq!(containing.len(), 1);
            let shard_of_target = Shard::of_target("drafts".into(), &id, count);
            prop_assert!(containing.contains(&shard_of_target.index));
            counts[usize::try_from(shard_of_target.index).expect("small")] += 1;
        }
        let largest = counts.iter().max().copied().unwrap_or_default();
        prop_assert!(largest <= 64 + 40, "{:?}", counts);
    }
}

/// Reclaimed engines are replaced before they stop. When the number of shards followed the engine
/// count around a limit, all engines changed owners several times in ten seconds.
#[test]
fn the_number_of_shards_is_stable_while_the_engine_count_swings() {
    let mut counts = ShardCounts::default();
    let service: ServiceId = "synopsis".into();
    let mut observed = Vec::new();
    for wave in 0..20_u64 {
        for (after_ms, engines) in [(0, 63), (300, 74), (2_000, 63)] {
            let now = Duration::from_millis(wave * 3_300 + after_ms);
            observed.push(counts.count_for(now, &service, engines));
        }
    }
    observed.dedup();
    assert_eq!(observed, [1, 2]);
}

#[test]
fn a_service_that_stays_smaller_gets_fewer_shards() {
    let mut counts = ShardCounts::default();
    let service: ServiceId = "synopsis".into();
    assert_eq!(counts.count_for(Duration::from_secs(1), &service, 200), 4);
    assert_eq!(counts.count_for(Duration::from_secs(20), &service, 60), 4);
    assert_eq!(counts.count_for(Duration::from_secs(32), &service, 60), 1);
}
