//! Buffered answers: joins the events of a generation into one JSON document.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use net::{Body, Reply, Share, full};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use targets::{StreamItem, openai::REQUEST_ID};
use types::{Refusal, Tokens};

use crate::{
    admission::WorkOutcome,
    attempt::{Attempt, AttemptEvent, AttemptResult},
    completion_request::Api,
    delivery,
    gateway::Core,
    generate::{Generation, StartedGeneration},
    merge::merge,
    metrics::Outcome,
    problem,
    progress::ProgressThrottle,
    refusals,
};

/// Largest size of the events buffered for one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// The fields of an engine's event that are needed here.
#[derive(Deserialize)]
struct Chunk {
    id: Option<String>,
    created: Option<u64>,
    model: Option<String>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Map<String, Value>>,
    finish_reason: Option<String>,
}

/// The JSON document for the caller.
#[derive(Serialize)]
struct Document {
    id: String,
    object: &'static str,
    created: u64,
    model: String,
    choices: [Value; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    total_tokens: Tokens,
}

/// The joined events of a generation.
#[derive(Default)]
struct JoinedAnswer {
    id: Option<String>,
    created: Option<u64>,
    model: Option<String>,
    text: String,
    /// The chat message; empty for the text API.
    message: Map<String, Value>,
    finish_reason: Option<String>,
}

/// The events of a completed generation.
struct BufferedAnswer {
    request: Arc<str>,
    data: Vec<Bytes>,
    /// Memory reserved for the data.
    share: Share,
}

/// Answers with one document. Until it is complete the caller receives nothing, so the permit may
/// be revoked and the generation run again elsewhere at any time before.
pub async fn answer(generation: Generation) -> Result<Response<Body>, Refusal> {
    let core = Arc::clone(&generation.core);
    let request = &generation;
    let partial = Mutex::new(Vec::new());
    let partial_data = &partial;
    let result = request
        .with_retries(|mut attempt| async move {
            let result = match request.start(&mut attempt).await {
                AttemptResult::Success(started) => {
                    buffer(request, &mut attempt, started, partial_data).await
                }
                AttemptResult::Retry { outcome, ran } => AttemptResult::Retry { outcome, ran },
                AttemptResult::Failed { outcome, refusal } => {
                    AttemptResult::Failed { outcome, refusal }
                }
            };
            (attempt, result)
        })
        .await;
    let (mut attempt, answer) = match result {
        Ok(success) => success,
        Err(refusal) => return incomplete(&generation, refusal, &partial.into_inner()),
    };
    if let Some(watch) = attempt.watch.take() {
        watch.complete();
    }
    let produced = finish(&core, attempt);
    let joined = JoinedAnswer::of(&answer.data)
        .inspect_err(|e| generation.in_flight.set_outcome(e.execution.into()))?;
    generation.in_flight.set_outcome(Outcome::Whole);
    core.quarantine.record_success(&generation.fingerprint);
    let document = joined.document(&generation, produced);
    // The events are still counted, and are about as large.
    let BufferedAnswer { request, share, .. } = answer;
    // Serializing fails only for maps with keys that are not strings; a document has none.
    let text = serde_json::to_vec(&document).unwrap_or_default();
    Ok(Reply::new(200)
        .with_header("content-type", "application/json")
        .with_body(full(share.hold(text.into())))
        .with_header(REQUEST_ID, &request)
        .done())
}

/// Gives back the permit of a completed generation; returns the number of tokens produced.
fn finish(core: &Core, attempt: Attempt) -> Tokens {
    let (permit, stream) = attempt.take();
    let Some(stream) = stream else {
        return 0;
    };
    delivery::report_resumptions(core, &stream);
    let produced = stream.produced();
    permit.finish(WorkOutcome::Finished {
        produced,
        first: stream.time_to_first_token().unwrap_or_default(),
        took: stream.elapsed(),
    });
    produced
}

/// Answers when no further attempt is allowed. If an engine failed in the middle of the answer, the
/// caller gets the text produced until then, marked as partial.
fn incomplete(
    generation: &Generation,
    refusal: Refusal,
    partial_data: &[Bytes],
) -> Result<Response<Body>, Refusal> {
    if partial_data.is_empty() {
        return Err(refusal);
    }
    let mut partial = refusals::partial(&format!("no further try was possible: {refusal}"));
    partial.retry_after = refusal.retry_after;
    generation.core.metrics.record_refusal(&partial.code);
    generation.in_flight.set_outcome(Outcome::Partial);
    let text = JoinedAnswer::of(partial_data)
        .map(JoinedAnswer::into_text)
        .unwrap_or_default();
    Ok(problem::response_with_text(&partial, &text))
}

/// Buffers a generation to its end. If the stream fails, the events received until then are stored
/// in `partial_data`.
async fn buffer(
    request: &Generation,
    attempt: &mut Attempt,
    started: StartedGeneration,
    partial_data: &Mutex<Vec<Bytes>>,
) -> AttemptResult<BufferedAnswer> {
    let core = &request.core;
    let arrived = request.caller.arrived;
    core.metrics
        .record_first_token(core.admission.now().saturating_sub(arrived));
    let StartedGeneration { mut item, request } = started;
    let mut data = Vec::new();
    let mut share = core.memory.share();
    let mut progress = ProgressThrottle::new(0, core.timer.now());
    let mut size = 0;
    loop {
        let (first, more) = match item {
            StreamItem::Tokens { first, data, .. } => (first, data),
            StreamItem::End => {
                return AttemptResult::Success(BufferedAnswer {
                    request,
                    data,
                    share,
                });
            }
        };
        let produced = first + more.len() as Tokens;
        let bytes = more.iter().map(Bytes::len).sum();
        data.extend(more);
        size += bytes;
        let refusal = if size > MAX_ANSWER_BYTES {
            Some(refusals::answer_too_large())
        } else if !share.grow(bytes) {
            Some(refusals::answers_crowded())
        } else {
            None
        };
        if let Some(refusal) = refusal {
            return AttemptResult::Failed {
                outcome: None,
                refusal,
            };
        }
        if progress.is_due(produced, core.timer.now()) {
            attempt.permit().report_buffered(produced);
        }
        if let Some(watch) = &mut attempt.watch {
            watch.record_token();
        }
        item = match attempt.next().await {
            AttemptEvent::StreamItem(item) => item,
            event => {
                if matches!(event, AttemptEvent::StreamFailed(_)) {
                    *partial_data.lock() = data;
                }
                return attempt.give_up(event).await;
            }
        };
    }
}

impl JoinedAnswer {
    fn of(data: &[Bytes]) -> Result<Self, Refusal> {
        let mut joined = Self::default();
        for event in data {
            let chunk: Chunk = serde_json::from_slice(event)
                .map_err(|e| refusals::partial(&format!("the engine sent no valid event: {e}")))?;
            joined.add(chunk);
        }
        Ok(joined)
    }

