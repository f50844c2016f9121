//! The `celerystand` program as a library: its command line and what each command does.

pub mod cli;
pub mod client;
pub mod cmd;
pub mod demo;
pub mod failure;
pub mod output;
