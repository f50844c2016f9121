//! Deleting claims that nobody will repeat any more.

use std::{sync::Arc, time::Duration};

use platform::{Row, Table, Write};
use types::{InstanceId, Moment};

use crate::row::{ClaimRow, PARTITIONS, now_seconds, partition};

/// Time that a claim is kept, in seconds. A repeat that comes later runs the call again; callers
/// are told this limit. It is far longer than any write can stay under way.
pub const RETENTION_SECONDS: u64 = 24 * 3600;
/// Time between two pages.
const PAGE_PERIOD: Duration = Duration::from_secs(10);
/// Rows of a page.
const PAGE: usize = 100;

/// Goes through all claims page by page, at a pace that leaves the table service its budget.
pub struct Sweep {
    table: Arc<dyn Table>,
    partition: u16,
    after: Arc<str>,
    next: Moment,
}

impl Sweep {
    /// Begins at a place that differs between instances.
    #[must_use]
    pub fn new(me: &InstanceId, table: Arc<dyn Table>) -> Self {
        let start = me.bytes().fold(0_u16, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(u16::from(byte))
        });
        Self {
            table,
            partition: start % PARTITIONS,
            after: "".into(),
            next: PAGE_PERIOD,
        }
    }

    /// Looks at one page if it is time; an outage leaves it for later.
    pub async fn step(&mut self, now: Moment) {
        if now < self.next {
            return;
        }
        self.next = now + PAGE_PERIOD;
        let partition = partition(self.partition);
        let Ok(rows) = self.table.list(&partition, &self.after, PAGE).await else {
            return;
        };
        let old = now_seconds().saturating_sub(RETENTION_SECONDS);
        let deletes: Vec<Write> = rows.iter().filter_map(|row| delete(row, old)).collect();
        if !deletes.is_empty() {
            // A row that was written meanwhile keeps all of them; the next pass gets them.
            let _ = self.table.commit(&deletes).await;
        }
        self.go_on(&rows);
    }

    fn go_on(&mut self, rows: &[Row]) {
        match rows.last() {
            Some(last) if rows.len() == PAGE => self.after = Arc::clone(&last.key.sort),
            _ => {
                self.after = "".into();
                self.partition = (self.partition + 1) % PARTITIONS;
            }
        }
    }
}

/// The deletion of a row last written before `old`.
fn delete(row: &Row, old: u64) -> Option<Write> {
    let claim = ClaimRow::read(row).ok()?;
    (claim.at < old).then(|| Write::Delete {
        key: row.key.clone(),
        version: row.version,
    })
}
