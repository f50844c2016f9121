//! `celerystand docs`: reference pages that are made from the code.

use clap::ArgMatches;
use errors::Error;

use crate::{cmd::text, failure::Outcome, output};

/// Prints a page.
///
/// # Errors
/// There is no such page.
pub fn run(args: &ArgMatches) -> Outcome {
    let page = match text(args, "page")? {
        "events" => events::catalogue::page(),
        "settings" => settings::reference::page(),
        other => return Err(Error::new(format!("there is no page {other}")).into()),
    };
    output::text(&page)?;
    Ok(())
}
