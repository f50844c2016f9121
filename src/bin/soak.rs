//! `celerystand-soak`: runs real instances under random faults and checks that the promises to
//! callers are kept.

use std::{io, path::PathBuf, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use soak::{SoakConfig, deployment::Sizes, planned, run};

fn command() -> Command {
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new("celerystand-soak")
        .about("Runs instances under random faults and checks the promises")
        .arg(number("seed", "The first seed", "1"))
        .arg(number("seeds", "How many seeds, one after the other", "1"))
        .arg(number(
            "seconds",
            "Length of the troubled part of a run",
            "20",
        ))
        .arg(number("instances", "Instances, each a process", "4"))
        .arg(number("engines", "Model engines", "5"))
        .arg(number("callers", "Callers", "24"))
        .arg(number(
            "kept",
            "Connections to each instance that are kept until it has ended",
            "16",
        ))
        .arg(number(
            "grace",
            "Seconds from the order to stop to an instance's end",
            "6",
        ))
        .arg(
            Arg::new("planned")
                .long("planned")
                .help("Planned work alone: stops, reloads, leaving engines, configurations")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("links")
                .long("links")
                .help("Instances have links of their own to the targets, which are cut")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("plan")
                .long("plan")
                .help("Print the plan of each seed, and run nothing")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .help("The program celerystand; the one beside this by default")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("dir")
                .long("dir")
                .help("Where settings and logs go, in a folder for each seed")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn main() -> ExitCode {
    match run_seeds(&command().get_matches()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("celerystand-soak: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all seeds one after the other and prints a report of each. Returns whether every promise
/// was kept.
fn run_seeds(args: &ArgMatches) -> io::Result<bool> {
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    let program = match args.get_one::<PathBuf>("program") {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("celerystand"),
    };
    let dir = args.get_one::<PathBuf>("dir").cloned().unwrap_or_default();
    let mut passed = true;
    for seed in number("seed")..number("seed").saturating_add(number("seeds")) {
        let soak = SoakConfig {
            program: program.clone(),
            dir: dir.join(seed.to_string()),
            seed,
            planned: args.get_flag("planned"),
            length: Duration::from_secs(number("seconds")),
            sizes: Sizes {
                instances: count("instances"),
                engines: count("engines"),
                callers: count("callers"),
                persistent_connections: count("kept"),
                grace_s: number("grace"),
                has_links: args.get_flag("links"),
                ..Sizes::default()
            },
        };
        if args.get_flag("plan") {
            println!("seed {seed}\n{}", planned(&soak));
            continue;
        }
        let report = smol::block_on(run(&soak))?;
        let verdict = if report.violations.is_empty() {
            "kept"
        } else {
            "BROKEN"
        };
        println!("seed {seed}: {verdict}\n{report}");
        passed &= report.violations.is_empty();
    }
    Ok(passed)
}
