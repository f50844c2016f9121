//! Serves requests by declared routes on a platform that lists targets and keeps the
//! configuration: who may ask what, where it goes, what comes back, and what happens when
//! something on the way fails.

pub mod admin;
pub mod callers;
pub mod config;
pub mod decisions;
pub mod dump;
pub mod face;
pub mod gate;
pub mod generations;
pub mod instances;
pub mod metrics;
pub mod plain_calls;
pub mod quarantine;
pub mod reload;
pub mod run;
pub mod send;
pub mod state;
pub mod store;
pub mod target_rates;

pub use config::{Bounds, Config};
pub use decisions::{Decisions, Parts};
pub use face::{
    Asked, BadRequest, Copied, CopyOrder, EngineReport, EngineState, Engines, Face, Heading,
    Record, Resume, RunReport, SaidLoad, Sending, Sizes, Store, StoreError,
};
pub use instances::wire::{Member, News, Row, Topic};
pub use quarantine::kept::Kept;
pub use run::{Outside, serve};
