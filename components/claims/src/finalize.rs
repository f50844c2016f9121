//! Writes the outcome of a claim to the table service.

use std::sync::Arc;

use stores::{PlatformError, Row, Table, Write};

use crate::{
    group::GroupCommitter,
    open::OpenClaim,
    row::{ClaimRow, ClaimState},
};

/// Attempts in one round if others write the row at the same time.
const MAX_ATTEMPTS: usize = 4;

/// What has to be done, given the current row.
enum Step {
    Finalized,
    Write(Write),
}

/// Brings the row of a claim in line with its local state. Has to be repeated after an error.
///
/// # Errors
/// Why the row could not be read or written.
pub async fn finalize(
    table: &dyn Table,
    group: &Arc<GroupCommitter>,
    open: &OpenClaim,
) -> Result<(), PlatformError> {
    for _ in 0..MAX_ATTEMPTS {
        let row = table.read(&open.key).await?;
        let write = match next_step(row.as_ref(), open)? {
            Step::Finalized => return Ok(()),
            Step::Write(write) => write,
        };
        match group.commit(write).await {
            Ok(()) => return Ok(()),
            Err(PlatformError::Conflict) => {}
            Err(error) => return Err(error),
        }
    }
    Err(PlatformError::Conflict)
}

/// Decides by the current row what has to be written.
///
/// If the answer to the write that made the claim was lost, that write may still be in flight. It
/// is conditional on version `base` of the row, so it can take effect only while the row has that
/// version; until then, a missing row or a row of another claim proves nothing. Writing over the
/// row at `base` makes the late write fail, and the released state lets the next retry run the
/// call.
fn next_step(row: Option<&Row>, open: &OpenClaim) -> Result<Step, PlatformError> {
    let body = open.row.body();
    let key = open.key.clone();
    let Some(row) = row else {
        return Ok(Step::Write(Write::Insert { key, body }));
    };
    let found = ClaimRow::read(row)?;
    let is_own = found.id == open.row.id;
    let replace = Write::Replace {
        key,
        version: row.version,
        body,
    };
    let step = match (is_own, &open.row.state) {
        (true, wanted) if found.state.finality() >= wanted.finality() => Step::Finalized,
        (true, _) => Step::Write(replace),
        (false, _) if row.version > open.base => Step::Finalized,
        (false, ClaimState::Released) => Step::Write(replace),
        (false, _) => Step::Finalized,
    };
    Ok(step)
}
