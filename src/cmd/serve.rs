//! `celerystand serve`: runs one instance.

use clap::ArgMatches;

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
    let result = node::serve(&settings);
    events::flush();
    Ok(result?)
}
