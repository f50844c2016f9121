//! Slopes for the capacity page: what one more peer, shard, target or request costs.
//!
//! In-process parts feed the same state machines as an instance does and count processor time,
//! so other work on the machine changes little. Real idle instances check the sum.

mod decisions;
mod fit;
mod heartbeats;
mod idle;
mod listing;
mod memory;
mod meter;
mod sizes;
mod world;

use std::io;

use clap::{Arg, ArgMatches, Command, value_parser};

pub use fit::{Fit, Point, fit};

use crate::process::Programs;

const PARTS: [&str; 7] = [
    "sizes", "members", "owner", "entry", "listing", "memory", "idle",
];

/// The command line.
#[must_use]
pub fn command() -> Command {
    Command::new("slopes")
        .about("Measures what each peer, shard, target and request costs, for the capacity page")
        .arg(
            Arg::new("part")
                .long("part")
                .value_delimiter(',')
                .value_parser(PARTS)
                .default_value("sizes,members,owner,entry,listing,memory,idle")
                .help("What to measure"),
        )
        .arg(
            Arg::new("instances")
                .long("instances")
                .value_delimiter(',')
                .value_parser(value_parser!(usize))
                .default_value("4,8,16,32,64")
                .help("Numbers of real instances, for the part idle"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("20")
                .help("Seconds for which each number of them is watched"),
        )
}

/// Measures and prints Markdown tables.
///
/// # Errors
/// Passes on why instances did not start.
pub async fn run(args: &ArgMatches) -> io::Result<()> {
    println!("load average before: {}", meter::load_average());
    for part in args.get_many::<String>("part").into_iter().flatten() {
        match part.as_str() {
            "sizes" => println!("{}", sizes::table()),
            "members" => heartbeats::tables().iter().for_each(|t| println!("{t}")),
            "owner" => println!("{}", decisions::owner()),
            "entry" => println!("{}", decisions::entry()),
            "listing" => println!("{}", listing::table()),
            "memory" => println!("{}", memory::table()),
            _ => {
                let numbers: Vec<usize> = args
                    .get_many("instances")
                    .into_iter()
                    .flatten()
                    .copied()
                    .collect();
                let seconds = args.get_one("seconds").copied().unwrap_or(20);
                let table = idle::table(&Programs::beside_this()?, &numbers, seconds).await?;
                println!("{table}");
            }
        }
    }
    println!("load average after: {}", meter::load_average());
    Ok(())
}
