//! The configuration and the targets as one instance knows them, with the age of that knowledge. No
//! I/O.

pub mod rules;
pub mod state;
pub mod target;

pub use rules::{
    Engine, Identity, KeyHolder, RequestLimits, Route, RouteKind, Rules, Service, Share,
    Unidentified,
};
pub use state::{Change, LastRead, View};
pub use target::{Address, Target};
