//! What an instance believes about the configuration and the targets, and how old that is. No I/O.

pub mod rules;
pub mod state;
pub mod target;

pub use rules::{
    Engine, Identity, KeyHolder, RequestLimits, Route, RouteKind, Rules, Service, Share,
    Unidentified,
};
pub use state::{Change, LastRead, View};
pub use target::{Address, Target};
