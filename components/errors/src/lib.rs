//! An error type with context, for failures that end a command or the start of the daemon.

use std::fmt::{self, Display, Formatter};

/// A cause, with descriptions of the operations during which it occurred.
#[derive(Debug)]
pub struct Error {
    context: Vec<String>,
    cause: String,
}

/// A result whose error carries context.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Creates an error from its cause, without context.
    #[must_use]
    pub fn new(cause: impl Display) -> Self {
        Self {
            context: Vec::new(),
            cause: cause.to_string(),
        }
    }

    /// Adds a description of the operation that failed, outside of those added before.
    #[must_use]
    pub fn with_context(mut self, operation: impl Display) -> Self {
        self.context.push(operation.to_string());
        self
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for operation in self.context.iter().rev() {
            write!(f, "{operation}: ")?;
        }
        f.write_str(&self.cause)
    }
}

impl std::error::Error for Error {}

/// Adds context to results with any displayable error.
pub trait Context<T> {
    /// Adds a description of the operation that returned this result.
    ///
    /// # Errors
    /// The original error as the cause, with the context.
    fn context(self, operation: impl Display) -> Result<T>;
}

impl<T, E: Display> Context<T> for std::result::Result<T, E> {
    fn context(self, operation: impl Display) -> Result<T> {
        self.map_err(|cause| Error::new(cause).with_context(operation))
    }
}
