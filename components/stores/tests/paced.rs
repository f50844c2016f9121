//! Sparing a table service that is down or busy.

use std::{sync::Arc, time::Duration};

use stores::{
    CallBudget, MemoryTable, PacedTable, PlatformError, RowKey, Table, Write, memory::Fault,
};
use timer::Timer;

fn insert(sort: &str) -> Write {
    Write::Insert {
        key: RowKey::new("p", sort),
        body: "1".into(),
    }
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let timer = Timer::new();
    for _ in 0..2000 {
        if holds() {
            return;
        }
        timer.sleep(Duration::from_millis(10)).await;
    }
    panic!("not within 20 s: {what}");
}

// The table service is down for hours. Without care each keyed request would wait for its time
// limit and leave a commit whose fate is open; a user would wait for a refusal. After a few
// failures calls are refused at once and the service is left alone, until it answers again.
#[test]
fn a_table_that_is_down_is_left_alone_until_it_answers() {
    smol::block_on(async {
        let memory = Arc::new(MemoryTable::new());
        let table = PacedTable::new(memory.clone(), CallBudget::default(), Timer::new());
        memory.set_down(true);
        for sort in ["a", "b", "c"] {
            assert!(table.commit(&[insert(sort)]).await.is_err());
        }
        assert!(!table.is_up());
        memory.set_down(false);
        let commits = memory.commits();
        let refused = table.commit(&[insert("d")]).await;
        // The probe may have been faster than this call; then it went through.
        if refused.is_err() {
            assert!(matches!(refused, Err(PlatformError::Unavailable { .. })));
            assert_eq!(
                memory.commits(),
                commits,
                "a refused commit reached the table"
            );
        }
        until("the table counts as up", || table.is_up()).await;
        assert_eq!(table.commit(&[insert("e")]).await, Ok(()));
    });
}

#[test]
fn a_success_in_between_keeps_the_table_up() {
    smol::block_on(async {
        let memory = Arc::new(MemoryTable::new());
        let table = PacedTable::new(memory.clone(), CallBudget::default(), Timer::new());
        for round in 0..5 {
            memory.set_down(true);
            for _ in 0..2 {
                assert!(table.commit(&[insert("x")]).await.is_err());
            }
            memory.set_down(false);
            assert_eq!(table.commit(&[insert(&round.to_string())]).await, Ok(()));
        }
        assert!(table.is_up());
    });
}

// The service is up and refuses calls above its rate. Were it taken for down, lookups of keys
// that it would have answered were refused too, and an operator called for nothing.
#[test]
fn a_busy_table_is_not_taken_for_one_that_is_down() {
    smol::block_on(async {
        let memory = Arc::new(MemoryTable::new());
        let table = PacedTable::new(memory.clone(), CallBudget::default(), Timer::new());
        memory.add_faults([Fault::Throttled; 10]);
        for _ in 0..10 {
            let busy = table.commit(&[insert("a")]).await;
            assert!(matches!(busy, Err(PlatformError::Busy { .. })), "{busy:?}");
        }
        assert!(table.is_up());
        assert_eq!(table.commit(&[insert("a")]).await, Ok(()));
    });
}

// One instance with a flood of keyed requests must not use up what the service bears for all.
#[test]
fn a_budget_bounds_what_reaches_the_table() {
    smol::block_on(async {
        let memory = Arc::new(MemoryTable::new());
        let budget = CallBudget {
            reads: 10.0,
            writes: 0.001,
        };
        let table = PacedTable::new(memory.clone(), budget, Timer::new());
        // The first one overdraws the budget and is let through.
        assert_eq!(table.commit(&[insert("first")]).await, Ok(()));
        for sort in 0..50 {
            let refused = table.commit(&[insert(&sort.to_string())]).await;
            assert!(matches!(refused, Err(PlatformError::Busy { .. })));
        }
        assert_eq!(memory.commits(), 1);
        assert!(table.is_up(), "a full budget is no outage");
        assert_eq!(table.read(&RowKey::new("p", "0")).await, Ok(None));
    });
}
