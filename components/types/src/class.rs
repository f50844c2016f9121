//! Urgency of a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Urgency of a request; a smaller value goes first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person waits for it right now, for instance a viewer pressing play.
    #[display("urgent")]
    Urgent,
    /// The ordinary case.
    #[default]
    #[display("normal")]
    Normal,
    /// May wait; it ages so that it ends.
    #[display("background")]
    Background,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Background];
}
