//! Clients of the platform's services, behind traits.

pub mod api;
pub mod dynamo;
mod dynamo_form;
pub mod fence;
mod http;
pub mod memory;
pub mod paced;
pub mod s3;
pub mod slices;
mod slices_form;

pub use api::{Directory, Objects, PlatformError, Row, RowKey, Table, Write};
pub use dynamo::DynamoTable;
pub use memory::MemoryTable;
pub use paced::{CallBudget, PacedTable};
pub use s3::S3Objects;
pub use slices::SliceDirectory;
