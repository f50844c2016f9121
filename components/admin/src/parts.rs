//! The interfaces through which the administration API reads the state of its process.

use std::sync::Arc;

use config::Config;
use prometheus_client::registry::Registry;
use serde_json::Value;
use types::{DataCentreId, InstanceId};

/// Provides the state of the process for dumps.
pub trait Dump: Send + Sync {
    /// Returns the state as JSON: members, shards, permits, queue, claims, configuration version.
    /// It must not contain keys, hashes of keys or bodies of requests.
    fn dump(&self) -> Value;
}

/// Provides the readiness of the process.
pub trait Readiness: Send + Sync {
    /// Whether the process accepts requests.
    ///
    /// # Errors
    /// The reason why it doesn't, as a short sentence for an operator.
    fn ready(&self) -> Result<(), Arc<str>>;
}

/// The dependencies of the administration API.
pub struct AdminParts {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// SHA-256 of each operator's bearer key, in hexadecimal.
    pub key_hashes: Vec<Arc<str>>,
    /// The configuration.
    pub config: Arc<dyn Config>,
    /// The state of the process.
    pub dump: Arc<dyn Dump>,
    /// The readiness of the process.
    pub readiness: Arc<dyn Readiness>,
    /// The metrics of the process's components; all must be registered before the API is served.
    pub registry: Arc<Registry>,
}
