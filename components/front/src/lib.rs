//! Serves requests by declared routes on a platform that lists targets and keeps the
//! configuration: who may ask what, where it goes, what comes back, and what happens when
//! something on the way fails.

pub mod blind;
pub mod budget;
pub mod call;
pub mod carry;
pub mod choice;
pub mod cold;
pub mod config;
pub mod counted;
pub mod decisions;
pub mod drain;
pub mod dump;
pub mod ending;
pub mod face;
pub mod fanout;
pub mod follow;
pub mod gate;
pub mod generation;
pub mod handler;
pub mod ignorance;
pub mod joining;
pub mod leaving;
pub mod live;
pub mod membership;
pub mod message;
pub mod metrics;
pub mod open;
pub mod patience;
pub mod peers;
pub mod placement;
pub mod plain;
pub mod refuse;
pub mod relay;
pub mod reload;
pub mod rescue;
pub mod run;
pub mod send;
pub mod shelf;
pub mod side;
pub mod silence;
pub mod sources;
pub mod split;
pub mod state;
pub mod wire;

pub use config::{Bounds, Config};
pub use decisions::{Decisions, Parts};
pub use face::{
    Asked, BadRequest, Copied, CopyOrder, EngineReport, EngineState, Engines, Face, Heading,
    Record, Resume, RunReport, SaidLoad, Sending, Sizes, Store, StoreError,
};
pub use run::{Outside, serve};
pub use wire::{Member, News, Row, Topic};
