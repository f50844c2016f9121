//! What the demonstration shows, step by step.

use std::{env, time::Duration};

use errors::{Context, Error, Result};
use serde_json::{Value, json};
use timer::Timer;

use crate::{
    demo::{CALLER_KEY, MODEL, OPERATOR_KEY, Place, Surroundings, call::Caller},
    output,
};

/// Time for the instance to become ready.
const READY_PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks.
const POLL: Duration = Duration::from_millis(100);
/// Path of chat completions.
const CHAT: &str = "/v1/chat/completions";
/// Metrics that are worth showing after a few requests.
const SHOWN_METRICS: [&str; 4] = [
    "gateway_requests_total",
    "gateway_refusals_total",
    "gateway_tokens_total",
    "gateway_first_token_seconds_count",
];

/// Waits until the instance says that it takes work, and has heard of a target for each service:
/// the platform's list lags, so its first answers may be that there is none.
///
/// # Errors
/// It does not in time.
pub async fn until_served(place: &Place) -> Result<()> {
    let ready = Caller::new(place.admin);
    until_ok(&ready, "GET", "/ready", "").await?;
    let caller = Caller::new(place.listen);
    until_ok(&caller, "GET", "/orders/1", "").await?;
    until_ok(&caller, "POST", CHAT, &chat("Hello.", 1, false)).await
}

async fn until_ok(caller: &Caller, method: &str, path: &str, body: &str) -> Result<()> {
    let timer = Timer::new();
    let mut last = String::from("no answer");
    while timer.now() < READY_PATIENCE {
        match caller.ask(method, path, &[], body).await {
            Ok(answer) if answer.status == 200 => return Ok(()),
            Ok(answer) => last = answer.text,
            Err(error) => last = error.to_string(),
        }
        timer.sleep(POLL).await;
    }
    Err(Error::new(last).with_context(path))
}

/// Streams an answer token by token.
///
/// # Errors
/// The stream did not end well.
pub async fn streamed_answer(caller: &Caller) -> Result<()> {
    output::line("\nA streamed answer:")?;
    let body = chat("Draft a sign for a tea shop.", 24, true);
    let mut tokens = 0;
    let mut ended = false;
    let each = |line: &str| {
        ended |= line == "data: [DONE]";
        if let Some(text) = token(line) {
            tokens += 1;
            output::text(&text)?;
        }
        Ok(())
    };
    caller.stream(CHAT, &body, each).await?;
    output::line(format_args!("\n  ({tokens} tokens)"))?;
    if !ended || tokens == 0 {
        return Err(Error::new("the stream ended too early"));
    }
    Ok(())
}

/// Sends a plain call that is not repeatable, with an idempotency key, twice.
///
/// # Errors
/// It was not answered, or ran twice.
pub async fn keyed_call(caller: &Caller, around: &Surroundings) -> Result<()> {
    output::line("\nAn order with an idempotency key, sent twice and run once:")?;
    let headers = [("idempotency-key", "order-1")];
    let mut answers = Vec::new();
    for _ in 0..2 {
        let answer = caller
            .ask("POST", "/orders", &headers, r#"{"sheets":3}"#)
            .await?;
        output::line(format_args!("  {} {}", answer.status, answer.text))?;
        answers.push((answer.status, answer.text));
    }
    output::line(format_args!(
        "  effects at the service: {}",
        around.effects()
    ))?;
    if answers[0] != answers[1] || answers[0].0 != 200 || around.effects() != 1 {
        return Err(Error::new("the order did not run exactly once"));
    }
    Ok(())
}

/// Shows a truthful refusal: the table service is down, so a keyed order can't be checked.
///
/// # Errors
/// It was not refused.
pub async fn refusal(caller: &Caller, around: &Surroundings) -> Result<()> {
    output::line(
        "\nThe table service goes down. A keyed order is refused, and says that it did not run:",
    )?;
    around.set_table_down(true);
    let headers = [("idempotency-key", "order-2")];
    let answer = caller.ask("POST", "/orders", &headers, "{}").await;
    around.set_table_down(false);
    let answer = answer?;
    let retry_after = answer.retry_after.unwrap_or_default();
    output::line(format_args!(
        "  {} (Retry-After: {retry_after})",
        answer.status
    ))?;
    output::line(format_args!("  {}", answer.text))?;
    let problem: Value = serde_json::from_str(&answer.text).context("reading the refusal")?;
    if problem["run"] != "not-run" {
        return Err(Error::new("the order was not refused"));
    }
    Ok(())
}

/// Prints some metrics.
///
/// # Errors
/// They can't be read.
pub async fn metrics(place: &Place) -> Result<()> {
    output::line(format_args!(
        "\nSome of its metrics (http://{}/metrics):",
        place.admin
    ))?;
    let answer = Caller::new(place.admin)
        .ask("GET", "/metrics", &[], "")
        .await?;
    let shown = |line: &&str| SHOWN_METRICS.iter().any(|name| line.starts_with(name));
    for line in answer.text.lines().filter(shown) {
        output::line(format_args!("  {line}"))?;
    }
    Ok(())
}

/// Prints lines to copy.
///
/// # Errors
/// Standard output can't be written.
pub fn lines_to_copy(place: &Place) -> Result<()> {
    let Place { listen, admin, .. } = place;
    let program = program();
    let body = chat("Draft a sign for a tea shop.", 40, true);
    output::line("\nIt stays up until Ctrl-C. To copy:\n")?;
    output::line(format_args!(
        "  curl -N http://{listen}{CHAT} -H 'Authorization: Bearer {CALLER_KEY}' -d '{body}'\n"
    ))?;
    for command in ["status", "export", "dump"] {
        output::line(format_args!(
            "  CELERYSTAND_KEY={OPERATOR_KEY} {program} {command} --admin {admin}"
        ))?;
    }
    output::line("")
}

/// How to call this program: it need not lie on the path.
fn program() -> String {
    let path = env::current_exe();
    path.map_or_else(|_| "celerystand".to_owned(), |p| p.display().to_string())
}

fn chat(prompt: &str, most: u32, stream: bool) -> String {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": most,
        "stream": stream,
    })
    .to_string()
}

/// The text that a line of a stream of chat completions adds.
fn token(line: &str) -> Option<String> {
    let event: Value = serde_json::from_str(line.strip_prefix("data: ")?).ok()?;
    let text = event["choices"][0]["delta"]["content"].as_str()?;
    (!text.is_empty()).then(|| text.to_owned())
}
