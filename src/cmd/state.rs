//! `celerystand status`, `dump` and `history`: the state of an instance and the accepted changes.

use std::time::SystemTime;

use admin::message::{OverrideView, Status};
use clap::ArgMatches;
use config::HistoryEntry;
use serde_json::Value;

use crate::{
    cmd::{operator, print},
    failure::Outcome,
    output,
};

/// Prints a summary of an instance's state.
///
/// # Errors
/// The instance can't be reached or refuses.
pub fn status(args: &ArgMatches) -> Outcome {
    let status: Status = operator::client(args)?.get("/v1/status")?;
    Ok(print::json_or_text(args, &status, &status_lines(&status))?)
}

fn status_lines(status: &Status) -> String {
    let ready = match &status.reason {
        None => "yes".to_owned(),
        Some(reason) => format!("no: {reason}"),
    };
    let version = status
        .config_version
        .map_or_else(|| "none yet".to_owned(), |version| version.to_string());
    let out = match status.out.as_slice() {
        [] => "none".to_owned(),
        list => list.join(", "),
    };
    let overrides: String = status.overrides.iter().map(override_line).collect();
    format!(
        "instance       {}\ndata centre    {}\nprogram        {}\nready          {ready}\n\
         configuration  {version}\ntaken out      {out}{overrides}",
        status.instance, status.data_centre, status.program
    )
}

fn override_line(view: &OverrideView) -> String {
    let OverrideView {
        data_centre,
        who,
        seconds_left,
    } = view;
    format!("\nnot accepted   {data_centre}, kept out by {who} for another {seconds_left} s")
}

/// Prints the whole state of an instance as JSON.
///
/// # Errors
/// The instance can't be reached or refuses.
pub fn dump(args: &ArgMatches) -> Outcome {
    let state: Value = operator::client(args)?.get("/dump")?;
    Ok(print::json(&state)?)
}

/// Prints the accepted changes, newest first.
///
/// # Errors
/// The instance or the table service can't be reached, or the instance refuses.
pub fn history(args: &ArgMatches) -> Outcome {
    let limit = args.get_one::<u32>("limit").copied().unwrap_or_default();
    let path = format!("/v1/history?limit={limit}");
    let entries: Vec<HistoryEntry> = operator::client(args)?.get(&path)?;
    if print::wants_json(args) {
        return Ok(print::json(&entries)?);
    }
    for entry in &entries {
        output::line(history_line(entry, SystemTime::now()))?;
    }
    Ok(())
}

fn history_line(entry: &HistoryEntry, now: SystemTime) -> String {
    let age = now.duration_since(entry.at).unwrap_or_default().as_secs();
    let what = match &entry.change.node {
        None => "deleted".to_owned(),
        Some(node) => serde_json::to_string(node).unwrap_or_default(),
    };
    let (version, operator, path) = (entry.version, &entry.change.operator, &entry.change.path);
    format!("{version:>6}  {age:>8} s ago  {operator}  {path}  {what}")
}
