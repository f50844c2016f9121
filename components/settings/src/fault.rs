//! Faults found in a settings file.

use std::{
    fmt::{self, Display, Formatter},
    sync::Arc,
};

use crate::yaml::Position;

/// One fault in a settings file: the problem and the expected form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Position in the file; `None` if the fault concerns the file as a whole.
    pub position: Option<Position>,
    /// The key, as `section.key`; empty if the fault concerns the file as a whole.
    pub path: Arc<str>,
    /// What is wrong, without secret values.
    pub problem: Arc<str>,
    /// What to write instead.
    pub expected: Arc<str>,
}

impl Fault {
    /// Creates a fault that concerns the file as a whole.
    #[must_use]
    pub fn new(problem: impl Into<Arc<str>>, expected: impl Into<Arc<str>>) -> Self {
        Self {
            position: None,
            path: "".into(),
            problem: problem.into(),
            expected: expected.into(),
        }
    }

    /// Sets the position in the file.
    #[must_use]
    pub const fn with_position(mut self, position: Position) -> Self {
        self.position = Some(position);
        self
    }

    /// Sets the key.
    #[must_use]
    pub fn with_path(mut self, path: &str) -> Self {
        self.path = path.into();
        self
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.position {
            write!(f, "line {}, column {}: ", position.line, position.column)?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; {}", self.problem, self.expected)
    }
}

impl std::error::Error for Fault {}
