//! What each command does.

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

/// Runs the command that the command line names.
#[must_use]
pub fn run(matches: &ArgMatches) -> ExitCode {
    match dispatch(matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            // Where even this can't be written, the exit code still tells.
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

/// A file that the command line names; the command line makes sure that it is there.
fn file<'a>(args: &'a ArgMatches, id: &str) -> Outcome<&'a PathBuf> {
    args.get_one(id)
        .ok_or_else(|| Error::new("no file was named").into())
}

/// A text that the command line names; the command line makes sure that it is there.
fn text<'a>(args: &'a ArgMatches, id: &str) -> Outcome<&'a str> {
    args.get_one::<String>(id)
        .map(String::as_str)
        .ok_or_else(|| Error::new(format!("no {id} was named")).into())
}
