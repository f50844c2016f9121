//! `celerystand docs`: reference pages that are made from the code.

use clap::ArgMatches;
use errors::{Error, Result};

/// Prints a page.
///
/// # Errors
/// There is no such page.
pub fn run(args: &ArgMatches) -> Result<()> {
    let page = args.get_one::<String>("page").map(String::as_str);
    let text = match page {
        Some("events") => events::catalogue::page(),
        Some("settings") => settings::reference::page(),
        _ => return Err(Error::new("there is no such page")),
    };
    print!("{text}");
    Ok(())
}
