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

use clap::{Arg, ArgMatches, Command, value_parser};
use policy::{Admission, Tuning};

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
    println!("{}", Figures::header());
    for &load in matches.get_many::<u32>("load").into_iter().flatten() {
        for variant in variants(matches) {
            let setup = Setup {
                seed,
                seconds,
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
        for &share in matches.get_many::<f64>("share").into_iter().flatten() {
            let base = Tuning {
                share,
                ..Tuning::default()
            };
            match name.as_str() {
                "finals" => variants.push(Variant {
                    name: format!("sum of finals, share {share}"),
                    tuning: Tuning {
                        admission: Admission::ExpectedFinals,
                        ..base
                    },
                }),
                "told" => variants.push(Variant {
                    name: format!("told lengths, share {share}"),
                    tuning: Tuning {
                        admission: Admission::Told,
                        ..base
                    },
                }),
                _ => {
                    for &spread in matches.get_many::<f64>("spread").into_iter().flatten() {
                        variants.push(Variant {
                            name: format!("peak, share {share}, spread {spread}"),
                            tuning: Tuning { spread, ..base },
                        });
                    }
                }
            }
        }
    }
    variants
}
