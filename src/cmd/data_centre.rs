//! `celerystand data-centre out|in`.

use admin::message::Accepted;
use clap::ArgMatches;
use errors::Error;
use hyper::Method;

use crate::{
    client::Seen,
    cmd::{operator, print, text},
    failure::Outcome,
};

/// Takes a data centre out of service or back in.
///
/// # Errors
/// The instance can't be reached or refuses.
pub fn run(args: &ArgMatches) -> Outcome {
    let Some((direction, args)) = args.subcommand() else {
        return Err(Error::new("say out or in").into());
    };
    let name = text(args, "name")?;
    let path = format!("/v1/data-centres/{name}/{direction}");
    let accepted: Accepted = operator::client(args)?.order(Method::POST, &path, Seen::Any)?;
    let line = format!(
        "data centre {name} is {direction}, configuration version {}",
        accepted.version
    );
    Ok(print::either(args, &accepted, &line)?)
}
