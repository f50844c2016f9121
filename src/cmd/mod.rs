//! Implementations of the commands, and the dispatch to them.

pub mod check;
pub mod complete;
pub mod data_centre;
pub mod docs;
pub mod document;
pub mod explain;
pub mod key;
pub mod logging;
pub mod logs;
pub mod losses;
pub mod node;
pub mod operator;
pub mod platform;
pub mod print;
pub mod serve;
pub mod state;
pub mod try_out;
pub mod try_platform;

use std::{
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
};

use clap::ArgMatches;
use errors::Error;

use crate::failure::Outcome;

/// Runs the command that the command line names. Prints a failure to standard error and returns its
/// exit code.
#[must_use]
pub fn run(matches: &ArgMatches) -> ExitCode {
    match dispatch(matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            // If standard error can't be written either, the exit code still reports the failure.
            let _ = writeln!(io::stderr(), "celerystand: {failure}");
            failure.exit_code()
        }
    }
}

fn dispatch(matches: &ArgMatches) -> Outcome {
    let Some((name, args)) = matches.subcommand() else {
        return Err(Error::new("no command was named").into());
    };
    match name {
        "serve" => serve::run(args),
        "platform" => platform::run(args),
        "try" => try_out::run(args),
        "check" => check::run(args),
        "get" => node::get(args),
        "set" => node::set(args),
        "delete" => node::delete(args),
        "export" => document::export(args),
        "import" => document::import(args),
        "validate" => document::validate(args),
        "history" => state::history(args),
        "data-centre" => data_centre::run(args),
        "status" => state::status(args),
        "dump" => state::dump(args),
        "key" => key::run(args),
        "completions" => complete::run(args),
        "docs" => docs::run(args),
        "explain" => explain::run(args),
        "losses" => losses::run(args),
        _ => Err(Error::new("there is no such command").into()),
    }
}

/// The value of a required argument that names a file.
///
/// # Errors
/// The argument is missing, which the definition of the command line rules out.
fn file_arg<'a>(args: &'a ArgMatches, id: &str) -> Outcome<&'a PathBuf> {
    args.get_one(id)
        .ok_or_else(|| Error::new("no file was named").into())
}

/// The value of a required text argument.
///
/// # Errors
/// As [`file_arg`].
fn text_arg<'a>(args: &'a ArgMatches, id: &str) -> Outcome<&'a str> {
    args.get_one::<String>(id)
        .map(String::as_str)
        .ok_or_else(|| Error::new(format!("no {id} was named")).into())
}
