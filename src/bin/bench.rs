//! The load and experiment tool.

use clap::command;

fn main() {
    let matches = command!()
        .subcommand_required(true)
        .subcommand(bench::sweep::command())
        .get_matches();
    if let Some(("sweep", matches)) = matches.subcommand() {
        bench::sweep::run(matches);
    }
}
