//! Requests, stream events and responses in the format of the OpenAI API.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

/// Model name in the responses.
const MODEL: &str = "standin";
/// Bytes of prompt that count as one token.
const TOKEN_BYTES: usize = 4;

/// A request of `/v1/completions` or `/v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub struct CompletionRequest {
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<PromptMessage>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Upper limit of the output length, in tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Priority; smaller values are scheduled first.
    #[serde(default)]
    pub priority: i64,
    /// Data that the load tool adds.
    #[serde(default)]
    pub metadata: Metadata,
}

/// Data that the load tool adds to a request.
#[derive(Debug, Default, Deserialize)]
pub struct Metadata {
    /// Output length in tokens, as a decimal number.
    #[serde(default)]
    pub output_tokens: Option<String>,
    /// Name that the caller gave the request.
    #[serde(default)]
    pub caller: String,
}

#[derive(Debug, Deserialize)]
struct PromptMessage {
    role: String,
    content: String,
}

impl CompletionRequest {
    /// The prompt as a single string; chat messages are joined with their roles.
    #[must_use]
    pub fn prompt(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let lines = self.messages.iter();
        lines
            .map(|m| format!("{}\n{}\n", m.role, m.content))
            .collect()
    }
}

/// Number of tokens of a prompt, estimated from its length.
#[must_use]
pub const fn count_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES) as u64
}

/// Text of a token, unique to its stream and offset.
#[must_use]
pub fn token_text(stream: &str, offset: u64) -> String {
    format!("{stream}.{offset} ")
}

/// API that a request used.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Api {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    #[default]
    Chat,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'static str,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Default, Serialize)]
struct Choice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatMessage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatMessage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChatMessage {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: String,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

/// Appends one token as a server-sent event whose id is the token's offset.
pub fn write_event(buf: &mut BytesMut, api: Api, stream: &str, offset: u64, last: bool) {
    let content = token_text(stream, offset);
    let finish_reason = last.then_some("stop");
    let (object, choice) = match api {
        Api::Chat => {
            let role = (offset == 0).then_some("assistant");
            let delta = Some(ChatMessage { role, content });
            (
                "chat.completion.chunk",
                Choice {
                    delta,
                    ..Choice::default()
                },
            )
        }
        Api::Completions => {
            let text = Some(content);
            (
                "text_completion",
                Choice {
                    text,
                    ..Choice::default()
                },
            )
        }
    };
    let chunk = Chunk {
        id: stream,
        object,
        created: 0,
        model: MODEL,
        choices: [Choice {
            finish_reason,
            ..choice
        }],
        usage: None,
    };
    buf.extend_from_slice(format!("id: {offset}\ndata: ").as_bytes());
    // Serializing a struct of strings and numbers can't fail.
    buf.extend_from_slice(&serde_json::to_vec(&chunk).unwrap_or_default());
    buf.extend_from_slice(b"\n\n");
}

/// Body of a response that is not streamed.
#[must_use]
pub fn complete_response(api: Api, stream: &str, prompt_tokens: u64, produced: u64) -> Bytes {
    let content: String = (0..produced)
        .map(|offset| token_text(stream, offset))
        .collect();
    let (object, choice) = match api {
        Api::Chat => {
            let role = Some("assistant");
            let message = Some(ChatMessage { role, content });
            (
                "chat.completion",
                Choice {
                    message,
                    ..Choice::default()
                },
            )
        }
        Api::Completions => {
            let text = Some(content);
            (
                "text_completion",
                Choice {
                    text,
                    ..Choice::default()
                },
            )
        }
    };
    let response = Chunk {
        id: stream,
        object,
        created: 0,
        model: MODEL,
        choices: [Choice {
            finish_reason: Some("stop"),
            ..choice
        }],
        usage: Some(Usage {
            prompt_tokens,
            completion_tokens: produced,
            total_tokens: prompt_tokens + produced,
        }),
    };
    serde_json::to_vec(&response).unwrap_or_default().into()
}
