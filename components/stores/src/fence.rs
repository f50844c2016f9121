//! Fencing numbers: each number of a name is greater than those before it and issued only once.

use crate::api::{PlatformError, RowKey, Table, Write};

/// Partition of the rows whose versions are the fencing numbers.
const PARTITION: &str = "fence";
/// How often a number is requested while other instances request one at the same time.
const MAX_ATTEMPTS: usize = 16;

/// Returns the next fencing number of this name.
///
/// The number is the version of a row that is never deleted. If the answer to a commit is lost,
/// the next number is requested: skipping one does no harm, whereas using a number without a
/// confirmed commit could give two owners the same one.
///
/// # Errors
/// Fails if the table does. A number may have been skipped then.
pub async fn next(table: &dyn Table, name: &str) -> Result<u64, PlatformError> {
    let key = RowKey::new(PARTITION, name);
    let mut failure = PlatformError::Conflict;
    for _ in 0..MAX_ATTEMPTS {
        let version = table.read(&key).await?.map_or(0, |row| row.version);
        match table.commit(&[increment(&key, version)]).await {
            Ok(()) => return Ok(version.saturating_add(1)),
            Err(error @ (PlatformError::Conflict | PlatformError::Unknown { .. })) => {
                failure = error;
            }
            Err(error) => return Err(error),
        }
    }
    Err(failure)
}

fn increment(key: &RowKey, version: u64) -> Write {
    let key = key.clone();
    let body = "{}".into();
    match version {
        0 => Write::Insert { key, body },
        version => Write::Replace { key, version, body },
    }
}
