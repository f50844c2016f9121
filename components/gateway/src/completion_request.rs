//! Parses the body of a request for a generation, and rewrites it for the engine.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::{Map, Value};
use types::{Class, Refusal, Tokens};

use crate::refusals::bad_request;

/// Average length of a token, in bytes of the prompt.
const BYTES_PER_TOKEN: u64 = 4;

/// The called API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl Api {
    /// Returns the path of the API, which is the same at the gateway and at engines.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// A parsed request for a generation.
#[derive(Debug)]
pub struct CompletionRequest {
    /// The called API.
    pub api: Api,
    /// Name of the model.
    pub model: Arc<str>,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Largest number of tokens that the caller wants.
    pub max_output: Option<Tokens>,
    /// The bytes of the prompt; those of a chat are joined.
    pub prompt: Vec<u8>,
    /// Where each message of a chat ends in `prompt`; empty for a text.
    pub message_ends: Vec<usize>,
    /// Number of tokens in the prompt; estimated unless the prompt is a list of tokens.
    pub prompt_tokens: Tokens,
    /// How many tokens the generation will really produce; for the oracle baseline only.
    pub true_output: Option<Tokens>,
    body: Map<String, Value>,
}

impl CompletionRequest {
    /// Parses a body.
    ///
    /// # Errors
    /// Returns a refusal that names the invalid field.
    pub fn parse(api: Api, body: &[u8]) -> Result<Self, Refusal> {
        let body: Value = serde_json::from_slice(body)
            .map_err(|e| bad_request("bad-json", &format!("the body is not JSON: {e}")))?;
        let Value::Object(body) = body else {
            return Err(invalid("the body", "an object"));
        };
        check_choices(&body)?;
        let (prompt, message_ends, prompt_tokens) = prompt(api, &body)?;
        Ok(Self {
            api,
            model: model(&body)?,
            stream: stream(&body)?,
            max_output: max_output(&body)?,
            prompt,
            message_ends,
            prompt_tokens,
            true_output: true_output(&body),
            body,
        })
    }

    /// Returns the body for the engine, which always requests a stream and sets `max_tokens` and
    /// `priority`.
    pub fn for_engine(&self, max_output: Tokens, class: Class) -> Bytes {
        let mut body = self.body.clone();
        body.remove("max_completion_tokens");
        body.insert("stream".into(), true.into());
        body.insert("max_tokens".into(), max_output.into());
        body.insert("priority".into(), priority(class).into());
        // A JSON value can always be encoded.
        serde_json::to_vec(&body).unwrap_or_default().into()
    }
}

/// Returns the engine's priority of a class. Engines serve smaller numbers first.
const fn priority(class: Class) -> u8 {
    match class {
        Class::Urgent => 0,
        Class::Normal => 1,
        Class::Background => 2,
    }
}

fn invalid(field: &str, expected: &str) -> Refusal {
    bad_request("bad-value", &format!("{field} must be {expected}"))
}

fn model(body: &Map<String, Value>) -> Result<Arc<str>, Refusal> {
    match body.get("model") {
        Some(Value::String(model)) if !model.is_empty() => Ok(model.as_str().into()),
        _ => Err(invalid("`model`", "the name of a model")),
    }
}

fn stream(body: &Map<String, Value>) -> Result<bool, Refusal> {
    match body.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(invalid("`stream`", "true or false")),
    }
}

/// Rejects requests for several answers to one prompt: the tokens of a stream are counted as one
/// sequence.
fn check_choices(body: &Map<String, Value>) -> Result<(), Refusal> {
    for field in ["n", "best_of"] {
        match body.get(field) {
            None | Some(Value::Null) => {}
            Some(value) if value.as_u64() == Some(1) => {}
            Some(_) => return Err(invalid(&format!("`{field}`"), "1: one answer a request")),
        }
    }
    Ok(())
}

fn max_output(body: &Map<String, Value>) -> Result<Option<Tokens>, Refusal> {
    for field in ["max_completion_tokens", "max_tokens"] {
        match body.get(field) {
            None | Some(Value::Null) => {}
            Some(value) => match value.as_u64() {
                Some(tokens) if tokens > 0 => return Ok(Some(tokens)),
                _ => return Err(invalid(&format!("`{field}`"), "a whole number above zero")),
            },
        }
    }
    Ok(None)
}

fn true_output(body: &Map<String, Value>) -> Option<Tokens> {
    body.get("metadata")?
        .get("output_tokens")?
        .as_str()?
        .parse()
        .ok()
}

/// The bytes of a prompt, the ends of its messages and its tokens.
type Prompt = (Vec<u8>, Vec<usize>, Tokens);

fn prompt(api: Api, body: &Map<String, Value>) -> Result<Prompt, Refusal> {
    match api {
        Api::Chat => chat_prompt(body),
        Api::Text => text_prompt(body).map(|(text, tokens)| (text, Vec::new(), tokens)),
    }
}

fn chat_prompt(body: &Map<String, Value>) -> Result<Prompt, Refusal> {
    let expected = "a list of one or more objects with `role` and `content`";
    let messages = body.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|list| !list.is_empty());
    let messages = messages.ok_or_else(|| invalid("`messages`", expected))?;
    let (mut text, mut ends) = (Vec::new(), Vec::new());
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        let role = role.ok_or_else(|| invalid("`messages`", expected))?;
        text.extend_from_slice(role.as_bytes());
        text.push(b'\n');
        match message.get("content") {
            None | Some(Value::Null) => {}
            Some(Value::String(content)) => text.extend_from_slice(content.as_bytes()),
            Some(parts @ Value::Array(_)) => text.extend_from_slice(parts.to_string().as_bytes()),
            Some(_) => return Err(invalid("`messages`", expected)),
        }
        text.push(b'\n');
        ends.push(text.len());
    }
    let tokens = estimate_tokens(&text);
    Ok((text, ends, tokens))
}

fn text_prompt(body: &Map<String, Value>) -> Result<(Vec<u8>, Tokens), Refusal> {
    let expected = "a text or a list of token numbers";
    match body.get("prompt") {
        Some(Value::String(text)) => {
            let text = text.clone().into_bytes();
            let tokens = estimate_tokens(&text);
            Ok((text, tokens))
        }
        Some(Value::Array(list)) if list.iter().all(Value::is_u64) => {
            let numbers = list.iter().filter_map(Value::as_u64);
            let text = numbers.flat_map(u64::to_le_bytes).collect();
            Ok((text, list.len() as Tokens))
        }
        _ => Err(invalid("`prompt`", expected)),
    }
}

fn estimate_tokens(text: &[u8]) -> Tokens {
    (text.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)
}