    fn add(&mut self, chunk: Chunk) {
        self.id = self.id.take().or(chunk.id);
        self.created = self.created.or(chunk.created);
        self.model = self.model.take().or(chunk.model);
        let Some(choice) = chunk.choices.into_iter().next() else {
            return;
        };
        self.text.push_str(&choice.text.unwrap_or_default());
        merge(&mut self.message, choice.delta.unwrap_or_default());
        self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
    }

    /// Returns only the text, of either API.
    fn into_text(mut self) -> String {
        if let Some(Value::String(content)) = self.message.get("content") {
            self.text.push_str(content);
        }
        self.text
    }

    fn document(self, generation: &Generation, produced: Tokens) -> Document {
        let completion = &generation.completion;
        let reason = self.finish_reason.unwrap_or_else(|| "stop".into());
        let (object, choice) = match completion.api {
            Api::Chat => ("chat.completion", chat_choice(self.message, reason)),
            Api::Text => ("text_completion", text_choice(self.text, reason)),
        };
        Document {
            id: self.id.unwrap_or_default(),
            object,
            created: self.created.unwrap_or_default(),
            model: self.model.unwrap_or_else(|| completion.model.to_string()),
            choices: [choice],
            usage: Usage {
                prompt_tokens: completion.prompt_tokens,
                completion_tokens: produced,
                total_tokens: completion.prompt_tokens + produced,
            },
        }
    }
}

fn chat_choice(mut message: Map<String, Value>, reason: String) -> Value {
    message.entry("role").or_insert_with(|| "assistant".into());
    message.entry("content").or_insert(Value::Null);
    json!({ "index": 0, "message": message, "finish_reason": reason })
}

fn text_choice(text: String, reason: String) -> Value {
    json!({ "index": 0, "text": text, "finish_reason": reason })
}
