//! The faults of engines and plain services.

use serde::{Deserialize, Serialize};

/// What a target is told to do on the spot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// Turn cold without a word.
    Cold,
    /// Turn warm.
    Warm,
    /// Drop everything and come back cold with the next incarnation.
    Crash,
    /// Start to leave: finish what runs, take nothing new.
    Leave,
    /// Take work again.
    Stay,
    /// Make every open connection silent for good.
    Silence,
    /// Cut every open connection.
    Cut,
}

/// A cut of the next connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Cut {
    /// After how many more bytes.
    pub bytes: u64,
    /// For how many requests.
    pub times: u32,
}

impl Cut {
    /// Takes one of them.
    pub fn take(&mut self) -> Option<u64> {
        self.times = self.times.checked_sub(1)?;
        Some(self.bytes)
    }
}

/// Faults of a target; a message sets those that it names.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Done at once.
    #[serde(rename = "act")]
    pub action: Option<FaultAction>,
    /// Factor on all times.
    pub slow: Option<f64>,
    /// Milliseconds during which nothing moves, from now on.
    pub stall_ms: Option<u64>,
    /// So many requests are answered 503 `not-run`.
    pub not_run: Option<u32>,
    /// Connections are cut while a request is read.
    pub cut_reading: Option<Cut>,
    /// Connections are cut while an answer is written.
    pub cut_answer: Option<Cut>,
    /// So many requests of a plain service take effect and are never answered.
    pub never_answer: Option<u32>,
    /// Milliseconds by which the load report lags.
    pub load_lag_ms: Option<u64>,
}

impl Faults {
    /// Sets what a message names and what lasts.
    pub fn update(&mut self, new: &Self) {
        self.slow = new.slow.or(self.slow);
        self.not_run = new.not_run.or(self.not_run);
        self.cut_answer = new.cut_answer.or(self.cut_answer);
        self.never_answer = new.never_answer.or(self.never_answer);
        self.load_lag_ms = new.load_lag_ms.or(self.load_lag_ms);
    }
}
