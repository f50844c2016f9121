//! Clients of the platform's services, behind traits.

pub mod api;

pub use api::{Directory, Objects, PlatformError, Row, RowKey, Table, Write};
