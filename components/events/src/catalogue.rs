//! The event catalogue, `docs/EVENTS.md`, generated from the declarations of events.

use std::fmt::Write;

use crate::{declare::CatalogueEntry, event::Event};

const HEAD: &str = "# Events

Every log line is one of these events and begins with `E` and its number. The meaning of a number
never changes. With `log.format: json` each line is a JSON object with `time_ms` (milliseconds since
1970), `level`, `number`, `event` (the name), `message` and `fields`.

Levels: `error`, an operator is needed now; `warn`, an operator may be needed; `info`, normal
operation; `debug`, details for maintainers.

This page is generated from the code: `celerystand docs events` prints it.
";

/// First number and title of each range.
const RANGES: &[(u16, &str)] = &[
    (100, "Process lifecycle"),
    (200, "Members and ownership"),
    (300, "Decisions"),
    (400, "Callers"),
    (500, "Targets"),
    (600, "Platform and claims"),
    (700, "Configuration"),
    (800, "Administration"),
    (900, "Requests by declared routes"),
];

/// Size of a range of event numbers.
const RANGE_SIZE: u16 = 100;

/// The catalogue page as Markdown.
#[must_use]
pub fn page() -> String {
    let mut text = HEAD.to_owned();
    for (first, title) in RANGES {
        let in_range = |entry: &&CatalogueEntry| entry.number / RANGE_SIZE == first / RANGE_SIZE;
        let entries: Vec<&CatalogueEntry> = Event::CATALOGUE.iter().filter(in_range).collect();
        if entries.is_empty() {
            continue;
        }
        // Writing to a string can't fail.
        let _ = write!(text, "\n## {first}: {title}\n\n");
        text.push_str("| Number | Event | Level | Line | Meaning | What to do |\n");
        text.push_str("|---|---|---|---|---|---|\n");
        for entry in entries {
            text.push_str(&row(entry));
        }
    }
    text
}

fn row(entry: &CatalogueEntry) -> String {
    let CatalogueEntry {
        number,
        name,
        level,
        text,
        meaning,
        action,
    } = entry;
    let meaning = meaning.trim();
    format!("| {number} | `{name}` | {level} | `{text}` | {meaning} | {action} |\n")
}
