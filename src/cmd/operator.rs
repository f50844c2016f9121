//! Which instance a command talks to, and with which key.

use std::{env, fs, net::SocketAddr, path::PathBuf, sync::Arc};

use clap::ArgMatches;
use errors::{Context, Error};

use crate::{cli::DEFAULT_ADMIN, client::AdminClient, failure::Outcome};

/// The client that the command line and the environment describe.
///
/// # Errors
/// The address or the key is missing or can't be read.
pub fn client(args: &ArgMatches) -> Outcome<AdminClient> {
    let who = env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    Ok(AdminClient::new(addr(args)?, key(args)?, who.into()))
}

fn addr(args: &ArgMatches) -> Outcome<SocketAddr> {
    if let Some(addr) = args.get_one::<SocketAddr>("admin") {
        return Ok(*addr);
    }
    let text = env::var("CELERYSTAND_ADMIN").unwrap_or_else(|_| DEFAULT_ADMIN.to_owned());
    let addr = text
        .parse()
        .context(format!("CELERYSTAND_ADMIN={text} is no IP:PORT"))?;
    Ok(addr)
}

fn key(args: &ArgMatches) -> Outcome<Arc<str>> {
    let key = match args.get_one::<PathBuf>("key-file") {
        Some(path) => {
            fs::read_to_string(path).context(format!("reading the key from {}", path.display()))?
        }
        None => env::var("CELERYSTAND_KEY").map_err(|_| {
            Error::new("no operator's key: give --key-file FILE or set CELERYSTAND_KEY")
        })?,
    };
    Ok(key.trim().into())
}
