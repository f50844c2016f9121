//! Protection of a table service that is down or busy.

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

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let timer = Timer::new();
    for _ in 0..2000 {
        if condition() {
            return;
        }
        timer.sleep(Duration::from_millis(10)).await;
    }
    panic!("not within 20 s: {what}");
}

// The table service is down for hours. Each request with an idempotency key would wait for its
// timeout and leave a commit with an unknown outcome. After a few failures calls must fail at once
// without reaching the service, until it answers again.
#[test]
fn a_table_that_is_down_gets_no_calls_until_it_answers() {
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
        // The call succeeds if a probe has already found the service up.
        if refused.is_err() {
            assert!(matches!(refused, Err(PlatformError::Unavailable { .. })));
            assert_eq!(
                memory.commits(),
                commits,
                "a refused commit reached the table"
            );
        }
        wait_until("the table counts as up", || table.is_up()).await;
        assert_eq!(table.commit(&[insert("e")]).await, Ok(()));
    });
}

#[test]
fn a_success_resets_the_count_of_failures() {
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

// The service is up and rejects calls above its rate. If that counted as an outage, lookups that it
// would have answered would fail too, and operators would be alerted without need.
#[test]
fn a_throttling_table_does_not_count_as_down() {
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

// One instance with very many keyed requests must not use up the capacity that all instances share.
#[test]
fn a_budget_limits_the_calls_that_reach_the_table() {
    smol::block_on(async {
        let memory = Arc::new(MemoryTable::new());
        let budget = CallBudget {
            reads: 10.0,
            writes: 0.001,
        };
        let table = PacedTable::new(memory.clone(), budget, Timer::new());
        // The first commit is allowed although it exceeds the budget.
        assert_eq!(table.commit(&[insert("first")]).await, Ok(()));
        for sort in 0..50 {
            let refused = table.commit(&[insert(&sort.to_string())]).await;
            assert!(matches!(refused, Err(PlatformError::Busy { .. })));
        }
        assert_eq!(memory.commits(), 1);
        assert!(table.is_up(), "a used-up budget counts as an outage");
        assert_eq!(table.read(&RowKey::new("p", "0")).await, Ok(None));
    });
}
