//! Errors with context, for what ends a command or a daemon's start.

use std::fmt::{self, Display, Formatter};

/// What went wrong and what was being done at the time.
#[derive(Debug)]
pub struct Error {
    context: Vec<String>,
    cause: String,
}

/// A result that carries context.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Makes an error from its cause.
    #[must_use]
    pub fn new(cause: impl Display) -> Self {
        Self {
            context: Vec::new(),
            cause: cause.to_string(),
        }
    }

    /// Adds what was being done.
    #[must_use]
    pub fn with_context(mut self, doing: impl Display) -> Self {
        self.context.push(doing.to_string());
        self
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for doing in self.context.iter().rev() {
            write!(f, "{doing}: ")?;
        }
        f.write_str(&self.cause)
    }
}

impl std::error::Error for Error {}

/// Adds context to the results of other libraries.
pub trait Context<T> {
    /// Tells what was being done.
    ///
    /// # Errors
    /// Passes the cause on, with the context.
    fn context(self, doing: impl Display) -> Result<T>;
}

impl<T, E: Display> Context<T> for std::result::Result<T, E> {
    fn context(self, doing: impl Display) -> Result<T> {
        self.map_err(|cause| Error::new(cause).with_context(doing))
    }
}
