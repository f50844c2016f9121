//! The `celerystand` program; see the library for its commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = celerystand::cli::command().get_matches();
    celerystand::cmd::run(&matches)
}
