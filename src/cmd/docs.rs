//! `celerystand docs`: prints reference pages that are generated from the code.

use clap::ArgMatches;
use errors::Error;

use crate::{cmd::text_arg, failure::Outcome, output};

/// Prints the page that the command line names.
///
/// # Errors
/// There is no such page.
pub fn run(args: &ArgMatches) -> Outcome {
    let page = match text_arg(args, "page")? {
        "events" => events::catalogue::page(),
        "settings" => settings::reference::page(),
        other => return Err(Error::new(format!("there is no page {other}")).into()),
    };
    output::text(&page)?;
    Ok(())
}
