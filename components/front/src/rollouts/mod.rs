//! Rollouts of new versions: which version each request may go to, what the answers show, and the
//! coordinator's part.

pub mod coordination;
pub mod local;
pub mod participation;
pub mod record;
pub mod records;
pub mod verdicts;
pub mod version_permit;
