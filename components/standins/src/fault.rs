//! Faults that can be injected into engines and plain services.

use serde::{Deserialize, Serialize};

/// A one-time fault or change of state that takes effect at once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// Turn cold without notifying the platform.
    Cold,
    /// Turn warm at once.
    Warm,
    /// Crash: drop all requests and restart cold as the next incarnation.
    Crash,
    /// Start draining: finish running requests and refuse new ones.
    Leave,
    /// Stop draining and accept requests again.
    Stay,
    /// Silence every open connection permanently.
    Silence,
    /// Close every open connection.
    Cut,
}

/// Closes the connections of the next requests after a number of bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Cut {
    /// Bytes that still pass.
    pub bytes: u64,
    /// Number of requests affected.
    pub times: u32,
}

impl Cut {
    /// Uses the cut for one request and returns the bytes that pass; `None` if it is used up.
    pub fn take(&mut self) -> Option<u64> {
        self.times = self.times.checked_sub(1)?;
        Some(self.bytes)
    }
}

/// Faults of a target. A message changes only the fields that it names.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// One-time action.
    #[serde(rename = "act")]
    pub action: Option<FaultAction>,
    /// Factor by which all processing times are multiplied.
    pub slow: Option<f64>,
    /// Milliseconds for which all processing stalls, starting now; 0 ends a stall.
    pub stall_ms: Option<u64>,
    /// Number of next requests that are answered 503 with `not-run`.
    pub not_run: Option<u32>,
    /// Connections to close while a request is read.
    pub cut_reading: Option<Cut>,
    /// Connections to close while a response is written.
    pub cut_answer: Option<Cut>,
    /// Number of next requests to a plain service that take effect but get no response.
    pub never_answer: Option<u32>,
    /// Age of the load reports in milliseconds.
    pub load_lag_ms: Option<u64>,
}

impl Faults {
    /// Takes over the lasting faults that a message names. `action`, `stall_ms` and `cut_reading`
    /// take effect at once and are not kept.
    pub fn update(&mut self, new: &Self) {
        self.slow = new.slow.or(self.slow);
        self.not_run = new.not_run.or(self.not_run);
        self.cut_answer = new.cut_answer.or(self.cut_answer);
        self.never_answer = new.never_answer.or(self.never_answer);
        self.load_lag_ms = new.load_lag_ms.or(self.load_lag_ms);
    }
}
