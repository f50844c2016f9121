//! `celerystand try`: a demonstration of one instance with built-in stand-ins.

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
    client::{AdminClient, Precondition},
    cmd::{logging, try_platform},
    demo::{InstanceAddrs, OPERATOR_KEY, StandIns, call::Caller, instance, show},
    failure::{FailureKind, Outcome},
    output,
};

/// Maximum number of attempts to start the instance.
const MAX_START_ATTEMPTS: usize = 5;
/// Time after which a failed import of the configuration tree is no longer retried.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two attempts to import the tree.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the demonstration and stays up, or ends with `--once`.
///
/// # Errors
/// A stand-in or the instance did not start, or a step of the demonstration failed.
pub fn run(args: &ArgMatches) -> Outcome {
    logging::start(&Log {
        level: LogLevel::Error,
        ..Log::default()
    });
    if args.get_flag("platform") {
        return try_platform::run(args.get_flag("once"));
    }
    let stand_ins = smol::block_on(StandIns::start()).context("starting the stand-ins")?;
    let (addrs, instance) = start_instance(&stand_ins)?;
    stand_ins.list_instance(addrs.peer);
    output::line("One instance, two engines, a plain service and a platform, in one process.")?;
    output::line(format_args!("  callers    http://{}", addrs.listen))?;
    output::line(format_args!("  operators  http://{}", addrs.admin))?;

    import_tree(&addrs)?;
    smol::block_on(demonstrate(&addrs, &stand_ins))?;
    if args.get_flag("once") {
        smol::block_on(instance.shut_down());
        return Ok(());
    }
    show::example_commands(&addrs)?;
    // Ctrl-C ends the process: nothing here outlives it.
    smol::block_on(future::pending())
}

/// Starts the instance on free ports. Another process, such as a second `try`, may bind a port
/// between its allocation and the start, in which case the start is retried with other ports.
fn start_instance(stand_ins: &StandIns) -> Outcome<(InstanceAddrs, Instance)> {
    let mut attempts_left = MAX_START_ATTEMPTS;
    loop {
        attempts_left -= 1;
        let addrs = InstanceAddrs::allocate().context("finding free ports")?;
        let settings = addrs.settings(stand_ins.platform.addr);
        match smol::block_on(Instance::start(&settings)) {
            Ok(instance) => return Ok((addrs, instance)),
            Err(_) if attempts_left > 0 => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Imports the configuration tree through the administration API. Retried while the instance is
/// unavailable, because it accepts no change before its first read of the table service.
fn import_tree(addrs: &InstanceAddrs) -> Outcome {
    let client = AdminClient::new(addrs.admin, OPERATOR_KEY.into(), "try".into());
    let timer = Timer::new();
    let write = || {
        client.send(
            Method::PUT,
            "/v1/tree",
            Precondition::None,
            &instance::tree(),
        )
    };
    let outcome: DocumentOutcome = loop {
        match write() {
            Err(failure)
                if failure.kind == FailureKind::Unavailable && timer.now() < IMPORT_TIMEOUT =>
            {
                smol::block_on(timer.sleep(RETRY_INTERVAL));
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

async fn demonstrate(addrs: &InstanceAddrs, stand_ins: &StandIns) -> errors::Result<()> {
    show::wait_until_ready(addrs).await?;
    let caller = Caller::new(addrs.listen);
    show::streamed_answer(&caller).await?;
    show::idempotent_call(&caller, stand_ins).await?;
    show::refusal(&caller, stand_ins).await?;
    show::metrics(addrs).await
}
