//! Clients of engines and plain services, behind traits.

pub mod api;

pub use api::{
    Engine, EngineCall, Order, OrderKind, Piece, Plain, PlainAnswer, PlainCall, Report, Stream,
    StreamId, TargetError,
};
