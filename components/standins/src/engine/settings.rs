//! Settings of the engine stand-in.

use serde::{Deserialize, Serialize};

use crate::lifecycle::LifecycleSettings;

/// Memory, batch, step times and output lengths of an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Lifecycle of the engine.
    #[serde(rename = "life")]
    pub lifecycle: LifecycleSettings,
    /// Seed of the random output lengths, used when the caller sets none.
    pub seed: u64,
    /// KV-cache memory in tokens.
    pub capacity: u64,
    /// Maximum number of generations in the batch.
    #[serde(rename = "most_running")]
    pub max_running: usize,
    /// Maximum number of generations waiting for memory.
    #[serde(rename = "most_waiting")]
    pub max_waiting: u32,
    /// Fixed time of a step, in milliseconds.
    pub step_ms: f64,
    /// Additional milliseconds for each generation in the batch.
    pub step_ms_per_stream: f64,
    /// Additional milliseconds for each thousand tokens in memory.
    pub step_ms_per_ktoken: f64,
    /// Additional milliseconds for each prompt token prefilled in the step.
    pub prefill_ms_per_token: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk: u64,
    /// Factor on the time of a step while cold.
    pub cold_factor: f64,
    /// Capacity of the prefix cache, in blocks.
    pub prefix_blocks: usize,
    /// Delay of cache events in milliseconds.
    pub cache_lag_ms: u64,
    /// Milliseconds without a reader after which a generation is ended.
    pub unobserved_ms: u64,
    /// Whether commands with an outdated fencing number are refused.
    pub checks_fences: bool,
    /// Median of the random output lengths, in tokens.
    pub median_output: f64,
    /// Standard deviation of the logarithm of the random output lengths.
    pub spread_output: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            lifecycle: LifecycleSettings::default(),
            seed: 1,
            capacity: 16_384,
            max_running: 64,
            max_waiting: 64,
            step_ms: 20.0,
            step_ms_per_stream: 0.25,
            step_ms_per_ktoken: 0.1,
            prefill_ms_per_token: 0.01,
            prefill_chunk: 2048,
            cold_factor: 2.0,
            prefix_blocks: 1024,
            cache_lag_ms: 1000,
            unobserved_ms: 10_000,
            checks_fences: true,
            median_output: 60.0,
            spread_output: 1.0,
        }
    }
}
