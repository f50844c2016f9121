//! Urgency of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Urgency of a request; lower values go first.
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
    /// A person is waiting for the answer, for instance a viewer who has pressed play.
    #[display("urgent")]
    Urgent,
    /// Default.
    #[default]
    #[display("normal")]
    Normal,
    /// May wait. Its urgency rises with its age, so that it is not starved.
    #[display("background")]
    Background,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Background];
}
