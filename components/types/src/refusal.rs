//! Refusals: answers to callers whose request was not served completely.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Whether a refused request was executed.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// Nothing was sent to a target, or the target reported that the request did not run.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The request ran, but only a part of the answer reached the caller.
    #[display("partial")]
    Partial,
}

/// A refusal that states what is known about the execution. The gateway renders it as
/// `application/problem+json`.
#[derive(Clone, Debug, Display, Error, PartialEq)]
#[display("{status} {title}: {detail}")]
pub struct Refusal {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request was executed.
    pub execution: Execution,
    /// Machine-readable code, for instance `queue-full`.
    pub code: Arc<str>,
    /// Short summary for people.
    pub title: Arc<str>,
    /// What happened in this case, and what the caller can do.
    pub detail: Arc<str>,
    /// When to retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
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

    /// Sets when to retry.
    #[must_use]
    pub const fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
