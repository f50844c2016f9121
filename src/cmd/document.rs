//! `celerystand export`, `import` and `validate`.

use std::fs;

use admin::message::{Document, DocumentOutcome, ValidationResult};
use clap::ArgMatches;
use errors::{Context, Error};
use hyper::Method;

use crate::{
    client::Seen,
    cmd::{file, operator, print},
    failure::{Failure, FailureKind, Outcome},
};

/// Prints the whole tree.
///
/// # Errors
/// The instance can't be reached or refuses.
pub fn export(args: &ArgMatches) -> Outcome {
    let document: Document = operator::client(args)?.get("/v1/tree")?;
    if print::wants_json(args) {
        return Ok(print::json(&document)?);
    }
    Ok(print::yaml(&document)?)
}

/// Writes the nodes of a document.
///
/// # Errors
/// The file can't be read, the instance can't be reached or refuses.
pub fn import(args: &ArgMatches) -> Outcome {
    let document = read(args)?;
    let outcome: DocumentOutcome =
        operator::client(args)?.send(Method::PUT, "/v1/tree", Seen::Any, &document)?;
    let line = format!(
        "{} nodes written, {} were the same; configuration version {}",
        outcome.written.len(),
        outcome.unchanged.len(),
        outcome.version
    );
    Ok(print::either(args, &outcome, &line)?)
}

/// Tells whether a document would be accepted.
///
/// # Errors
/// The file can't be read, the instance can't be reached, or the document has faults.
pub fn validate(args: &ArgMatches) -> Outcome {
    let document = read(args)?;
    let verdict: ValidationResult =
        operator::client(args)?.send(Method::POST, "/v1/validate", Seen::Any, &document)?;
    if verdict.valid {
        return Ok(print::either(args, &verdict, "no faults")?);
    }
    if print::wants_json(args) {
        print::json(&verdict)?;
    }
    Err(faults(&verdict))
}

fn faults(verdict: &ValidationResult) -> Failure {
    let mut message = format!("{} faults", verdict.faults.len());
    for fault in &verdict.faults {
        message.push_str("\n  ");
        message.push_str(&fault.to_string());
    }
    Failure::new(FailureKind::Failed, message)
}

fn read(args: &ArgMatches) -> Outcome<Document> {
    let path = file(args, "file")?;
    let text = fs::read_to_string(path).context(format!("reading {}", path.display()))?;
    let document = serde_saphyr::from_str(&text)
        .map_err(|e| Error::new(e).with_context(format!("reading {}", path.display())))?;
    Ok(document)
}
