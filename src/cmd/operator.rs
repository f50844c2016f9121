//! Address and key of the instance that a command calls, from the command line and the environment.

use std::{env, fs, net::SocketAddr, path::PathBuf, sync::Arc};

use clap::ArgMatches;
use errors::{Context, Error};

use crate::{cli::DEFAULT_ADMIN_ADDR, client::AdminClient, failure::Outcome};

/// Makes a client from the command line and the environment. Changes are recorded under the name in
/// `USER`, or `operator` if that is not set.
///
/// # Errors
/// The address is not `IP:PORT`, or the key is missing or can't be read.
pub fn client(args: &ArgMatches) -> Outcome<AdminClient> {
    let operator = env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    Ok(AdminClient::new(addr(args)?, key(args)?, operator.into()))
}

fn addr(args: &ArgMatches) -> Outcome<SocketAddr> {
    if let Some(addr) = args.get_one::<SocketAddr>("admin") {
        return Ok(*addr);
    }
    let text = env::var("CELERYSTAND_ADMIN").unwrap_or_else(|_| DEFAULT_ADMIN_ADDR.to_owned());
    let addr = text
        .parse()
        .context(format!("CELERYSTAND_ADMIN={text} is not IP:PORT"))?;
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
