//! The command line.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

/// Exit codes, for `--help`.
const EXIT_CODES: &str = "Exit codes:
  0  done
  1  refused or failed; standard error says why
  2  the command line is wrong";

/// The whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("celerystand")
        .version(clap::crate_version!())
        .about("A serving system for generations of unknown length on crowded engines")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve())
        .subcommand(check())
        .subcommand(docs())
}

fn serve() -> Command {
    Command::new("serve")
        .about("Runs one instance until it is told to stop")
        .after_help("Example:\n  celerystand serve --settings /etc/celerystand.yml")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("The settings of this instance"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a settings file and lists every fault in it")
        .after_help("Example:\n  celerystand check /etc/celerystand.yml")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("The settings file"),
        )
}

fn docs() -> Command {
    Command::new("docs")
        .about("Prints a reference page that is made from the code")
        .hide(true)
        .arg(
            Arg::new("page")
                .value_name("PAGE")
                .value_parser(["events", "settings"])
                .required(true)
                .help("Which page"),
        )
}
