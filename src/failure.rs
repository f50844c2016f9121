//! Failures of commands and the exit codes that report them to scripts.

use std::{process::ExitCode, sync::Arc};

use admin::problem::Problem;
use derive_more::{Display, Error};

/// Why a command failed.
#[derive(Clone, Debug, Display, Error, PartialEq)]
#[display("{message}")]
pub struct Failure {
    /// The kind, which determines the exit code.
    pub kind: FailureKind,
    /// What failed and what the operator can do.
    pub message: Arc<str>,
    /// The HTTP status, if an instance answered with an error.
    pub status: Option<u16>,
}

/// Kinds of failure that scripts may need to distinguish.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// The command was refused or failed.
    Failed,
    /// Another operator changed the node in the meantime.
    Conflict,
    /// The instance or the table service can't be reached; nothing was changed.
    Unavailable,
    /// The change may or may not have been accepted.
    Unknown,
}

impl FailureKind {
    /// The exit code. 2 is reserved for an invalid command line.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Failed => 1,
            Self::Conflict => 3,
            Self::Unavailable => 4,
            Self::Unknown => 5,
        }
    }
}

/// A result of a command.
pub type Outcome<T = ()> = Result<T, Failure>;

impl Failure {
    /// Makes a failure that no HTTP status belongs to.
    #[must_use]
    pub fn new(kind: FailureKind, message: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            message: message.into(),
            status: None,
        }
    }

    /// Makes a failure from the problem document of a refused request.
    #[must_use]
    pub fn from_problem(problem: &Problem) -> Self {
        let kind = match problem.status {
            409 | 412 => FailureKind::Conflict,
            503 => FailureKind::Unavailable,
            504 => FailureKind::Unknown,
            _ => FailureKind::Failed,
        };
        let mut message = format!("{}: {}", problem.title, problem.detail);
        for fault in &problem.faults {
            message.push_str("\n  ");
            message.push_str(&fault.to_string());
        }
        if let Some(now) = &problem.now {
            let node = serde_json::to_string(&now.node).unwrap_or_default();
            let version = now
                .version
                .map_or_else(|| "none".to_owned(), |v| v.to_string());
            message.push_str(&format!("\n  now: version {version}, {node}"));
        }
        Self {
            status: Some(problem.status),
            ..Self::new(kind, message)
        }
    }

    /// The exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.kind.code())
    }
}

impl From<errors::Error> for Failure {
    fn from(error: errors::Error) -> Self {
        Self::new(FailureKind::Failed, error.to_string())
    }
}
