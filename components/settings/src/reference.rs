//! The settings reference, `docs/SETTINGS.md`, made from the list of keys.

use std::fmt::Write;

use crate::keys::{self, Key, Kind, Presence, SECTIONS};

const HEAD: &str = "# Settings

One YAML file per instance, given to `celerystand serve --settings FILE`. Check it first with
`celerystand check FILE`, which lists every fault with its line. Keys that are not listed here are
faults. Whole examples are in `examples/`.

This page is made from the code: `celerystand docs settings` prints it.
";

/// The whole page.
#[must_use]
pub fn page() -> String {
    let mut text = HEAD.to_owned();
    for section in SECTIONS {
        let need = if section.required {
            "Required."
        } else {
            "May be left out."
        };
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "\n## `{}`\n\n{} {need}\n\n",
            section.name, section.about
        );
        text.push_str("| Key | Value | Default | Meaning |\n|---|---|---|---|\n");
        for key in keys::of_section(section.name) {
            text.push_str(&row(key));
        }
    }
    text
}

fn row(key: &Key) -> String {
    let default = match key.presence {
        Presence::Required => "required",
        Presence::Default(text) => text,
    };
    let value = value_of(key.kind);
    format!("| `{}` | {value} | {default} | {} |\n", key.name, key.about)
}

fn value_of(kind: Kind) -> String {
    match kind {
        Kind::Name => "name of letters, digits, `-`, `_` and `.`".to_owned(),
        Kind::Addr => "`IP:PORT`".to_owned(),
        Kind::Url => "`http://IP:PORT`".to_owned(),
        Kind::Secret(1) => "text".to_owned(),
        Kind::Secret(least) => format!("text of at least {least} characters"),
        Kind::Hashes => "list of SHA-256 hashes in hexadecimal".to_owned(),
        Kind::Int(least, most) => format!("whole number from {least} to {most}"),
        Kind::OneOf(words) => {
            let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
            quoted.join(", ")
        }
    }
}
