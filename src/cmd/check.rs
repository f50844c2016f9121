//! `celerystand check`: lists every fault in a settings file.

use std::path::Path;

use clap::ArgMatches;
use errors::Error;
use settings::Settings;

use crate::{cmd::file_arg, failure::Outcome, output};

/// Checks a settings file.
///
/// # Errors
/// As [`load`].
pub fn run(args: &ArgMatches) -> Outcome {
    let path = file_arg(args, "file")?;
    load(path)?;
    output::line(format_args!("{}: no faults", path.display()))?;
    Ok(())
}

/// Loads a settings file.
///
/// # Errors
/// The file can't be read or has faults; the message has a line for each of them.
pub fn load(path: &Path) -> Outcome<Settings> {
    settings::load(path).map_err(|faults| {
        let mut text = match faults.len() {
            1 => format!("one fault in {}", path.display()),
            count => format!("{count} faults in {}", path.display()),
        };
        for fault in faults {
            text.push_str("\n  ");
            text.push_str(&fault.to_string());
        }
        Error::new(text).into()
    })
}
