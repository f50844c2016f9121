//! `celerystand try`: one instance with built-in stand-ins.

use clap::ArgMatches;
use errors::Error;

use crate::failure::Outcome;

/// Runs the demonstration.
///
/// # Errors
/// Tells what did not work.
pub fn run(_args: &ArgMatches) -> Outcome {
    Err(Error::new("this build has no instance yet").into())
}
