//! Deletes expired claims.

use std::{sync::Arc, time::Duration};

use stores::{Row, Table, Write};
use types::{InstanceId, Moment};

use crate::row::{ClaimRow, PARTITIONS, now_seconds, partition_name};

/// Time that a claim is retained, in seconds. A later retry runs the call again; callers are told
/// this limit. It is far longer than any write can be in flight.
pub const RETENTION_SECONDS: u64 = 24 * 3600;
/// Largest age of the newest claim of another instance at which the local clock is still trusted.
const MAX_CLOCK_LEAD_SECONDS: u64 = 3600;
/// Time between two pages.
const PAGE_PERIOD: Duration = Duration::from_secs(10);
/// Rows in one page.
const PAGE_ROWS: usize = 100;

/// Scans all claims page by page, slowly enough to leave the call budget of the table service to
/// requests.
pub struct ExpirySweep {
    table: Arc<dyn Table>,
    partition: u16,
    resume_after: Arc<str>,
    next_step_at: Moment,
    me: InstanceId,
    /// The latest time at which another instance wrote a claim, by its clock, among the rows seen.
    newest_seen: u64,
}

impl ExpirySweep {
    /// Starts at a partition that depends on the instance, so that instances don't scan in
    /// parallel.
    #[must_use]
    pub fn new(me: &InstanceId, table: Arc<dyn Table>) -> Self {
        let start = me.bytes().fold(0_u16, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(u16::from(byte))
        });
        Self {
            table,
            partition: start % PARTITIONS,
            resume_after: "".into(),
            next_step_at: PAGE_PERIOD,
            me: InstanceId::clone(me),
            newest_seen: 0,
        }
    }

    /// Scans one page if it is due; during an outage the page is retried later.
    pub async fn step(&mut self, now: Moment) {
        if now < self.next_step_at {
            return;
        }
        self.next_step_at = now + PAGE_PERIOD;
        let partition = partition_name(self.partition);
        let Ok(rows) = self
            .table
            .list(&partition, &self.resume_after, PAGE_ROWS)
            .await
        else {
            return;
        };
        let deletes = self.deletes(&rows, now_seconds());
        if !deletes.is_empty() {
            // If one of the rows was written in the meantime, the commit fails as a whole and the
            // next pass deletes the others.
            let _ = self.table.commit(&deletes).await;
        }
        self.advance(&rows);
    }

    /// Builds the deletions of expired rows.
    ///
    /// An instance whose clock is a day ahead would take every claim for expired and delete it, and
    /// retries of calls that have just run would silently run again. With such a clock even the
    /// newest claims of other instances look old, so nothing is deleted then. The instance's own
    /// claims prove nothing, because they carry its own clock.
    fn deletes(&mut self, rows: &[Row], clock_seconds: u64) -> Vec<Write> {
        let read = |row| ClaimRow::read(row).ok().map(|claim| (row, claim));
        let claims: Vec<(&Row, ClaimRow)> = rows.iter().filter_map(read).collect();
        let others = claims.iter().filter(|(_, claim)| claim.instance != self.me);
        let newest = others.map(|(_, claim)| claim.written_at).max();
        self.newest_seen = self.newest_seen.max(newest.unwrap_or(0));
        if clock_seconds.saturating_sub(self.newest_seen) > MAX_CLOCK_LEAD_SECONDS {
            return Vec::new();
        }
        let cutoff = clock_seconds.saturating_sub(RETENTION_SECONDS);
        let expired = claims.iter().filter(|(_, claim)| claim.written_at < cutoff);
        expired.map(|(row, _)| delete(row)).collect()
    }

    fn advance(&mut self, rows: &[Row]) {
        match rows.last() {
            Some(last) if rows.len() == PAGE_ROWS => self.resume_after = Arc::clone(&last.key.sort),
            _ => {
                self.resume_after = "".into();
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
