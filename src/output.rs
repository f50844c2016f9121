//! Writing to standard output.

use std::{
    fmt::Display,
    io::{self, ErrorKind, Write},
};

use errors::{Context, Result};

/// Writes a text and flushes it, so that streamed text appears immediately.
///
/// The macros of the standard library panic when the text can't be written, so that a command whose
/// reader closes the pipe early, as in `celerystand export | head`, would end with a panic message.
/// A closed pipe is not an error here, because the command has done its work; a full disk is one.
///
/// # Errors
/// The text can't be written, for another reason than a closed pipe.
pub fn text(text: &str) -> Result<()> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match written {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(()),
        written => written.context("writing to standard output"),
    }
}

/// Writes a line and flushes it.
///
/// # Errors
/// As [`text`].
pub fn line(line: impl Display) -> Result<()> {
    text(&format!("{line}\n"))
}
