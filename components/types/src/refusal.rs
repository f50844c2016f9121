//! What a caller is told when its request is not answered in full.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// What is known about the execution of a refused request.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No byte left for a target, or the target itself said that it did not run.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// It ran, and only a part of the answer reached the caller.
    #[display("partial")]
    Partial,
}

/// A truthful refusal; the gateway renders it as `application/problem+json`.
#[derive(Clone, Debug, Display, Error, PartialEq)]
#[display("{status} {title}: {detail}")]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// What is known about the execution.
    pub execution: Execution,
    /// Short machine-readable name, for instance `queue-full`.
    pub code: Arc<str>,
    /// Short summary for people.
    pub title: Arc<str>,
    /// What happened in this case and what the caller can do.
    pub detail: Arc<str>,
    /// When to come back, if coming back can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that did not run.
    #[must_use]
    pub fn new(status: u16, code: &str, title: &str, detail: &str) -> Self {
        Self {
            status,
            execution: Execution::NotRun,
            code: code.into(),
            title: title.into(),
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets what is known about the execution.
    #[must_use]
    pub const fn with_execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Sets the time to come back.
    #[must_use]
    pub const fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
