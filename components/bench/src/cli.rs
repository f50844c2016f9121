//! The command line of `celerystand-bench`.

use std::{fs, io, path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::de::DeserializeOwned;
use settings::Strategy;

use crate::{
    chaos::{self, Trial},
    cost,
    drive::{self, Outing, Run},
    fault::Fault,
    process::Programs,
    report,
    scenario::Scenario,
    slopes,
    summary::{Summary, strategy_name},
    sweep,
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
        .subcommands([
            run_command(),
            chaos_command(),
            cost_command(),
            slopes::command(),
            sweep::command(),
        ])
}

fn run_command() -> Command {
    let list = |name: &'static str| Arg::new(name).long(name).value_delimiter(',');
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
            decimal("seconds")
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
            decimal("out-at")
                .requires("in-at")
                .help("When, in seconds from the start"),
        )
        .arg(decimal("in-at").help("When it comes back"))
        .arg(path("out").required(true).help("Directory of the report"))
}

fn chaos_command() -> Command {
    Command::new("chaos")
        .about("Draws faults under load and checks the promises from outside")
        .arg(scenario("bench/chaos.yml"))
        .arg(seed())
        .arg(decimal("minutes").default_value("1").help("How long"))
        .arg(
            decimal("load")
                .default_value("0.5")
                .help("Load, in parts of what the engines bear"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_delimiter(',')
                .help("Faults to draw from, such as kill-instance,table-down; all by default"),
        )
        .arg(path("out").help("Directory of the instances' logs"))
}

fn cost_command() -> Command {
    Command::new("cost")
        .about("Measures what one instance costs against the stand-ins alone")
        .arg(scenario("bench/cost.yml"))
        .arg(
            Arg::new("calls")
                .long("calls")
                .value_parser(value_parser!(usize))
                .default_value("3000")
                .help("Calls that are timed"),
        )
}

fn scenario(default: &'static str) -> Arg {
    path("scenario")
        .default_value(default)
        .help("Scenario file, YAML")
}

fn decimal(name: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(f64))
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
        Some(("chaos", args)) => smol::block_on(run_chaos(args)),
        Some(("cost", args)) => smol::block_on(run_cost(args)),
        Some(("slopes", args)) => smol::block_on(slopes::run(args)),
        Some(("sweep", args)) => {
            sweep::run(args);
            Ok(())
        }
        _ => Ok(()),
    }
}

fn scenario_of(args: &ArgMatches) -> io::Result<Scenario> {
    let path = path_of(args, "scenario");
    let text = fs::read_to_string(&path)?;
    let wrong = |e| io::Error::other(format!("{}: {e}", path.display()));
    serde_saphyr::from_str(&text).map_err(wrong)
}

async fn run_chaos(args: &ArgMatches) -> io::Result<()> {
    let programs = Programs::beside_this()?;
    let minutes: f64 = args.get_one("minutes").copied().unwrap_or(1.0);
    let named = args.get_many::<String>("faults").into_iter().flatten();
    let mut faults = named
        .map(|name| by_name(name))
        .collect::<io::Result<Vec<_>>>()?;
    if faults.is_empty() {
        faults = Fault::all();
    }
    let trial = Trial {
        load: args.get_one("load").copied().unwrap_or(0.5),
        seed: args.get_one("seed").copied().unwrap_or(1),
        time: Duration::from_secs_f64(minutes * 60.0),
        faults,
    };
    let out = args.get_one::<PathBuf>("out").map(PathBuf::as_path);
    let shown = chaos::run(&programs, &scenario_of(args)?, &trial, out).await?;
    println!("{shown}");
    if shown.breaches.is_empty() {
        return Ok(());
    }
    Err(io::Error::other("promises were broken"))
}

async fn run_cost(args: &ArgMatches) -> io::Result<()> {
    let programs = Programs::beside_this()?;
    let calls = args.get_one("calls").copied().unwrap_or(3000);
    println!(
        "{}",
        cost::run(&programs, &scenario_of(args)?, calls).await?
    );
    Ok(())
}

async fn run_all(args: &ArgMatches) -> io::Result<()> {
    let programs = Programs::beside_this()?;
    let scenario = scenario_of(args)?;
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
                strategy: by_name::<Strategy>(strategy)?,
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

/// Reads a value by the name that files give it.
fn by_name<T: DeserializeOwned>(name: &str) -> io::Result<T> {
    serde_json::from_str(&format!("\"{name}\"")).map_err(io::Error::other)
}

fn path_of(args: &ArgMatches, name: &str) -> PathBuf {
    args.get_one::<PathBuf>(name).cloned().unwrap_or_default()
}
