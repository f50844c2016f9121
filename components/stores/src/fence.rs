//! Fencing numbers: they only grow, and no two askers get the same.

use crate::api::{PlatformError, RowKey, Table, Write};

/// Partition of the rows whose versions are the numbers.
const PARTITION: &str = "fence";
/// Tries against others who ask at the same moment.
const TRIES: usize = 16;

/// Takes the next number of this name.
///
/// The number is the version of a row that is never deleted. After a lost answer another number
/// is taken: the first may have been used up by the write, which leaves a gap and nothing worse,
/// while using it on a guess could give two owners the same number.
///
/// # Errors
/// Tells why no number could be had; a number may have been used up.
pub async fn next(table: &dyn Table, name: &str) -> Result<u64, PlatformError> {
    let key = RowKey::new(PARTITION, name);
    let mut failure = PlatformError::Conflict;
    for _ in 0..TRIES {
        let version = table.read(&key).await?.map_or(0, |row| row.version);
        match table.commit(&[bump(&key, version)]).await {
            Ok(()) => return Ok(version.saturating_add(1)),
            Err(error @ (PlatformError::Conflict | PlatformError::Unknown { .. })) => {
                failure = error;
            }
            Err(error) => return Err(error),
        }
    }
    Err(failure)
}

fn bump(key: &RowKey, version: u64) -> Write {
    let key = key.clone();
    let body = "{}".into();
    match version {
        0 => Write::Insert { key, body },
        version => Write::Replace { key, version, body },
    }
}
