//! `celerystand export`, `import` and `validate`: the whole tree as one document.

use std::fs;

use admin::message::{Document, DocumentOutcome, ValidationResult};
use clap::ArgMatches;
use errors::{Context, Error};
use hyper::Method;

use crate::{
    client::Precondition,
    cmd::{file_arg, operator, print},
    failure::{Failure, FailureKind, Outcome},
};

/// Prints the whole tree as YAML, or as JSON if asked.
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

/// Writes the nodes of a document that differ from the tree.
///
/// # Errors
/// The file can't be read, or the instance can't be reached or refuses.
pub fn import(args: &ArgMatches) -> Outcome {
    let document = read_document(args)?;
    let outcome: DocumentOutcome =
        operator::client(args)?.send(Method::PUT, "/v1/tree", Precondition::None, &document)?;
    let line = format!(
        "{} nodes written, {} were the same; configuration version {}",
        outcome.written.len(),
        outcome.unchanged.len(),
        outcome.version
    );
    Ok(print::json_or_text(args, &outcome, &line)?)
}

/// Checks whether a document would be accepted, without applying it.
///
/// # Errors
/// The file can't be read, the instance can't be reached, or the document has faults.
pub fn validate(args: &ArgMatches) -> Outcome {
    let document = read_document(args)?;
    let result: ValidationResult = operator::client(args)?.send(
        Method::POST,
        "/v1/validate",
        Precondition::None,
        &document,
    )?;
    if result.valid {
        return Ok(print::json_or_text(args, &result, "no faults")?);
    }
    if print::wants_json(args) {
        print::json(&result)?;
    }
    Err(validation_failure(&result))
}

fn validation_failure(result: &ValidationResult) -> Failure {
    let mut message = format!("{} faults", result.faults.len());
    for fault in &result.faults {
        message.push_str("\n  ");
        message.push_str(&fault.to_string());
    }
    Failure::new(FailureKind::Failed, message)
}

fn read_document(args: &ArgMatches) -> Outcome<Document> {
    let path = file_arg(args, "file")?;
    let text = fs::read_to_string(path).context(format!("reading {}", path.display()))?;
    let document = serde_saphyr::from_str(&text)
        .map_err(|e| Error::new(e).with_context(format!("reading {}", path.display())))?;
    Ok(document)
}
