//! `celerystand serve`: runs one instance.

use std::path::PathBuf;

use clap::ArgMatches;
use errors::{Error, Result};

use crate::cmd::{check, logging};

/// Runs one instance until it is told to stop.
///
/// # Errors
/// Tells why it could not start.
pub fn run(args: &ArgMatches) -> Result<()> {
    let path = args
        .get_one::<PathBuf>("settings")
        .ok_or_else(|| Error::new("no settings file was named"))?;
    let settings = check::load(path)?;
    logging::start(&settings.log);
    serve(settings)
}

// Stands in until `node::serve(Settings) -> errors::Result<()>` is on the main branch.
fn serve(_settings: settings::Settings) -> Result<()> {
    Err(Error::new("this build has no instance yet"))
}
