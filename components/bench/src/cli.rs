//! The command line of `celerystand-bench`.

use std::{fs, io, path::PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use settings::Strategy;

use crate::{
    drive::{self, Outing, Run},
    process::Programs,
    report,
    scenario::Scenario,
    summary::{Summary, strategy_name},
};

/// Threads of the load tool itself.
const WORKERS: usize = 4;

/// The commands.
#[must_use]
pub fn command() -> Command {
    Command::new("celerystand-bench")
        .about("Measures celerystand with real processes on one machine")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run_command())
}

fn run_command() -> Command {
    let list = |name: &'static str| Arg::new(name).long(name).value_delimiter(',');
    let number = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(f64));
    Command::new("run")
        .about("Runs a scenario for each strategy and load, and writes a report")
        .arg(path("scenario").required(true).help("Scenario file, YAML"))
        .arg(
            list("strategy")
                .default_value("owner,round-robin,least-loaded,fixed-share,oracle")
                .help("How requests are placed"),
        )
        .arg(
            list("load")
                .value_parser(value_parser!(f64))
                .default_value("0.6,0.9,1.2")
                .help("Loads, in parts of what the engines bear"),
        )
        .arg(seed())
        .arg(
            number("seconds")
                .default_value("40")
                .help("Seconds that count"),
        )
        .arg(
            Arg::new("out-zone")
                .long("out-zone")
                .requires("out-at")
                .help("Takes this data centre out and in again"),
        )
        .arg(
            number("out-at")
                .requires("in-at")
                .help("When, in seconds from the start"),
        )
        .arg(number("in-at").help("When it comes back"))
        .arg(path("out").required(true).help("Directory of the report"))
}

fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of the arrivals")
}

fn path(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(PathBuf))
}

/// Runs what the command line asks for.
///
/// # Errors
/// Passes on what went wrong.
pub fn run(matches: &ArgMatches) -> io::Result<()> {
    workers::start(WORKERS);
    match matches.subcommand() {
        Some(("run", args)) => smol::block_on(run_all(args)),
        _ => Ok(()),
    }
}

async fn run_all(args: &ArgMatches) -> io::Result<()> {
    let programs = Programs::beside_this()?;
    let text = fs::read_to_string(path_of(args, "scenario"))?;
    let scenario: Scenario = serde_saphyr::from_str(&text).map_err(io::Error::other)?;
    let out = path_of(args, "out");
    let mut summaries = Vec::new();
    for run in runs(args)? {
        let strategy = strategy_name(&run);
        let dir = out.join(format!("{strategy}-{:.0}", run.load * 100.0));
        let measured = drive::run(&programs, &scenario, &run, &dir).await?;
        let summary = Summary::new(&run, scenario.warm_up, &measured);
        println!(
            "{strategy} at {:.0}%: {:.1} preemptions per 1,000, p99 gap {:.1} ms, {:.1} generations/s",
            run.load * 100.0,
            summary.preemptions,
            summary.gaps.p99,
            summary.goodput,
        );
        fs::write(
            dir.join("records.json"),
            serde_json::to_vec(&measured.records)?,
        )?;
        summaries.push(summary);
        let command: Vec<String> = std::env::args().skip(1).collect();
        let command = format!("celerystand-bench {}", command.join(" "));
        report::write(&out, &scenario.name, &command, &summaries)?;
    }
    Ok(())
}

fn runs(args: &ArgMatches) -> io::Result<Vec<Run>> {
    let mut runs = Vec::new();
    let strategies: Vec<&String> = args.get_many("strategy").into_iter().flatten().collect();
    for load in args.get_many::<f64>("load").into_iter().flatten() {
        for strategy in &strategies {
            runs.push(Run {
                strategy: strategy_of(strategy)?,
                load: *load,
                seed: args.get_one("seed").copied().unwrap_or(1),
                seconds: args.get_one("seconds").copied().unwrap_or(40.0),
                outing: outing(args),
            });
        }
    }
    Ok(runs)
}

fn outing(args: &ArgMatches) -> Option<Outing> {
    Some(Outing {
        zone: args.get_one::<String>("out-zone")?.clone(),
        out: *args.get_one("out-at")?,
        back: *args.get_one("in-at")?,
    })
}

fn strategy_of(name: &str) -> io::Result<Strategy> {
    serde_json::from_str(&format!("\"{name}\"")).map_err(io::Error::other)
}

fn path_of(args: &ArgMatches, name: &str) -> PathBuf {
    args.get_one::<PathBuf>(name).cloned().unwrap_or_default()
}
