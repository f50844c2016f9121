//! `celerystand-standin`: stand-ins for the platform, model engines and plain services.

use std::process::ExitCode;

use standins::cli;

fn main() -> ExitCode {
    match cli::run(&cli::command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("celerystand-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
