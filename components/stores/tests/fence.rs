//! Fencing numbers.

use std::{collections::BTreeSet, sync::Arc};

use proptest::prelude::*;
use stores::{MemoryTable, fence, memory::Fault};

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::None),
        1 => Just(Fault::AnswerLost),
        1 => Just(Fault::CommitLost),
        1 => Just(Fault::Late),
        1 => Just(Fault::Throttled),
    ]
}

proptest! {
    // Two owners of a target with the same fencing number could both command it. While answers are
    // lost and writes arrive late, numbers may be skipped, but none is issued twice or decreases.
    #[test]
    fn no_number_is_issued_twice(faults in prop::collection::vec(fault(), 0..40)) {
        smol::block_on(async {
            let table = Arc::new(MemoryTable::new());
            table.add_faults(faults);
            let request_numbers = |_| {
                let table = table.clone();
                workers::spawn(async move {
                    let mut numbers = Vec::new();
                    for _ in 0..10 {
                        numbers.extend(fence::next(&*table, "engine-1").await.ok());
                        table.apply_late_commits();
                    }
                    numbers
                })
            };
            let mut seen = BTreeSet::new();
            for requester in (0..4).map(request_numbers).collect::<Vec<_>>() {
                let numbers = requester.await;
                assert!(numbers.is_sorted(), "{numbers:?}");
                for number in numbers {
                    assert!(seen.insert(number), "{number} was issued twice");
                }
            }
            let next = fence::next(&*table, "engine-1").await.expect("the table is up");
            assert!(seen.iter().all(|n| *n < next));
            assert_eq!(fence::next(&*table, "engine-2").await, Ok(1));
        });
    }
}
