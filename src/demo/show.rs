//! The steps of the demonstration. Each prints what it shows and fails if the instance does not
//! behave as promised.

use std::{env, time::Duration};

use errors::{Context, Error, Result};
use serde_json::{Value, json};
use timer::Timer;

use crate::{
    demo::{CALLER_KEY, InstanceAddrs, MODEL, OPERATOR_KEY, StandIns, call::Caller},
    output,
};

/// Timeout for the instance to serve each kind of request.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Path of chat completions.
const CHAT: &str = "/v1/chat/completions";
/// Prefixes of the metrics that are printed.
const SHOWN_METRICS: [&str; 4] = [
    "gateway_requests_total",
    "gateway_refusals_total",
    "gateway_tokens_total",
    "gateway_first_token_seconds_count",
];

/// Waits until the instance reports that it is ready and serves a request to each service.
/// Readiness alone is not enough: the platform's list of targets lags, so that the first requests
/// may be refused for lack of a target.
///
/// # Errors
/// The instance does not serve within `READY_TIMEOUT`.
pub async fn wait_until_ready(addrs: &InstanceAddrs) -> Result<()> {
    let ready = Caller::new(addrs.admin);
    wait_until_ok(&ready, "GET", "/ready", "").await?;
    let caller = Caller::new(addrs.listen);
    wait_until_ok(&caller, "GET", "/orders/1", "").await?;
    wait_until_ok(&caller, "POST", CHAT, &chat("Hello.", 1, false)).await
}

/// Repeats a request until it is answered with 200.
async fn wait_until_ok(caller: &Caller, method: &str, path: &str, body: &str) -> Result<()> {
    let timer = Timer::new();
    let mut last = String::from("no answer");
    while timer.now() < READY_TIMEOUT {
        match caller.request(method, path, &[], body).await {
            Ok(answer) if answer.status == 200 => return Ok(()),
            Ok(answer) => last = answer.text,
            Err(error) => last = error.to_string(),
        }
        timer.sleep(POLL_INTERVAL).await;
    }
    Err(Error::new(last).with_context(path))
}

/// Prints a streamed answer token by token.
///
/// # Errors
/// The stream failed, was empty or ended without its end marker.
pub async fn streamed_answer(caller: &Caller) -> Result<()> {
    output::line("\nA streamed answer:")?;
    let body = chat("Draft a sign for a tea shop.", 24, true);
    let mut tokens = 0;
    let mut ended = false;
    let on_line = |line: &str| {
        ended |= line == "data: [DONE]";
        if let Some(text) = token_text(line) {
            tokens += 1;
            output::text(&text)?;
        }
        Ok(())
    };
    caller.stream(CHAT, &body, on_line).await?;
    output::line(format_args!("\n  ({tokens} tokens)"))?;
    if !ended || tokens == 0 {
        return Err(Error::new("the stream ended too early"));
    }
    Ok(())
}

/// Sends a plain call that is not repeatable twice with the same idempotency key.
///
/// # Errors
/// The answers differ or are not 200, or the call did not run exactly once.
pub async fn idempotent_call(caller: &Caller, stand_ins: &StandIns) -> Result<()> {
    output::line("\nAn order with an idempotency key, sent twice and run once:")?;
    let headers = [("idempotency-key", "order-1")];
    let mut answers = Vec::new();
    for _ in 0..2 {
        let answer = caller
            .request("POST", "/orders", &headers, r#"{"sheets":3}"#)
            .await?;
        output::line(format_args!("  {} {}", answer.status, answer.text))?;
        answers.push((answer.status, answer.text));
    }
    output::line(format_args!(
        "  effects at the service: {}",
        stand_ins.effects()
    ))?;
    if answers[0] != answers[1] || answers[0].0 != 200 || stand_ins.effects() != 1 {
        return Err(Error::new("the order did not run exactly once"));
    }
    Ok(())
}

/// Shows a refusal that states that the request did not run: while the table service is down, the
/// idempotency key of an order can't be checked.
///
/// # Errors
/// The order was not refused.
pub async fn refusal(caller: &Caller, stand_ins: &StandIns) -> Result<()> {
    output::line(
        "\nThe table service goes down. A keyed order is refused, and says that it did not run:",
    )?;
    stand_ins.set_table_down(true);
    let headers = [("idempotency-key", "order-2")];
    let answer = caller.request("POST", "/orders", &headers, "{}").await;
    stand_ins.set_table_down(false);
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

/// Prints the metrics of `SHOWN_METRICS`.
///
/// # Errors
/// The metrics can't be read.
pub async fn metrics(addrs: &InstanceAddrs) -> Result<()> {
    output::line(format_args!(
        "\nSome of its metrics (http://{}/metrics):",
        addrs.admin
    ))?;
    let answer = Caller::new(addrs.admin)
        .request("GET", "/metrics", &[], "")
        .await?;
    let shown = |line: &&str| SHOWN_METRICS.iter().any(|name| line.starts_with(name));
    for line in answer.text.lines().filter(shown) {
        output::line(format_args!("  {line}"))?;
    }
    Ok(())
}

/// Prints commands that can be copied to try the instance.
///
/// # Errors
/// Standard output can't be written.
pub fn example_commands(addrs: &InstanceAddrs) -> Result<()> {
    let InstanceAddrs { listen, admin, .. } = addrs;
    let program = program_path();
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

/// Returns the path of this program, which need not be in a directory of `PATH`.
fn program_path() -> String {
    let path = env::current_exe();
    path.map_or_else(|_| "celerystand".to_owned(), |p| p.display().to_string())
}

/// Returns the body of a chat completion.
fn chat(prompt: &str, max_tokens: u32, stream: bool) -> String {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
}

/// Returns the text that a line of a stream of chat completions adds, if any.
fn token_text(line: &str) -> Option<String> {
    let event: Value = serde_json::from_str(line.strip_prefix("data: ")?).ok()?;
    let text = event["choices"][0]["delta"]["content"].as_str()?;
    (!text.is_empty()).then(|| text.to_owned())
}
