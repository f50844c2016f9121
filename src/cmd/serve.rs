//! `celerystand serve`: runs one instance.

use clap::ArgMatches;

use crate::{
    cmd::{check, file_arg, logging},
    failure::Outcome,
};

/// Runs one instance until it is told to stop.
///
/// # Errors
/// The settings have faults, or the instance could not start.
pub fn run(args: &ArgMatches) -> Outcome {
    let settings = check::load(file_arg(args, "settings")?)?;
    logging::start(&settings.log);
    let result = node::serve(&settings);
    events::flush();
    Ok(result?)
}
