//! What each command does.

pub mod check;
pub mod docs;
pub mod logging;
pub mod serve;

use std::process::ExitCode;

use clap::ArgMatches;
use errors::{Error, Result};

/// Runs the command that the command line names.
#[must_use]
pub fn run(matches: &ArgMatches) -> ExitCode {
    match dispatch(matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("celerystand: {error}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("serve", args)) => serve::run(args),
        Some(("check", args)) => check::run(args),
        Some(("docs", args)) => docs::run(args),
        _ => Err(Error::new("there is no such command")),
    }
}
