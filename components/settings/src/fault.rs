//! What is wrong with a settings file.

use std::{
    fmt::{self, Display, Formatter},
    sync::Arc,
};

use crate::raw::Place;

/// One thing wrong with a settings file, and what would be right.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Where in the file; `None` if the file as a whole is at fault.
    pub place: Option<Place>,
    /// The key, as `section.key`; empty for the file as a whole.
    pub path: Arc<str>,
    /// What is wrong.
    pub what: Arc<str>,
    /// What would be right.
    pub right: Arc<str>,
}

impl Fault {
    /// Makes a fault of the file as a whole.
    #[must_use]
    pub fn new(what: impl Into<Arc<str>>, right: impl Into<Arc<str>>) -> Self {
        Self {
            place: None,
            path: "".into(),
            what: what.into(),
            right: right.into(),
        }
    }

    /// Sets where in the file it is.
    #[must_use]
    pub const fn with_place(mut self, place: Place) -> Self {
        self.place = Some(place);
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
        if let Some(place) = self.place {
            write!(f, "line {}, column {}: ", place.line, place.column)?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; {}", self.what, self.right)
    }
}

impl std::error::Error for Fault {}
