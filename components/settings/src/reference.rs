//! The settings reference, `docs/SETTINGS.md`, generated from the table of keys.

use std::fmt::Write;

use crate::keys::{self, Key, Presence, SECTIONS, ValueKind};

const HEAD: &str = "# Settings

One YAML file per instance, given to `celerystand serve --settings FILE`. Check it first with
`celerystand check FILE`, which lists every fault with its line. Keys that are not listed here are
rejected. Complete examples are in `examples/`.

This page is generated from the code: `celerystand docs settings` prints it.
";

/// The reference page as Markdown.
#[must_use]
pub fn page() -> String {
    let mut text = HEAD.to_owned();
    for section in SECTIONS {
        let requirement = if section.required {
            "Required."
        } else {
            "Optional."
        };
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "\n## `{}`\n\n{} {requirement}\n\n",
            section.name, section.description
        );
        text.push_str("| Key | Value | Default | Meaning |\n|---|---|---|---|\n");
        for key in keys::in_section(section.name) {
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
    let value = describe_value(key.kind);
    format!(
        "| `{}` | {value} | {default} | {} |\n",
        key.name, key.description
    )
}

fn describe_value(kind: ValueKind) -> String {
    match kind {
        ValueKind::Name => "name of letters, digits, `-`, `_` and `.`".to_owned(),
        ValueKind::Addr => "`IP:PORT`".to_owned(),
        ValueKind::Url => "`http://IP:PORT`".to_owned(),
        ValueKind::Secret(1) => "text".to_owned(),
        ValueKind::Secret(min) => format!("text of at least {min} characters"),
        ValueKind::Hashes => "list of SHA-256 hashes in hexadecimal".to_owned(),
        ValueKind::Int(min, max) => format!("whole number from {min} to {max}"),
        ValueKind::OneOf(words) => {
            let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
            quoted.join(", ")
        }
    }
}
