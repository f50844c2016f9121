//! The reverse proxy for a platform that lists targets and keeps the configuration in its store:
//! authorizes callers by declared routes, chooses a target, forwards requests and streams, and
//! handles the failures of targets, instances and the store.

pub mod adapters;
pub mod admin;
pub mod answers;
pub mod callers;
pub mod config;
pub mod decisions;
pub mod dump;
pub mod execution;
pub mod generations;
pub mod instances;
pub mod metrics;
pub mod plain_calls;
pub mod quarantine;
pub mod reaching;
pub mod reload;
pub mod rollouts;
pub mod run;
pub mod send;
pub mod signals;
pub mod state;
pub mod store;
pub mod target_rates;

pub use adapters::{
    BadRequest, CallerRequest, EngineAnswer, EngineControl, EngineReport, EngineState,
    GenerationReport, GenerationSizes, KvCopyOutcome, KvCopyRequest, NamedRequest, OutgoingRequest,
    ProtocolAdapter, Record, RejectionBound, ReportedLoad, ResponseHead, Resume, Store, StoreError,
    TargetSignals,
};
pub use config::{Bounds, Config};
pub use decisions::{Decisions, Features};
pub use instances::wire::{Member, Row, Topic, TopicUpdate};
pub use quarantine::record::{QuarantineRecord, RejectedPart};
pub use rollouts::record::{RolloutRecord, RolloutState, StoredRollout};
pub use run::{Adapters, Signals, memory_budget, serve};
