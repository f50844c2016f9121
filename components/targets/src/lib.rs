//! Clients of engines and plain services, behind traits.

mod answer;
pub mod api;
pub mod openai;
pub mod plain;
mod report;
pub mod sse;
mod stream;

pub use api::{
    Engine, EngineCall, Order, OrderKind, Piece, Plain, PlainAnswer, PlainCall, Report, Stream,
    StreamId, TargetError,
};
pub use openai::OpenAiEngine;
pub use plain::HttpPlain;
