//! `celerystand platform`: runs one instance on the users' platform.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
};

use clap::ArgMatches;
use errors::Context;
use events::{Format, Level, Output};
use front::{Adapters, Decisions, Signals};
use net::Client;
use platform::{EngineClient, HttpAdapter, RowStore};

use crate::failure::{Failure, FailureKind, Outcome};

/// Number of worker threads. An instance has less than one core, on which further threads would run
/// in turn and gain nothing.
const WORKERS: usize = 1;

/// Runs one instance with the settings that the platform wrote, until it is told to stop.
///
/// # Errors
/// The settings or the decisions can't be read, or the instance could not start.
pub fn run(args: &ArgMatches) -> Outcome {
    let level = if args.get_flag("quiet") {
        Level::Warn
    } else {
        Level::Info
    };
    let signals = Signals::watch()?;
    events::init(level, Format::Json, Output::Stdout);
    let path = platform::path().context("settings")?;
    let mut cfg = platform::load(&path).context(path.display().to_string())?;
    if let Some(path) = args.get_one::<PathBuf>("decisions") {
        cfg.decisions = decisions(path)?;
    }
    workers::start(WORKERS);
    let memory = front::memory_budget(&cfg);
    let client = Client::new()
        .with_connect_timeout(front::reaching::paths::CONNECT_TIMEOUT)
        .with_resets();
    let adapters = Adapters {
        protocol: Arc::new(HttpAdapter::new()),
        engines: Arc::new(EngineClient::new(client.clone())),
        client,
        store: Arc::new(RowStore::new(Client::new(), cfg.store).with_memory(memory.clone())),
        reload: Box::new(move || platform::load(&path).context(path.display().to_string())),
        memory,
    };
    let result = front::serve(cfg, adapters, signals);
    events::flush();
    Ok(result?)
}

/// Reads the decisions file, in which operators override defaults of the decisions.
///
/// # Errors
/// The file can't be read or decoded, or has invalid figures; the message lists all of them.
pub fn decisions(path: &Path) -> Outcome<Decisions> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).context(file.clone())?;
    let decisions: Decisions = serde_saphyr::from_str(&text).context(file.clone())?;
    let faults = decisions.placing.faults();
    if faults.is_empty() {
        return Ok(decisions);
    }
    Err(Failure::new(
        FailureKind::Failed,
        format!("{file}: {}", faults.join("; ")),
    ))
}
