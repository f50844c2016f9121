//! Making the table service say what became of a claim.

use std::sync::Arc;

use stores::{PlatformError, Row, Table, Write};

use crate::{
    group::Group,
    open::Open,
    row::{ClaimRow, State},
};

/// Tries against writes of others in one round.
const TRIES: usize = 4;

/// What one look at the row asks for.
enum Step {
    Settled,
    Write(Write),
}

/// Makes the table service agree with the state of a claim of this instance. To be repeated
/// after an error.
///
/// # Errors
/// Tells why it could not be settled now.
pub async fn finalize(
    table: &dyn Table,
    group: &Arc<Group>,
    open: &Open,
) -> Result<(), PlatformError> {
    for _ in 0..TRIES {
        let row = table.read(&open.key).await?;
        let write = match step(row.as_ref(), open)? {
            Step::Settled => return Ok(()),
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

/// Decides by the row what has to be written.
///
/// The claiming write itself may still be on its way if its answer was lost. It was made against
/// version `base` of the row, so it can take effect only while the row has that version; until
/// then a row of another claim, or none at all, proves nothing. Writing over the row at `base`
/// closes that door, and the marker it leaves lets the next repeat run the call.
fn step(row: Option<&Row>, open: &Open) -> Result<Step, PlatformError> {
    let body = open.row.body();
    let key = open.key.clone();
    let Some(row) = row else {
        return Ok(Step::Write(Write::Insert { key, body }));
    };
    let found = ClaimRow::read(row)?;
    let mine = found.id == open.row.id;
    let replace = Write::Replace {
        key,
        version: row.version,
        body,
    };
    let step = match (mine, &open.row.state) {
        (true, want) if found.state.rank() >= want.rank() => Step::Settled,
        (true, _) => Step::Write(replace),
        (false, _) if row.version > open.base => Step::Settled,
        (false, State::Released) => Step::Write(replace),
        (false, _) => Step::Settled,
    };
    Ok(step)
}
