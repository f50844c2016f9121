//! The command line of `celerystand-standin`.

use std::{io, net::SocketAddr};

use clap::{Arg, ArgMatches, Command, value_parser};
use derive_more::{Display, Error, From};
use serde::de::DeserializeOwned;
use smol::future;

use crate::{engine, platform, service};

/// Why a stand-in did not start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The settings can't be parsed.
    #[display("invalid settings: {_0}")]
    Settings(serde_json::Error),
    /// The listening socket can't be opened.
    #[display("can't listen: {_0}")]
    Listen(io::Error),
}

/// The command line with its subcommands.
#[must_use]
pub fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("Where to listen; port 0 picks a free one, which is printed");
    let settings = Arg::new("with")
        .long("with")
        .value_name("JSON")
        .default_value("{}")
        .help("Settings that differ from the defaults, as JSON");
    let workers = Arg::new("workers")
        .long("workers")
        .value_parser(value_parser!(usize))
        .default_value("1")
        .help("Worker threads");
    let standin = |name: &'static str, about: &'static str| {
        Command::new(name)
            .about(about)
            .args([listen.clone(), settings.clone(), workers.clone()])
    };
    Command::new("celerystand-standin")
        .about("Stand-ins for the platform, model engines and plain services, for tests")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            standin("platform", "Table service, object store and directory"),
            standin("engine", "Model engine with the OpenAI API"),
            standin("service", "Plain service that counts effects"),
        ])
}

/// Runs the stand-in that the command line names until the process is killed.
///
/// # Errors
/// Returns why the stand-in did not start.
pub fn run(matches: &ArgMatches) -> Result<(), StartError> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(());
    };
    workers::start(args.get_one("workers").copied().unwrap_or(1));
    smol::block_on(serve(name, args))
}

async fn serve(name: &str, args: &ArgMatches) -> Result<(), StartError> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = args.get_one("listen").copied().unwrap_or(any_port);
    match name {
        "platform" => {
            let handle = platform::start(addr, parse(args)?).await?;
            serve_until_killed(handle.addr).await;
        }
        "engine" => {
            let handle = engine::start(addr, parse(args)?).await?;
            serve_until_killed(handle.addr).await;
        }
        _ => {
            let handle = service::start(addr, parse(args)?).await?;
            serve_until_killed(handle.addr).await;
        }
    }
    Ok(())
}

async fn serve_until_killed(addr: SocketAddr) {
    println!("listening on {addr}");
    future::pending().await
}

fn parse<T: DeserializeOwned>(args: &ArgMatches) -> Result<T, StartError> {
    let text = args.get_one::<String>("with").map_or("{}", String::as_str);
    Ok(serde_json::from_str(text)?)
}
