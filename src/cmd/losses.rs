//! `celerystand losses`: what became of the requests that were not served, summed by cause.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use clap::ArgMatches;
use errors::Error;

use crate::{
    cmd::logs::{self, Found},
    failure::Outcome,
    output,
};

/// Events that end a request, or tell that it was sent.
const REFUSED: u64 = 900;
/// See [`REFUSED`].
const SENT: u64 = 901;
/// See [`REFUSED`].
const ANSWERED: u64 = 903;
/// See [`REFUSED`].
const CUT: u64 = 905;
/// See [`REFUSED`].
const DROPPED: u64 = 923;
/// See [`REFUSED`].
const UNANSWERED: u64 = 924;

/// What one cause has cost.
#[derive(Debug, Default)]
struct Loss {
    /// Requests.
    count: usize,
    /// How long each was held, in milliseconds, where that is known.
    held: Vec<u64>,
    /// When the first and the last of them ended, in milliseconds since 1970.
    first: u64,
    last: u64,
}

impl Loss {
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

/// Prints the causes, the most frequent first.
///
/// # Errors
/// A log can't be read, or there is no line of an instance in them.
pub fn run(args: &ArgMatches) -> Outcome {
    let all = logs::read(args)?;
    let Some(first) = all.first() else {
        return Err(Error::new("there is no line of an instance in these logs").into());
    };
    let from = first.line.time_ms;
    let (served, losses) = sum(&all);
    output::line(format_args!("{served:>8}  served"))?;
    let mut losses: Vec<(String, Loss)> = losses.into_iter().collect();
    losses.sort_by_key(|(_, loss)| Reverse(loss.count));
    for (cause, loss) in losses {
        let seconds = |ms: u64| u128::from(ms.saturating_sub(from)) / 1_000;
        let held = loss
            .median_held()
            .map_or(String::new(), |ms| format!(", held {ms} ms at the median"));
        output::line(format_args!(
            "{:>8}  {cause}; from second {} to {}{held}",
            loss.count,
            seconds(loss.first),
            seconds(loss.last),
        ))?;
    }
    Ok(())
}

/// Requests that were served, and the others by cause.
fn sum(all: &[Found]) -> (usize, BTreeMap<String, Loss>) {
    let mut losses: BTreeMap<String, Loss> = BTreeMap::new();
    let mut served = BTreeSet::new();
    let mut ended = BTreeSet::new();
    let mut sent = BTreeMap::new();
    for found in all {
        let line = &found.line;
        let Some(id) = line.fields["id"].as_str() else {
            continue;
        };
        let status = line.fields["status"].as_u64().unwrap_or_default();
        match line.number {
            SENT => {
                sent.insert(id, line.time_ms);
            }
            ANSWERED if status < 400 => {
                served.insert(id);
                ended.insert(id);
            }
            ANSWERED => {
                // A call that failed at one target may be answered by the next.
                sent.insert(id, line.time_ms);
            }
            REFUSED | CUT | DROPPED | UNANSWERED => {
                let cause = cause(line.number, status, &line.fields["reason"]);
                let held = line.fields["held_ms"].as_u64();
                losses.entry(cause).or_default().add(line.time_ms, held);
                ended.insert(id);
            }
            _ => {}
        }
    }
    let failed: BTreeSet<&str> = all
        .iter()
        .filter(|found| found.line.number == ANSWERED)
        .filter_map(|found| found.line.fields["id"].as_str())
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

/// A cause without what differs from request to request.
fn cause(number: u64, status: u64, reason: &serde_json::Value) -> String {
    let reason = alike(reason.as_str().unwrap_or_default());
    match number {
        CUT => format!("cut: {reason}"),
        DROPPED => "its caller's connection ended before the answer".to_owned(),
        UNANSWERED => "its instance ended without an answer".to_owned(),
        _ => format!("answered {status}: {reason}"),
    }
}

/// A text with each figure, and each word that holds one, written as `*`.
fn alike(text: &str) -> String {
    let word = |word: &str| {
        if word.contains(|c: char| c.is_ascii_digit()) {
            "*".to_owned()
        } else {
            word.to_owned()
        }
    };
    text.split(' ').map(word).collect::<Vec<_>>().join(" ")
}
