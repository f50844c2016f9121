//! Settings of one instance, read from YAML.
//!
//! A file is read in three steps: the YAML library parses its syntax; the checker compares it with
//! the table of keys in [`mod@keys`] and collects every fault; only a file without faults is
//! decoded into [`Settings`].

pub mod check;
pub mod fault;
pub mod keys;
pub mod load;
pub mod model;
pub mod reference;
pub mod yaml;

pub use fault::Fault;
pub use load::{load, parse};
pub use model::{
    Admin, Instance, Limits, Log, LogFormat, LogLevel, Peers, Platform, Settings, Strategy,
};
