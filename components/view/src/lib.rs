//! What an instance believes about the configuration and the targets, and how old that is. No I/O.

pub mod believed;
pub mod rules;
pub mod target;

pub use believed::{Age, Change, View};
pub use rules::{
    Engine, Holder, Identity, Kind, Limits, Route, Rules, Service, Share, Unidentified,
};
pub use target::{Address, Target};
