//! Integration tests of the program on the users' platform: real processes with stand-ins for the
//! store, the engines and the plain services.

mod brittle;
mod calls;
mod closed_unread;
mod connection_limits;
mod copied_refusals;
mod crowds;
mod cut_heads;
mod endings;
mod engine_rollouts;
mod explaining;
mod extra_answers;
mod floods;
mod generations;
mod late_requests;
mod limits;
mod memory;
mod odd_entries;
mod one_run;
mod prompt_parts;
mod quarantine;
mod reaching;
mod restores;
mod resuming;
mod rollouts;
mod signals;
mod sizes;
mod speeds;
mod starting;
mod stopping;
mod support;
mod throttle;
