//! `celerystand completions`: prints completions for a shell.

use clap::ArgMatches;
use clap_complete::{Shell, generate};
use errors::Error;

use crate::{cli, failure::Outcome, output};

/// Prints the completion script for the shell that the command line names.
///
/// # Errors
/// No shell was named.
pub fn run(args: &ArgMatches) -> Outcome {
    let shell = args
        .get_one::<Shell>("shell")
        .ok_or_else(|| Error::new("no shell was named"))?;
    let mut buf = Vec::new();
    generate(*shell, &mut cli::command(), "celerystand", &mut buf);
    Ok(output::text(&String::from_utf8_lossy(&buf))?)
}
