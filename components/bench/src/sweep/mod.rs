//! The short mode: one owner's policy in virtual time against a few toy engine models.
//!
//! It serves for sweeps of margins and estimates, where real processes would take hours. It is
//! a fake at the owner's interface and no cluster simulator: several instances together are
//! only ever measured as real processes.

mod engine;
mod entry;
mod figures;
mod requests;
mod world;

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use policy::{MemoryEstimate, Tuning};

pub use figures::Figures;
pub use world::{Setup, run_one};

/// One variant of the decisions about memory.
#[derive(Clone, Debug)]
pub struct Variant {
    /// What the table calls it.
    pub name: String,
    /// Its figures.
    pub tuning: Tuning,
}

/// The command line of the short mode.
#[must_use]
pub fn command() -> Command {
    Command::new("sweep")
        .about("Drives one owner in virtual time against toy engines and prints a table")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of arrivals and lengths"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .default_value("300")
                .help("Virtual time"),
        )
        .arg(
            Arg::new("warm-up")
                .long("warm-up")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .default_value("30")
                .help("Virtual time before anything is counted; lengths are learned in it"),
        )
        .arg(
            Arg::new("takeover")
                .long("takeover")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .help("When another owner takes over, who knows nothing"),
        )
        .arg(
            Arg::new("load")
                .long("load")
                .value_name("PERCENT")
                .value_parser(value_parser!(u32))
                .value_delimiter(',')
                .default_value("60,90,120")
                .help("Loads, in percent of the engines' memory over time"),
        )
        .arg(list("share", "0.9", "Shares of memory to admit up to"))
        .arg(list(
            "spread",
            "2.5",
            "Standard deviations to keep free on top of the mean",
        ))
        .arg(
            Arg::new("variants")
                .long("variants")
                .value_name("NAME")
                .value_delimiter(',')
                .value_parser(["peak", "finals", "told"])
                .default_value("peak,finals,told")
                .help("How memory needs are worked out"),
        )
}

fn list(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("X")
        .value_parser(value_parser!(f64))
        .value_delimiter(',')
        .default_value(default)
        .help(help)
}

/// Runs all variants at all loads and prints one line of a Markdown table for each.
pub fn run(matches: &ArgMatches) {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(300);
    let warm_up = matches.get_one::<u64>("warm-up").copied().unwrap_or(30);
    let takeover = matches.get_one::<u64>("takeover").copied();
    println!("{}", Figures::header());
    for &load in matches.get_many::<u32>("load").into_iter().flatten() {
        for variant in variants(matches) {
            let setup = Setup {
                seed,
                seconds,
                warm_up: Duration::from_secs(warm_up),
                takeover: takeover.map(Duration::from_secs),
                load: f64::from(load) / 100.0,
                tuning: variant.tuning,
            };
            println!("{}", run_one(&setup).line(load, &variant.name));
        }
    }
}

fn variants(matches: &ArgMatches) -> Vec<Variant> {
    let mut variants = Vec::new();
    for name in matches.get_many::<String>("variants").into_iter().flatten() {
        match name.as_str() {
            "finals" => variants.push(finals()),
            "told" => variants.push(told()),
            _ => variants.extend(peaks(matches)),
        }
    }
    variants
}

fn finals() -> Variant {
    Variant {
        name: "sum of finals".to_owned(),
        tuning: Tuning {
            memory_estimate: MemoryEstimate::ExpectedFinals,
            admit_share: 1.0,
            ..Tuning::default()
        },
    }
}

fn told() -> Variant {
    Variant {
        name: "told lengths".to_owned(),
        tuning: Tuning::with_known_lengths(),
    }
}

/// The projected peak with each share and spread that was asked for.
fn peaks(matches: &ArgMatches) -> Vec<Variant> {
    let mut variants = Vec::new();
    for &admit_share in matches.get_many::<f64>("share").into_iter().flatten() {
        for &margin_deviations in matches.get_many::<f64>("spread").into_iter().flatten() {
            variants.push(Variant {
                name: format!("peak, share {admit_share}, spread {margin_deviations}"),
                tuning: Tuning {
                    admit_share,
                    margin_deviations,
                    ..Tuning::default()
                },
            });
        }
    }
    variants
}
