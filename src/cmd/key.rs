//! `celerystand key`: prints hashes of keys.

use std::io::{self, Read};

use admin::auth::hash_key;
use clap::ArgMatches;
use errors::{Context, Error};

use crate::{failure::Outcome, output};

/// Prints the hash of the key that standard input holds, leaving out white space around the key.
///
/// # Errors
/// Standard input can't be read or holds no key.
pub fn run(args: &ArgMatches) -> Outcome {
    if args.subcommand_name() != Some("hash") {
        return Err(Error::new("there is no such command").into());
    }
    let mut text = String::new();
    io::stdin()
        .read_to_string(&mut text)
        .context("reading the key from standard input")?;
    let key = text.trim();
    if key.is_empty() {
        return Err(Error::new("standard input holds no key").into());
    }
    output::line(hash_key(key))?;
    Ok(())
}
