//! `celerystand explain`: shows what happened to one request, from the logs of several instances.

use std::collections::BTreeSet;

use clap::ArgMatches;
use errors::Error;
use serde_json::Value;

use crate::{
    cmd::{
        logs::{self, SourcedEntry},
        text_arg,
    },
    failure::Outcome,
    output,
};

/// Numbers of events about the state of an instance, its peers, its targets and the store, which
/// may be the cause of what happened to a request.
const CONTEXT_EVENTS: [u64; 11] = [100, 101, 103, 105, 106, 910, 912, 915, 916, 918, 919];
/// How long before a request's first entry such events are shown, in milliseconds. An engine that
/// leaves may be gone two seconds after its notice, and keys are honoured for five seconds without
/// an update from the store, so that a cause can lie that far back.
const CONTEXT_BEFORE_MS: u64 = 6_000;

/// Prints the entries of a request and the events around it, with times relative to the first.
///
/// # Errors
/// A log can't be read, or none says anything about the request.
pub fn run(args: &ArgMatches) -> Outcome {
    let id = text_arg(args, "id")?;
    let all = logs::read(args)?;
    let entries = related_entries(&all, id);
    if entries.is_empty() {
        return Err(Error::new(format!("no log says anything about {id}")).into());
    }
    let from = entries[0].entry.time_ms;
    for sourced in &entries {
        let at = i128::from(sourced.entry.time_ms) - i128::from(from);
        output::line(format_args!(
            "{at:>8} ms  {}  {}",
            sourced.log, sourced.entry.message
        ))?;
    }
    Ok(())
}

/// Returns the entries that carry the request's id, and those of [`CONTEXT_EVENTS`] in the same
/// logs shortly before or during the request, except those about targets that it was not sent to.
fn related_entries(all: &[SourcedEntry], id: &str) -> Vec<SourcedEntry> {
    let own: Vec<&SourcedEntry> = all
        .iter()
        .filter(|sourced| has_field(sourced, "id", id))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let window = first.entry.time_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last.entry.time_ms;
    let logs: BTreeSet<&str> = own.iter().map(|sourced| &*sourced.log).collect();
    let targets: BTreeSet<&str> = own
        .iter()
        .flat_map(|sourced| ["target", "from", "to"].map(|name| &sourced.entry.fields[name]))
        .filter_map(Value::as_str)
        .collect();
    let is_related = |sourced: &&SourcedEntry| {
        if has_field(sourced, "id", id) {
            return true;
        }
        let is_near = window.contains(&sourced.entry.time_ms) && logs.contains(&*sourced.log);
        let target = sourced.entry.fields["target"].as_str();
        let is_of_other_target = target.is_some_and(|target| !targets.contains(target));
        is_near && !is_of_other_target && CONTEXT_EVENTS.contains(&sourced.entry.number)
    };
    all.iter().filter(is_related).cloned().collect()
}

fn has_field(sourced: &SourcedEntry, name: &str, value: &str) -> bool {
    sourced.entry.fields[name] == value
}
