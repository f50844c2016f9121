//! Settings of an engine.

use serde::{Deserialize, Serialize};

use crate::lifecycle::LifecycleSettings;

/// Settings of an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Its life.
    #[serde(rename = "life")]
    pub lifecycle: LifecycleSettings,
    /// Seed of the lengths that callers don't set.
    pub seed: u64,
    /// Memory in tokens.
    pub capacity: u64,
    /// Most generations in one step.
    #[serde(rename = "most_running")]
    pub max_running: usize,
    /// Most generations waiting for room.
    #[serde(rename = "most_waiting")]
    pub max_waiting: u32,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds more for each generation in it.
    pub step_ms_per_stream: f64,
    /// Milliseconds more for each thousand tokens in memory.
    pub step_ms_per_ktoken: f64,
    /// Milliseconds more for each token of a prompt.
    pub prefill_ms_per_token: f64,
    /// Tokens of prompts in one step at most.
    pub prefill_chunk: u64,
    /// Factor on a step while cold.
    pub cold_factor: f64,
    /// Blocks in the prefix cache.
    pub prefix_blocks: usize,
    /// Milliseconds by which cache events lag.
    pub cache_lag_ms: u64,
    /// Milliseconds after which a generation that nobody reads is dropped.
    pub unobserved_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fences: bool,
    /// Median of the lengths that callers don't set, in tokens.
    pub median_output: f64,
    /// Spread of the logarithm of these lengths.
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
