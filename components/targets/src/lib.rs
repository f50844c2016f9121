//! HTTP clients of targets, which are engines and plain services, behind traits.

mod answer;
pub mod api;
pub mod openai;
pub mod pausing;
pub mod plain;
mod report;
mod send_check;
pub mod sse;
mod stream;

pub use api::{
    Command, CommandKind, Engine, EngineCall, MaySend, PlainAnswer, PlainCall, PlainService,
    Stream, StreamId, StreamItem, TargetError, TargetReport,
};
pub use openai::OpenAiEngine;
pub use pausing::{PauseListener, PausingEngine, PausingPlainService, TargetPauses};
pub use plain::HttpPlainService;
