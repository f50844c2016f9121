//! `celerystand serve`: runs one instance.

use clap::ArgMatches;
use errors::{Error, Result};

use crate::{
    cmd::{check, file, logging},
    failure::Outcome,
};

/// Runs one instance until it is told to stop.
///
/// # Errors
/// Tells why it could not start.
pub fn run(args: &ArgMatches) -> Outcome {
    let settings = check::load(file(args, "settings")?)?;
    logging::start(&settings.log);
    Ok(serve(settings)?)
}

// Stands in until `node::serve(Settings) -> errors::Result<()>` is on the main branch.
fn serve(_settings: settings::Settings) -> Result<()> {
    Err(Error::new("this build has no instance yet"))
}
