//! The platform's store: following its topics, at the store or through other instances.

pub mod counted;
pub mod fanout;
pub mod follow;
pub mod restore;
pub mod sources;
pub mod timeouts;
pub mod topic_cache;
