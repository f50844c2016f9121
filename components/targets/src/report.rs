//! Reading load reports.

use std::time::Duration;

use hyper::StatusCode;
use serde::Deserialize;

use crate::{
    answer,
    api::{TargetError, TargetReport},
};

/// Where targets publish their load.
pub const PATH: &str = "/load";

/// The report as targets write it; fields that celerystand does not know are passed over.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Written {
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
/// Fails on an answer that is none.
pub fn decode(status: StatusCode, body: &[u8]) -> Result<TargetReport, TargetError> {
    if status != StatusCode::OK {
        return Err(answer::lost(format!("no load report: status {status}")));
    }
    let written: Written =
        serde_json::from_slice(body).map_err(|e| answer::lost(format!("no load report: {e}")))?;
    Ok(TargetReport {
        incarnation: written.incarnation,
        age: Duration::from_millis(written.age_ms),
        running: written.running,
        waiting: written.waiting,
        used: written.used,
        capacity: written.capacity,
        preemptions: written.preemptions,
        warm: written.warm,
    })
}
