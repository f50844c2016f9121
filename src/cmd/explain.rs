//! `celerystand explain`: one request's story from the logs of several instances.

use std::collections::BTreeSet;

use clap::ArgMatches;
use errors::Error;
use serde_json::Value;

use crate::{
    cmd::{
        logs::{self, Found},
        text,
    },
    failure::Outcome,
    output,
};

/// Events that say what an instance had lost or learned, and so may be a request's cause.
const SURROUNDINGS: [u64; 11] = [100, 101, 103, 105, 106, 910, 912, 915, 916, 918, 919];
/// How long before a request's first line its surroundings are shown, in milliseconds. An engine
/// that leaves is gone two seconds after its notice, and keys are honoured for five without news.
const BEFORE_MS: u64 = 6_000;

/// Prints what happened to a request.
///
/// # Errors
/// A log can't be read, or none says anything about the request.
pub fn run(args: &ArgMatches) -> Outcome {
    let id = text(args, "id")?;
    let all = logs::read(args)?;
    let story = story(&all, id);
    if story.is_empty() {
        return Err(Error::new(format!("no log says anything about {id}")).into());
    }
    let from = story[0].line.time_ms;
    for found in &story {
        let at = i128::from(found.line.time_ms) - i128::from(from);
        output::line(format_args!(
            "{at:>8} ms  {}  {}",
            found.log, found.line.message
        ))?;
    }
    Ok(())
}

/// The request's own lines, and what its logs and targets say around them.
fn story(all: &[Found], id: &str) -> Vec<Found> {
    let own: Vec<&Found> = all.iter().filter(|found| about(found, "id", id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let window = first.line.time_ms.saturating_sub(BEFORE_MS)..=last.line.time_ms;
    let logs: BTreeSet<&str> = own.iter().map(|found| &*found.log).collect();
    let targets: BTreeSet<&str> = own
        .iter()
        .flat_map(|found| ["target", "from", "to"].map(|name| &found.line.fields[name]))
        .filter_map(Value::as_str)
        .collect();
    let belongs = |found: &&Found| {
        if about(found, "id", id) {
            return true;
        }
        let near = window.contains(&found.line.time_ms) && logs.contains(&*found.log);
        let target = found.line.fields["target"].as_str();
        let other = target.is_some_and(|target| !targets.contains(target));
        near && !other && SURROUNDINGS.contains(&found.line.number)
    };
    all.iter().filter(belongs).cloned().collect()
}

fn about(found: &Found, name: &str, value: &str) -> bool {
    found.line.fields[name] == value
}
