//! Whole answers: the pieces of a generation put together into one JSON document.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use net::{Body, Reply, Share};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use targets::{Piece, openai::REQUEST_ID};
use types::{Refusal, Tokens};

use crate::{
    admission::WorkOutcome,
    attempt::{Step, Tried, Work},
    completion_request::Api,
    delivery,
    gateway::Core,
    generate::{Begun, Generation},
    merge::merge,
    metrics::Outcome,
    problem,
    progress::Pace,
    refusals,
};

/// Bytes of events gathered for one answer at most.
const GATHER_LIMIT: usize = 8 * 1024 * 1024;

/// One event of an engine, as far as it matters here.
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

/// The document that a caller gets.
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

/// What the events of a generation add up to.
#[derive(Default)]
struct Sum {
    id: Option<String>,
    created: Option<u64>,
    model: Option<String>,
    text: String,
    /// Chat only: the message so far.
    message: Map<String, Value>,
    finish_reason: Option<String>,
}

/// A generation gathered to its end.
struct BufferedAnswer {
    request: Arc<str>,
    data: Vec<Bytes>,
    /// Memory that the data takes up.
    _share: Share,
}

/// Answers with one document. Until it is whole the caller has seen nothing, so the generation
/// may be pulled back and run again elsewhere all along.
pub async fn answer(generation: Generation) -> Result<Response<Body>, Refusal> {
    let core = Arc::clone(&generation.core);
    let ask = &generation;
    let cut = Mutex::new(Vec::new());
    let cut_off = &cut;
    let tried = ask
        .tries(|mut work| async move {
            let tried = match ask.begin(&mut work).await {
                Tried::Good(begun) => gather(ask, &mut work, begun, cut_off).await,
                Tried::Again { outcome, ran } => Tried::Again { outcome, ran },
                Tried::Over { outcome, refusal } => Tried::Over { outcome, refusal },
            };
            (work, tried)
        })
        .await;
    let (work, gathered) = match tried {
        Ok(good) => good,
        Err(refusal) => return incomplete(&generation, refusal, &cut.into_inner()),
    };
    let produced = finish(&core, work);
    let sum = Sum::of(&gathered.data).inspect_err(|e| generation.flight.note(e.run.into()))?;
    generation.flight.note(Outcome::Whole);
    core.quarantine.record_success(&generation.fingerprint);
    let document = sum.document(&generation, produced);
    Ok(Reply::json(200, &document)
        .with_header(REQUEST_ID, &gathered.request)
        .done())
}

/// Ends the permit of a generation that has ended; tells the tokens that it produced.
fn finish(core: &Core, work: Work) -> Tokens {
    let (permit, running) = work.take();
    let Some(running) = running else {
        return 0;
    };
    delivery::tell_resumes(core, &running);
    let produced = running.produced();
    permit.finish(WorkOutcome::Finished {
        produced,
        first: running.time_to_first_token().unwrap_or_default(),
        took: running.elapsed(),
    });
    produced
}

/// No further try was allowed: if an engine broke off in the middle, the caller gets what there
/// was, marked as a part.
fn incomplete(
    generation: &Generation,
    refusal: Refusal,
    cut: &[Bytes],
) -> Result<Response<Body>, Refusal> {
    if cut.is_empty() {
        return Err(refusal);
    }
    let mut partial = refusals::partial(&format!("no further try was possible: {refusal}"));
    partial.retry_after = refusal.retry_after;
    generation.core.metrics.refused(&partial.code);
    generation.flight.note(Outcome::Partial);
    let text = Sum::of(cut).map(Sum::into_text).unwrap_or_default();
    Ok(problem::response_with_text(&partial, &text))
}

/// Gathers a generation to its end. What an engine that broke off had produced goes to `cut`.
async fn gather(
    ask: &Generation,
    work: &mut Work,
    begun: Begun,
    cut: &Mutex<Vec<Bytes>>,
) -> Tried<BufferedAnswer> {
    let core = &ask.core;
    let arrived = ask.caller.arrived;
    core.metrics
        .first_token(core.admission.now().saturating_sub(arrived));
    let Begun { mut piece, request } = begun;
    let mut data = Vec::new();
    let mut share = core.answers.share();
    let mut pace = Pace::new(0, core.timer.now());
    let mut size = 0;
    loop {
        let (first, more) = match piece {
            Piece::Tokens { first, data, .. } => (first, data),
            Piece::End => {
                return Tried::Good(BufferedAnswer {
                    request,
                    data,
                    _share: share,
                });
            }
        };
        let produced = first + more.len() as Tokens;
        let bytes = more.iter().map(Bytes::len).sum();
        data.extend(more);
        size += bytes;
        let refusal = if size > GATHER_LIMIT {
            Some(refusals::answer_too_large())
        } else if !share.grow(bytes) {
            Some(refusals::answers_crowded())
        } else {
            None
        };
        if let Some(refusal) = refusal {
            return Tried::Over {
                outcome: None,
                refusal,
            };
        }
        if pace.due(produced, core.timer.now()) {
            work.permit().report_buffered(produced);
        }
        piece = match work.next().await {
            Step::Piece(piece) => piece,
            step => {
                if matches!(step, Step::Broken) {
                    *cut.lock() = data;
                }
                return work.give_up(step).await;
            }
        };
    }
}

impl Sum {
    fn of(data: &[Bytes]) -> Result<Self, Refusal> {
        let mut sum = Self::default();
        for event in data {
            let chunk: Chunk = serde_json::from_slice(event)
                .map_err(|e| refusals::partial(&format!("the engine sent no valid event: {e}")))?;
            sum.add(chunk);
        }
        Ok(sum)
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

    /// The text alone, of either API.
    fn into_text(mut self) -> String {
        if let Some(Value::String(content)) = self.message.get("content") {
            self.text.push_str(content);
        }
        self.text
    }

    fn document(self, generation: &Generation, produced: Tokens) -> Document {
        let call = &generation.call;
        let reason = self.finish_reason.unwrap_or_else(|| "stop".into());
        let (object, choice) = match call.api {
            Api::Chat => ("chat.completion", chat_choice(self.message, reason)),
            Api::Text => ("text_completion", text_choice(self.text, reason)),
        };
        Document {
            id: self.id.unwrap_or_default(),
            object,
            created: self.created.unwrap_or_default(),
            model: self.model.unwrap_or_else(|| call.model.to_string()),
            choices: [choice],
            usage: Usage {
                prompt_tokens: call.prompt_tokens,
                completion_tokens: produced,
                total_tokens: call.prompt_tokens + produced,
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
