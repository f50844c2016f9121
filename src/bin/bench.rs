//! `celerystand-bench`: generates load and runs experiments.

use std::process::ExitCode;

use bench::cli;

fn main() -> ExitCode {
    match cli::run(&cli::command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("celerystand-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
