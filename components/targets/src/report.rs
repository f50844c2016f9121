//! Decodes the load reports of targets.

use std::time::Duration;

use hyper::StatusCode;
use serde::Deserialize;

use crate::{
    answer::{self, Answer},
    api::{TargetError, TargetReport},
};

/// Path of a target's load report.
pub const PATH: &str = "/load";

/// The JSON format of a report. Unknown fields are ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ReportJson {
    incarnation: u64,
    age_ms: u64,
    running: u32,
    waiting: u32,
    used: u64,
    capacity: u64,
    preemptions: u64,
    warm: bool,
}

/// Decodes a load report.
///
/// # Errors
/// Fails if the answer is not a load report.
pub fn decode(answer: Answer) -> Result<TargetReport, TargetError> {
    if answer.status != StatusCode::OK {
        return Err(answer::error_answer(answer));
    }
    let json: ReportJson = serde_json::from_slice(&answer.body)
        .map_err(|e| answer::lost(format!("no load report: {e}")))?;
    Ok(TargetReport {
        incarnation: json.incarnation,
        age: Duration::from_millis(json.age_ms),
        running: json.running,
        waiting: json.waiting,
        used: json.used,
        capacity: json.capacity,
        preemptions: json.preemptions,
        warm: json.warm,
    })
}
