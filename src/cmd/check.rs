//! `celerystand check`: lists every fault of a settings file.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use errors::{Error, Result};
use settings::Settings;

/// Checks a settings file.
///
/// # Errors
/// Lists the faults.
pub fn run(args: &ArgMatches) -> Result<()> {
    let path = args
        .get_one::<PathBuf>("file")
        .ok_or_else(|| Error::new("no file was named"))?;
    load(path)?;
    println!("{}: no faults", path.display());
    Ok(())
}

/// Loads a settings file.
///
/// # Errors
/// One line for each fault.
pub fn load(path: &Path) -> Result<Settings> {
    settings::load(path).map_err(|faults| {
        let mut text = format!("{} faults in {}", faults.len(), path.display());
        for fault in faults {
            text.push_str("\n  ");
            text.push_str(&fault.to_string());
        }
        Error::new(text)
    })
}
