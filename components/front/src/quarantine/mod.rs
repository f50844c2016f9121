//! Requests under which targets ended.

pub mod ends;
