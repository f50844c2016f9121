//! The program on the users' platform: real processes before stand-ins for its store, engines and
//! plain services.

mod calls;
mod endings;
mod explaining;
mod generations;
mod limits;
mod quarantine;
mod starting;
mod stopping;
mod support;
