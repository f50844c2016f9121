//! Clients of the platform's table service, object store and directory, behind traits.

pub mod api;
pub mod dynamo;
mod dynamo_format;
pub mod fence;
mod http;
pub mod memory;
pub mod paced;
pub mod s3;
pub mod slices;
mod slices_format;

pub use api::{Directory, Objects, PlatformError, Row, RowKey, Table, Write};
pub use dynamo::DynamoTable;
pub use memory::MemoryTable;
pub use paced::{CallBudget, PacedTable};
pub use s3::S3Objects;
pub use slices::SliceDirectory;
