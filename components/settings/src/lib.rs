//! Settings of one instance, read from YAML.

pub mod model;

pub use model::{
    Admin, Instance, Limits, Log, LogFormat, LogLevel, Peers, Platform, Settings, Strategy,
};
