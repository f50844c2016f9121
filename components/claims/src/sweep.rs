//! Deleting claims that nobody will repeat any more.

use std::{sync::Arc, time::Duration};

use stores::{Row, Table, Write};
use types::{InstanceId, Moment};

use crate::row::{ClaimRow, PARTITIONS, now_seconds, partition};

/// Time that a claim is kept, in seconds. A repeat that comes later runs the call again; callers
/// are told this limit. It is far longer than any write can stay under way.
pub const RETENTION_SECONDS: u64 = 24 * 3600;
/// How old the newest claim of another instance may look for our clock to be trusted.
const TRUST_SECONDS: u64 = 3600;
/// Time between two pages.
const PAGE_PERIOD: Duration = Duration::from_secs(10);
/// Rows of a page.
const PAGE: usize = 100;

/// Goes through all claims page by page, at a pace that leaves the table service its budget.
pub struct ExpirySweep {
    table: Arc<dyn Table>,
    partition: u16,
    after: Arc<str>,
    next: Moment,
    me: InstanceId,
    /// When another instance last wrote a claim, by its clock, as far as we have seen.
    newest: u64,
}

impl ExpirySweep {
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
            me: InstanceId::clone(me),
            newest: 0,
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
        let deletes = self.deletes(&rows, now_seconds());
        if !deletes.is_empty() {
            // A row that was written meanwhile keeps all of them; the next pass gets them.
            let _ = self.table.commit(&deletes).await;
        }
        self.go_on(&rows);
    }

    /// The deletions of rows that are old.
    ///
    /// A machine whose clock is a day ahead would take every claim for old and delete it, and
    /// repeats of calls that just ran would run again, with nobody to notice. By such a clock
    /// even the newest claims of other instances look old, and then nothing is deleted. Claims
    /// of our own prove nothing: they bear our clock.
    fn deletes(&mut self, rows: &[Row], clock: u64) -> Vec<Write> {
        let read = |row| ClaimRow::read(row).ok().map(|claim| (row, claim));
        let claims: Vec<(&Row, ClaimRow)> = rows.iter().filter_map(read).collect();
        let others = claims.iter().filter(|(_, claim)| claim.instance != self.me);
        let newest = others.map(|(_, claim)| claim.written_at).max();
        self.newest = self.newest.max(newest.unwrap_or(0));
        if clock.saturating_sub(self.newest) > TRUST_SECONDS {
            return Vec::new();
        }
        let old = clock.saturating_sub(RETENTION_SECONDS);
        let old = claims.iter().filter(|(_, claim)| claim.written_at < old);
        old.map(|(row, _)| delete(row)).collect()
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

fn delete(row: &Row) -> Write {
    Write::Delete {
        key: row.key.clone(),
        version: row.version,
    }
}
