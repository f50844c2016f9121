//! The versions of a service's targets that a request may be sent to.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::VersionId;

/// The versions of a service's targets that a request may be sent to.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum VersionChoice {
    /// All versions.
    #[default]
    Any,
    /// This version only.
    Only(VersionId),
    /// All but these versions.
    Without(BTreeSet<VersionId>),
}

impl VersionChoice {
    /// Whether a request may be sent to targets of a version.
    #[must_use]
    pub fn allows(&self, version: &VersionId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Without(excluded) => !excluded.contains(version),
        }
    }
}
