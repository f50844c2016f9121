//! `celerystand try`: one instance with built-in stand-ins.

use std::time::Duration;

use admin::message::DocumentOutcome;
use clap::ArgMatches;
use errors::Context;
use hyper::Method;
use node::Instance;
use settings::{Log, LogLevel};
use smol::future;
use timer::Timer;

use crate::{
    client::{AdminClient, Seen},
    cmd::{logging, try_platform},
    demo::{OPERATOR_KEY, Place, Surroundings, call::Caller, place, show},
    failure::{FailureKind, Outcome},
    output,
};

/// How often the instance is tried to be started.
const ATTEMPTS: usize = 5;
/// Time for the instance to take the tree.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two tries.
const POLL: Duration = Duration::from_millis(100);

/// Runs the demonstration and stays up, or ends with `--once`.
///
/// # Errors
/// Tells what did not work.
pub fn run(args: &ArgMatches) -> Outcome {
    logging::start(&Log {
        level: LogLevel::Error,
        ..Log::default()
    });
    if args.get_flag("platform") {
        return try_platform::run(args.get_flag("once"));
    }
    let around = smol::block_on(Surroundings::start()).context("starting the stand-ins")?;
    let (place, instance) = start_instance(&around)?;
    around.list_instance(place.peer);
    output::line("One instance, two engines, a plain service and a platform, in one process.")?;
    output::line(format_args!("  callers    http://{}", place.listen))?;
    output::line(format_args!("  operators  http://{}", place.admin))?;

    seed(&place)?;
    smol::block_on(demonstrate(&place, &around))?;
    if args.get_flag("once") {
        smol::block_on(instance.shut_down());
        return Ok(());
    }
    show::lines_to_copy(&place)?;
    // Ctrl-C ends the process: nothing here outlives it.
    smol::block_on(future::pending())
}

/// Starts the instance on free ports. Between finding a port and listening on it another process
/// may take it, for instance a second `try`; so it is tried again with others.
fn start_instance(around: &Surroundings) -> Outcome<(Place, Instance)> {
    let mut attempts_left = ATTEMPTS;
    loop {
        attempts_left -= 1;
        let place = Place::find().context("finding free ports")?;
        let settings = place.settings(around.platform.addr);
        match smol::block_on(Instance::start(&settings)) {
            Ok(instance) => return Ok((place, instance)),
            Err(_) if attempts_left > 0 => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Writes the tree as an operator would. Until the instance has read the table service for the
/// first time it takes no change.
fn seed(place: &Place) -> Outcome {
    let client = AdminClient::new(place.admin, OPERATOR_KEY.into(), "try".into());
    let timer = Timer::new();
    let write = || client.send(Method::PUT, "/v1/tree", Seen::Any, &place::tree());
    let outcome: DocumentOutcome = loop {
        match write() {
            Err(failure) if failure.kind == FailureKind::Unavailable && timer.now() < PATIENCE => {
                smol::block_on(timer.sleep(POLL));
            }
            outcome => break outcome?,
        }
    };
    output::line(format_args!(
        "  tree       {} nodes written, version {}",
        outcome.written.len(),
        outcome.version
    ))?;
    Ok(())
}

async fn demonstrate(place: &Place, around: &Surroundings) -> errors::Result<()> {
    show::until_served(place).await?;
    let caller = Caller::new(place.listen);
    show::streamed_answer(&caller).await?;
    show::keyed_call(&caller, around).await?;
    show::refusal(&caller, around).await?;
    show::metrics(place).await
}
