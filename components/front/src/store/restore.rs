//! Writes again what the instances had written to the store when it has come back from an older copy:
//! their own rows, records of quarantined requests, and records of rollouts. Few instances do so on
//! behalf of all, since the store has just come back.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use ::quarantine::VerdictKind;
use events::{Event, emit};
use timer::boot_time;

use crate::{
    adapters::Record,
    instances::wire::{Member, Topic},
    quarantine::{aggregation, parts, record},
    rollouts::records,
    state::Front,
    store::timeouts,
};

/// The name under which the instances are ranked that write the rows of all instances again.
const RANKING: &str = "rows of instances";
/// Instances that write the rows of all instances again; a second one is there in case the first one
/// stops.
const WRITERS: usize = 2;
/// Time over which the first calls are spread.
const SPREAD: Duration = Duration::from_millis(600);
/// Attempts at each call.
const MAX_ATTEMPTS: u32 = 10;
/// Mean pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Writes again, in the background and once in each era, what this instance is responsible for.
pub fn write_again(front: &Arc<Front>, era: u64) {
    if front.restored_era.fetch_max(era, Ordering::AcqRel) >= era {
        return;
    }
    let front = Arc::clone(front);
    let writing = async move {
        smol::Timer::after(SPREAD.mul_f64(fastrand::f64())).await;
        write_quarantine_records(&front);
        records::record_again(&front);
        let order = front.peers.owners(RANKING);
        let is_writer = order
            .iter()
            .take(WRITERS)
            .any(|id| *id == front.cfg.instance);
        if is_writer {
            write_members(&front).await;
        }
    };
    workers::spawn(writing).detach();
}

/// Records the verdicts that this instance aggregates.
fn write_quarantine_records(front: &Arc<Front>) {
    let verdicts = front.quarantine.lock().verdicts(boot_time());
    for verdict in verdicts {
        let is_final = matches!(verdict.kind, VerdictKind::Rejected | VerdictKind::Cleared);
        if is_final && aggregation::is_first_aggregator(front, &verdict.fingerprint) {
            record::persist(front, &verdict);
        }
    }
    parts::write_records(front);
}

/// Writes the rows of all known instances that the store lacks.
async fn write_members(front: &Arc<Front>) {
    for _ in 0..MAX_ATTEMPTS {
        if let Some(count) = try_write_members(front).await {
            emit(&Event::RowsWrittenAgain { count });
            return;
        }
        smol::Timer::after(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Reads the rows of the instances and writes those that are missing; returns how many, or none if a
/// call has failed.
async fn try_write_members(front: &Arc<Front>) -> Option<usize> {
    let update = front.store.read(Topic::Members, timeouts::READ_TIMEOUT);
    let rows = update.await.ok()?.rows;
    let decode = |row| front.store.decode(Topic::Members, row);
    let stored: Vec<Member> = rows
        .iter()
        .filter_map(|row| match decode(row) {
            Some(Record::Member(member)) => Some(member),
            _ => None,
        })
        .collect();
    let mut count = 0;
    for member in front.peers.responsive_members() {
        if stored.iter().any(|it| it.is_same_except_start(&member)) {
            continue;
        }
        front.store.announce(&member).await.ok()?;
        count += 1;
    }
    Some(count)
}
