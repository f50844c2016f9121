//! Reading the body of a generation's request.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::{Map, Value};
use types::{Class, Refusal, Tokens};

use crate::refusals::bad_request;

/// Bytes of a prompt that make about one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Which of the two APIs was called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl Api {
    /// Its path, which is the same at engines.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// A generation's request, as far as it matters here.
#[derive(Debug)]
pub struct Call {
    /// Which API.
    pub api: Api,
    /// The model's name.
    pub model: Arc<str>,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// The most tokens that the caller wants.
    pub max_output: Option<Tokens>,
    /// The prompt's bytes, joined.
    pub prompt: Vec<u8>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// How many tokens it really produces; for the oracle baseline only.
    pub true_output: Option<Tokens>,
    body: Map<String, Value>,
}

impl Call {
    /// Reads a body.
    ///
    /// # Errors
    /// Tells the caller what is wrong with it.
    pub fn read(api: Api, body: &[u8]) -> Result<Self, Refusal> {
        let body: Value = serde_json::from_slice(body)
            .map_err(|e| bad_request("bad-json", &format!("the body is not JSON: {e}")))?;
        let Value::Object(body) = body else {
            return Err(wrong("the body", "an object"));
        };
        check_choices(&body)?;
        let (prompt, prompt_tokens) = prompt(api, &body)?;
        Ok(Self {
            api,
            model: model(&body)?,
            stream: stream(&body)?,
            max_output: max_output(&body)?,
            prompt,
            prompt_tokens,
            true_output: true_output(&body),
            body,
        })
    }

    /// The body for the engine: always a stream, with the limit and the urgency filled in.
    pub fn for_engine(&self, max_output: Tokens, class: Class) -> Bytes {
        let mut body = self.body.clone();
        body.remove("max_completion_tokens");
        body.insert("stream".into(), true.into());
        body.insert("max_tokens".into(), max_output.into());
        body.insert("priority".into(), priority(class).into());
        // A JSON value always has a text.
        serde_json::to_vec(&body).unwrap_or_default().into()
    }
}

/// Engines serve smaller numbers first.
const fn priority(class: Class) -> u8 {
    match class {
        Class::Urgent => 0,
        Class::Normal => 1,
        Class::Background => 2,
    }
}

fn wrong(what: &str, right: &str) -> Refusal {
    bad_request("bad-value", &format!("{what} must be {right}"))
}

fn model(body: &Map<String, Value>) -> Result<Arc<str>, Refusal> {
    match body.get("model") {
        Some(Value::String(model)) if !model.is_empty() => Ok(model.as_str().into()),
        _ => Err(wrong("`model`", "the name of a model")),
    }
}

fn stream(body: &Map<String, Value>) -> Result<bool, Refusal> {
    match body.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(wrong("`stream`", "true or false")),
    }
}

/// Several answers to one prompt would need several accounts of tokens in one stream.
fn check_choices(body: &Map<String, Value>) -> Result<(), Refusal> {
    for field in ["n", "best_of"] {
        match body.get(field) {
            None | Some(Value::Null) => {}
            Some(value) if value.as_u64() == Some(1) => {}
            Some(_) => return Err(wrong(&format!("`{field}`"), "1: one answer a request")),
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
                _ => return Err(wrong(&format!("`{field}`"), "a whole number above zero")),
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

fn prompt(api: Api, body: &Map<String, Value>) -> Result<(Vec<u8>, Tokens), Refusal> {
    match api {
        Api::Chat => chat_prompt(body),
        Api::Text => text_prompt(body),
    }
}

fn chat_prompt(body: &Map<String, Value>) -> Result<(Vec<u8>, Tokens), Refusal> {
    let right = "a list of one or more objects with `role` and `content`";
    let messages = body.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|list| !list.is_empty());
    let messages = messages.ok_or_else(|| wrong("`messages`", right))?;
    let mut text = Vec::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        let role = role.ok_or_else(|| wrong("`messages`", right))?;
        text.extend_from_slice(role.as_bytes());
        text.push(b'\n');
        match message.get("content") {
            None | Some(Value::Null) => {}
            Some(Value::String(content)) => text.extend_from_slice(content.as_bytes()),
            Some(parts @ Value::Array(_)) => text.extend_from_slice(parts.to_string().as_bytes()),
            Some(_) => return Err(wrong("`messages`", right)),
        }
        text.push(b'\n');
    }
    let tokens = estimate(&text);
    Ok((text, tokens))
}

fn text_prompt(body: &Map<String, Value>) -> Result<(Vec<u8>, Tokens), Refusal> {
    let right = "a text or a list of token numbers";
    match body.get("prompt") {
        Some(Value::String(text)) => {
            let text = text.clone().into_bytes();
            let tokens = estimate(&text);
            Ok((text, tokens))
        }
        Some(Value::Array(list)) if list.iter().all(Value::is_u64) => {
            let numbers = list.iter().filter_map(Value::as_u64);
            let text = numbers.flat_map(u64::to_le_bytes).collect();
            Ok((text, list.len() as Tokens))
        }
        _ => Err(wrong("`prompt`", right)),
    }
}

fn estimate(text: &[u8]) -> Tokens {
    (text.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)
}
