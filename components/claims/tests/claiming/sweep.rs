//! Deletion of expired claims.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use claims::{RETENTION_SECONDS, sweep::ExpirySweep};
use stores::{MemoryTable, RowKey, Table, Write};

const HOUR: u64 = 3600;
/// More pages than there are partitions.
const PAGES: u64 = 600;

/// Writes a claim of `instance` that is `age` seconds old.
async fn claim(table: &MemoryTable, key: &str, instance: &str, age: u64) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let at = now.expect("a clock after 1970").as_secs() - age;
    let body = format!(
        r#"{{"id":"{instance}-1-0","digest":"d","instance":"{instance}","incarnation":1,"at":{at},"state":"released"}}"#
    );
    let insert = Write::Insert {
        key: RowKey::new("claim/7f", key),
        body: body.into(),
    };
    table.commit(&[insert]).await.expect("the table is up");
}

/// Scans all claims twice and returns the sort keys of the remaining rows.
async fn sweep(table: &Arc<MemoryTable>) -> Vec<Arc<str>> {
    let mut sweep = ExpirySweep::new(&"me".into(), table.clone());
    for page in 1..PAGES {
        sweep.step(Duration::from_secs(60 * page)).await;
    }
    let rows = table.rows();
    rows.iter().map(|row| Arc::clone(&row.key.sort)).collect()
}

#[test]
fn expired_claims_are_deleted_and_others_retained() {
    smol::block_on(async {
        let table = Arc::new(MemoryTable::new());
        claim(&table, "fresh", "other", 0).await;
        claim(&table, "younger", "me", RETENTION_SECONDS - HOUR).await;
        claim(&table, "older", "other", RETENTION_SECONDS + HOUR).await;
        claim(&table, "own-older", "me", RETENTION_SECONDS + HOUR).await;
        for number in 0..250 {
            let key = format!("many-{number}");
            claim(&table, &key, "other", RETENTION_SECONDS + HOUR).await;
        }
        assert_eq!(sweep(&table).await, ["fresh".into(), "younger".into()]);
    });
}

// The local clock is more than a day ahead, so that every claim looks expired. If the claims were
// deleted, a retry of a call that has just run would run it again.
#[test]
fn a_clock_that_is_ahead_deletes_nothing() {
    smol::block_on(async {
        let table = Arc::new(MemoryTable::new());
        claim(&table, "a", "other", RETENTION_SECONDS + HOUR).await;
        claim(&table, "b", "third", RETENTION_SECONDS + 2 * HOUR).await;
        // The instance's own claim carries the same wrong clock.
        claim(&table, "c", "me", 0).await;
        assert_eq!(sweep(&table).await, ["a".into(), "b".into(), "c".into()]);
    });
}
