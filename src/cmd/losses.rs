//! `celerystand losses`: counts by cause the requests that were not served.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use clap::ArgMatches;
use errors::Error;

use crate::{
    cmd::logs::{self, SourcedEntry},
    failure::Outcome,
    output,
};

/// Number of the event that a request got an answer of the instance in place of a target's.
const REFUSED: u64 = 900;
/// Number of the event that a request was sent to a target.
const SENT: u64 = 901;
/// Number of the event that a target's whole answer was passed on.
const ANSWERED: u64 = 903;
/// Number of the event that a generation's stream could not be continued.
const STREAM_CUT: u64 = 905;
/// Number of the event that a request's caller closed its connection before there was an answer.
const DROPPED: u64 = 923;
/// Number of the event that the process ended before it answered a request.
const UNANSWERED: u64 = 924;

/// The requests that were lost to one cause.
#[derive(Debug, Default)]
struct CauseTotals {
    /// Number of requests.
    count: usize,
    /// How long each request was held, in milliseconds, where that is known.
    held: Vec<u64>,
    /// When the first of them ended, in milliseconds since 1970.
    first: u64,
    /// When the last of them ended, in milliseconds since 1970.
    last: u64,
}

impl CauseTotals {
    fn add(&mut self, at: u64, held: Option<u64>) {
        self.first = if self.count == 0 {
            at
        } else {
            self.first.min(at)
        };
        self.last = self.last.max(at);
        self.count += 1;
        self.held.extend(held);
    }

    fn median_held(&self) -> Option<u64> {
        let mut held = self.held.clone();
        held.sort_unstable();
        held.get(held.len() / 2).copied()
    }
}

/// Prints the number of served requests, then the causes of the others, the most frequent first.
///
/// # Errors
/// A log can't be read, or the logs have no entry of an instance.
pub fn run(args: &ArgMatches) -> Outcome {
    let all = logs::read(args)?;
    let Some(first) = all.first() else {
        return Err(Error::new("there is no line of an instance in these logs").into());
    };
    let from = first.entry.time_ms;
    let (served, losses) = sum_by_cause(&all);
    output::line(format_args!("{served:>8}  served"))?;
    let mut losses: Vec<(String, CauseTotals)> = losses.into_iter().collect();
    losses.sort_by_key(|(_, totals)| Reverse(totals.count));
    for (cause, totals) in losses {
        let seconds = |ms: u64| u128::from(ms.saturating_sub(from)) / 1_000;
        let held = totals
            .median_held()
            .map_or(String::new(), |ms| format!(", held {ms} ms at the median"));
        output::line(format_args!(
            "{:>8}  {cause}; from second {} to {}{held}",
            totals.count,
            seconds(totals.first),
            seconds(totals.last),
        ))?;
    }
    Ok(())
}

/// Returns the number of requests that were served, and the others by cause.
fn sum_by_cause(all: &[SourcedEntry]) -> (usize, BTreeMap<String, CauseTotals>) {
    let mut losses: BTreeMap<String, CauseTotals> = BTreeMap::new();
    let mut served = BTreeSet::new();
    let mut ended = BTreeSet::new();
    let mut sent = BTreeMap::new();
    for sourced in all {
        let entry = &sourced.entry;
        let Some(id) = entry.fields["id"].as_str() else {
            continue;
        };
        let status = entry.fields["status"].as_u64().unwrap_or_default();
        match entry.number {
            SENT => {
                sent.insert(id, entry.time_ms);
            }
            ANSWERED if status < 400 => {
                served.insert(id);
                ended.insert(id);
            }
            ANSWERED => {
                // A failed call may be retried at another target, so this does not end the request.
                sent.insert(id, entry.time_ms);
            }
            REFUSED | STREAM_CUT | DROPPED | UNANSWERED => {
                let cause = cause(entry.number, status, &entry.fields["reason"]);
                let held = entry.fields["held_ms"].as_u64();
                losses.entry(cause).or_default().add(entry.time_ms, held);
                ended.insert(id);
            }
            _ => {}
        }
    }
    let failed: BTreeSet<&str> = all
        .iter()
        .filter(|sourced| sourced.entry.number == ANSWERED)
        .filter_map(|sourced| sourced.entry.fields["id"].as_str())
        .collect();
    for (id, at) in sent {
        if ended.contains(id) {
            continue;
        }
        let cause = if failed.contains(id) {
            "its targets answered with failures"
        } else {
            "no end in these logs: its caller left, or its instance was lost"
        };
        losses.entry(cause.to_owned()).or_default().add(at, None);
    }
    (served.len(), losses)
}

/// Returns the cause of a loss as a text that is the same for all requests with this cause.
fn cause(number: u64, status: u64, reason: &serde_json::Value) -> String {
    let reason = mask_numbers(reason.as_str().unwrap_or_default());
    match number {
        STREAM_CUT => format!("cut: {reason}"),
        DROPPED => "its caller's connection ended before the answer".to_owned(),
        UNANSWERED => "its instance ended without an answer".to_owned(),
        _ => format!("answered {status}: {reason}"),
    }
}

/// Replaces each word that contains a digit by `*`.
fn mask_numbers(text: &str) -> String {
    let word = |word: &str| {
        if word.contains(|c: char| c.is_ascii_digit()) {
            "*".to_owned()
        } else {
            word.to_owned()
        }
    };
    text.split(' ').map(word).collect::<Vec<_>>().join(" ")
}
