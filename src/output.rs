//! Writing to standard output.

use std::{
    fmt::Display,
    io::{self, ErrorKind, Write},
};

use errors::{Context, Result};

/// Writes a text at once, so that a person sees it as it comes.
///
/// The macros of the standard library panic when the text can't be written. A command whose reader
/// has seen enough, as in `celerystand export | head`, would end with a crash report. That is no
/// failure: the command has done its work. A full disk is one.
///
/// # Errors
/// The text can't be written, though somebody wants it.
pub fn text(text: &str) -> Result<()> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match written {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(()),
        written => written.context("writing to standard output"),
    }
}

/// Writes a line.
///
/// # Errors
/// As [`text`].
pub fn line(line: impl Display) -> Result<()> {
    text(&format!("{line}\n"))
}
