//! Streamed and buffered generations while engines fail and permits expire or are revoked.

mod fakes;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use fakes::{
    KEY_A, TestBed,
    admission::{AdmissionEvent, AdmissionStep},
    body,
    engine::{FakeEngine, Step, token},
    events, in_time, problem, read, until,
};
use gateway::WorkOutcome;
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use targets::TargetError;
use types::{Class, Refusal, Tokens};

fn complete_stream(count: Tokens) -> Result<Vec<Step>, TargetError> {
    Ok(vec![Step::Tokens(0, count), Step::End])
}

/// Time without a token after which a generation is given up.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// More attempts to resume than are made in that time.
const MAX_RESUMPTIONS: usize = 100;

fn lost() -> TargetError {
    TargetError::Lost {
        reason: "reset".into(),
    }
}

fn unsent() -> TargetError {
    TargetError::Unsent {
        reason: "refused".into(),
    }
}

fn turned() -> TargetError {
    TargetError::Rejected {
        reason: "busy".into(),
        retry_after: None,
        is_certain: true,
    }
}

fn full() -> Refusal {
    Refusal::new(503, "full", "Full", "retry later").with_retry_after(Duration::from_millis(1300))
}

/// Asserts that a streamed body contains `count` tokens, each with its offset, and the end.
fn assert_stream(body: &str, count: Tokens) {
    let events = events(body);
    assert_eq!(events.len() as Tokens, count + 1, "{body}");
    for (offset, (id, data)) in (0..count).zip(&events) {
        assert!(id.ends_with(&format!(".{offset}")), "{id}");
        assert_eq!(data.as_bytes(), token(offset));
    }
    assert_eq!(events[count as usize].1, "[DONE]");
}

/// Returns a predicate for work that finished with `count` tokens.
fn finished_with(count: Tokens) -> impl Fn(&AdmissionEvent) -> bool {
    move |event| matches!(event, AdmissionEvent::Finish(WorkOutcome::Finished { produced, .. }) if *produced == count)
}

#[test]
fn a_streamed_answer_has_each_token_with_an_id() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([Ok(vec![
            Step::Tokens(0, 1),
            Step::Tokens(1, 40),
            Step::Tokens(41, 2),
            Step::End,
        ])]);
        let answer = bed.complete(true, &[]).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["content-type"], "text/event-stream");
        let name = bed.engine.calls.lock()[0].1.request.clone();
        assert_eq!(answer.headers["x-request-id"], *name);
        assert_stream(&answer.body, 43);
        bed.wait_until_idle().await;
        assert!(bed.admission.outcomes().iter().all(finished_with(43)));
        assert!(
            bed.admission
                .events()
                .contains(&AdmissionEvent::Progress(41))
        );
        assert_eq!(bed.engine.cancel_count(), 0);
    });
}

#[test]
fn a_buffered_answer_joins_all_tokens() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([complete_stream(3)]);
        let json = bed.complete(false, &[]).await.json();
        assert_eq!(json["choices"][0]["text"], "t0 t1 t2 ");
        assert_eq!(json["object"], "text_completion");
        assert_eq!(json["usage"]["completion_tokens"], 3);
        assert!(bed.admission.outcomes().iter().all(finished_with(3)));
    });
}

#[test]
fn a_buffered_chat_answer_joins_text_and_tool_calls() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        let events = [
            r#"{"choices":[{"delta":{"role":"assistant","content":"He"}}]}"#,
            r#"{"choices":[{"delta":{"role":"assistant","content":"llo"}}]}"#,
            r#"{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c1","function":{"name":"f","arguments":"{\"a"}}]}}]}"#,
            r#"{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"\":1}"}},{"index":1,"id":"c2"}]},"finish_reason":"tool_calls"}]}"#,
        ];
        let data = |(at, data): (usize, &&'static str)| Step::Data(at as Tokens, data);
        let mut steps: Vec<_> = events.iter().enumerate().map(data).collect();
        steps.push(Step::End);
        bed.engine.script_starts([Ok(steps)]);
        let body = r#"{"model":"m","messages":[{"role":"user","content":"hello"}]}"#;
        let answer = bed.send("POST", "/v1/chat/completions", &[], body).await;
        let choice = answer.json()["choices"][0].clone();
        let calls = &choice["message"]["tool_calls"];
        assert_eq!(choice["message"]["content"], "Hello");
        assert_eq!(choice["finish_reason"], "tool_calls");
        assert_eq!(calls[0]["function"]["arguments"], r#"{"a":1}"#);
        assert_eq!(
            (&calls[0]["id"], &calls[1]["id"]),
            (&"c1".into(), &"c2".into())
        );
    });
}

#[test]
fn engine_and_admission_get_the_limits_in_force_and_the_options_of_the_caller() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([complete_stream(1)]);
        let text = "x".repeat(600);
        let body = format!(
            r#"{{"model":"m","prompt":"{text}","max_tokens":5000,"metadata":{{"output_tokens":"7"}},"seed":3}}"#
        );
        let headers = [("x-class", "background"), ("x-deadline-ms", "9000")];
        let answer = bed.send("POST", "/v1/completions", &headers, &body).await;
        assert_eq!(answer.status, 200);
        let wanted = bed.admission.first_request();
        assert_eq!((wanted.prompt_tokens, wanted.max_output), (150, 100));
        assert_eq!(
            (wanted.class, wanted.true_output),
            (Class::Background, Some(7))
        );
        assert_eq!(wanted.prefix.len(), 2);
        assert!(wanted.deadline < Duration::from_secs(15));
        let sent = bed.engine.calls.lock()[0].1.body.clone();
        let sent: serde_json::Value = serde_json::from_slice(&sent).expect("JSON");
        assert_eq!((&sent["stream"], &sent["seed"]), (&true.into(), &3.into()));
        assert_eq!(
            (&sent["max_tokens"], &sent["priority"]),
            (&100.into(), &2.into())
        );
    });
}

#[test]
fn a_caller_cannot_raise_its_urgency() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([complete_stream(1)]);
        bed.complete(false, &[("x-class", "urgent")]).await;
        assert_eq!(bed.admission.first_request().class, Class::Normal);
    });
}

#[test]
fn a_refusal_is_a_problem_document_with_a_delay_in_whole_seconds() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.admission.script([AdmissionStep::Refuse(full())]);
        let answer = bed.complete(true, &[]).await;
        assert_eq!(answer.problem(), problem(503, "full", "not-run"));
        assert_eq!(answer.headers["retry-after"], "2");
        assert_eq!(answer.json()["retry_after"], 2);
    });
}

#[test]
fn a_generation_that_fails_before_its_first_token_is_retried_at_another_engine() {
    // Engines crash or refuse requests before their first token. The caller must only notice a
    // longer wait.
    for error in [unsent(), turned(), lost()] {
        smol::block_on(async {
            let bed = TestBed::new().await;
            bed.admission
                .script([AdmissionStep::Grant("t1"), AdmissionStep::Grant("t2")]);
            bed.engine.script_starts([Err(error), complete_stream(2)]);
            assert_stream(&bed.complete(true, &[]).await.body, 2);
            assert_eq!(*bed.engine.calls.lock()[1].0, *"t2");
        });
    }
}

#[test]
fn a_refusal_says_not_run_only_if_no_attempt_can_have_run() {
    // The first engine fails and no other has capacity. If the first engine may have run the
    // request and the refusal said `not-run`, the caller would send it again and it would run
    // twice.
    for (error, run) in [
        (unsent(), "not-run"),
        (turned(), "not-run"),
        (lost(), "unknown"),
    ] {
        for stream in [true, false] {
            smol::block_on(async {
                let bed = TestBed::new().await;
                bed.admission
                    .script([AdmissionStep::Grant("t1"), AdmissionStep::Refuse(full())]);
                bed.engine.script_starts([Err(error.clone())]);
                let answer = bed.complete(stream, &[]).await;
                assert_eq!(answer.problem(), problem(503, "full", run), "{error}");
            });
        }
    }
}

#[test]
fn nothing_is_sent_under_an_expired_permit() {
    // The process is paused between the grant of a permit and the sending. The owner may have
    // granted the capacity to another request meanwhile, so sending would overload a cold engine.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.admission
            .script([AdmissionStep::GrantExpired, AdmissionStep::Refuse(full())]);
        let answer = bed.complete(true, &[]).await;
        assert_eq!(answer.problem(), problem(503, "full", "not-run"));
        assert_eq!(bed.engine.start_count(), 0);
        assert_eq!(
            bed.admission.outcomes(),
            [AdmissionEvent::Retry(WorkOutcome::Unsent)]
        );
    });
}

/// Guards against a cold engine that gets one request too many from an instance that was paused while its
/// connection to the engine opened.
#[test]
fn nothing_is_sent_under_a_permit_that_expires_while_the_connection_opens() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.admission
            .script([AdmissionStep::GrantExpiring, AdmissionStep::Refuse(full())]);
        let answer = bed.complete(true, &[]).await;
        assert_eq!(answer.problem(), problem(503, "full", "not-run"));
        assert_eq!(bed.engine.start_count(), 0);
        assert_eq!(
            bed.admission.outcomes(),
            [AdmissionEvent::Retry(WorkOutcome::Unsent)]
        );
    });
}

#[test]
fn revoked_work_is_cancelled_and_runs_again_from_its_start() {
    // An engine runs out of memory, so the owner revokes work of which no caller has received a
    // token. If tokens of it were still sent, the answer would mix two generations.
    for stream in [true, false] {
        smol::block_on(async {
            let bed = TestBed::new().await;
            bed.admission
                .script([AdmissionStep::GrantRevocable, AdmissionStep::Grant("t2")]);
            let tokens = if stream { 0 } else { 3 };
            bed.engine.script_starts([
                Ok(vec![Step::Tokens(0, tokens), Step::Silent]),
                complete_stream(2),
            ]);
            let revoke = async {
                until(|| bed.engine.silent_streams() == 1).await;
                bed.admission.revoke();
            };
            let (answer, ()) = futures_lite::future::zip(bed.complete(stream, &[]), revoke).await;
            if stream {
                assert_stream(&answer.body, 2);
            } else {
                assert_eq!(answer.json()["choices"][0]["text"], "t0 t1 ");
            }
            assert_eq!(bed.engine.cancel_count(), 1);
            let retried = AdmissionEvent::Retry(WorkOutcome::Cancelled { produced: tokens });
            assert_eq!(bed.admission.outcomes()[0], retried);
        });
    }
}

#[test]
fn a_stream_whose_engine_crashes_ends_with_a_partial_event() {
    // The engine's machine is reclaimed in mid-stream. Without the last event the caller would take
    // the truncated answer for a complete one.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine
            .script_starts([Ok(vec![Step::Tokens(0, 3), Step::Crash])]);
        let answer = bed.complete(true, &[]).await;
        let events = events(&answer.body);
        assert_eq!(events.len(), 4);
        assert!(answer.body.contains("event: partial\n"));
        assert!(!answer.body.contains("[DONE]"));
        let problem: serde_json::Value = serde_json::from_str(&events[3].1).expect("JSON");
        assert_eq!(
            (&problem["run"], &problem["status"]),
            (&"partial".into(), &502.into())
        );
        bed.wait_until_idle().await;
        assert_eq!(
            bed.admission.outcomes(),
            [AdmissionEvent::Finish(WorkOutcome::Failed)]
        );
    });
}

#[test]
fn a_buffered_answer_whose_engine_crashes_is_retried_at_another() {
    // No token has reached the caller, so the generation can be repeated unnoticed.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([
            Ok(vec![Step::Tokens(0, 3), Step::Crash]),
            complete_stream(2),
        ]);
        let json = bed.complete(false, &[]).await.json();
        assert_eq!(json["choices"][0]["text"], "t0 t1 ");
    });
}

#[test]
fn a_buffered_answer_that_cannot_be_completed_is_partial_with_its_text() {
    // The engine crashes and no other has capacity. The caller gets the text produced so far,
    // marked as partial.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.admission
            .script([AdmissionStep::Grant("t1"), AdmissionStep::Refuse(full())]);
        bed.engine
            .script_starts([Ok(vec![Step::Tokens(0, 3), Step::Crash])]);
        let answer = bed.complete(false, &[]).await;
        assert_eq!(answer.problem(), problem(502, "engine-lost", "partial"));
        assert_eq!(answer.json()["partial_text"], "t0 t1 t2 ");
    });
}

#[test]
fn a_deadline_without_a_token_is_reported_at_once_and_the_engine_cancelled() {
    // The engine accepts the request, sends no token and does not answer the cancellation. The
    // caller must get its refusal at the deadline, but the permit must be held until the
    // cancellation.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([Ok(vec![Step::Silent])]);
        bed.engine
            .ignores_cancellation
            .store(true, Ordering::Release);
        let answer = bed.complete(true, &[("x-deadline-ms", "50")]).await;
        assert_eq!(answer.problem(), problem(504, "deadline", "unknown"));
        assert!(bed.admission.outcomes().is_empty());
        bed.engine
            .ignores_cancellation
            .store(false, Ordering::Release);
        until(|| !bed.admission.outcomes().is_empty()).await;
        assert_eq!(bed.engine.cancel_count(), 1);
        let outcome = WorkOutcome::Cancelled { produced: 0 };
        assert_eq!(bed.admission.outcomes(), [AdmissionEvent::Finish(outcome)]);
    });
}

/// Guards against long answers that use up the memory: a further one is refused, with a retry delay and not as
/// too large, and short ones are still answered.
#[test]
fn a_long_answer_without_memory_is_refused_with_a_retry_delay_and_a_short_one_is_answered() {
    smol::block_on(async {
        let bed = Arc::new(TestBed::new().await);
        let long: &str = Box::leak("x".repeat(8 << 20).into_boxed_str());
        let others = 8;
        let filling = || Ok(vec![Step::Data(0, long), Step::Silent]);
        bed.engine
            .script_starts((0..=others).map(|_| filling()).chain([complete_stream(1)]));
        let send = |bed: Arc<TestBed>| async move {
            let body = r#"{"model":"many","prompt":"hello"}"#;
            bed.send("POST", "/v1/completions", &[], body).await
        };
        let start = |_| smol::spawn(send(Arc::clone(&bed)));
        let tasks: Vec<_> = (0..others).map(start).collect();
        until(|| bed.engine.silent_streams() == others).await;
        let answer = in_time(send(Arc::clone(&bed))).await;
        assert_eq!(answer.problem(), problem(502, "answers-crowded", "partial"));
        assert_eq!(answer.headers["retry-after"], "1");
        let answer = in_time(send(Arc::clone(&bed))).await;
        assert_eq!(answer.status, 200);
        drop(tasks);
    });
}

/// Guards against a generation that runs at a second engine while the first one, which has fallen silent, may go on
/// with it.
#[test]
fn a_generation_that_fell_silent_runs_again_only_once_its_engine_has_stopped() {
    smol::block_on(async {
        let bed = Arc::new(TestBed::with_stall_timeout(STALL_TIMEOUT).await);
        bed.engine.script_starts([
            Ok(vec![Step::Tokens(0, 1), Step::Crash]),
            complete_stream(1),
        ]);
        bed.engine
            .script_resumptions((0..MAX_RESUMPTIONS).map(|_| Err(lost())));
        bed.engine
            .ignores_cancellation
            .store(true, Ordering::Release);
        let caller = Arc::clone(&bed);
        let answer = smol::spawn(async move { caller.complete(false, &[]).await });
        smol::Timer::after(4 * STALL_TIMEOUT).await;
        assert_eq!(bed.engine.start_count(), 1);
        bed.engine
            .ignores_cancellation
            .store(false, Ordering::Release);
        assert_eq!(in_time(answer).await.status, 200);
        assert_eq!(bed.engine.start_count(), 2);
    });
}

/// Guards against a generation that admission never answers and whose caller waits forever.
#[test]
fn a_generation_that_admission_never_answers_is_refused_after_its_deadline() {
    smol::block_on(async {
        for stream in [true, false] {
            let bed = TestBed::new().await;
            bed.admission.script([AdmissionStep::Wait]);
            let headers = [("x-deadline-ms", "50")];
            let answer = in_time(bed.complete(stream, &headers)).await;
            assert_eq!(answer.problem(), problem(504, "deadline", "not-run"));
            bed.wait_until_idle().await;
            assert_eq!(bed.admission.outcomes(), [AdmissionEvent::Dropped]);
        }
    });
}

/// Guards against a wrong `not-run` for a generation that may have run and whose retry admission
/// never answers.
#[test]
fn a_generation_whose_retry_admission_never_answers_is_refused_as_unknown() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.admission
            .script([AdmissionStep::Grant("t1"), AdmissionStep::Wait]);
        bed.engine.script_starts([Err(lost())]);
        let headers = [("x-deadline-ms", "50")];
        let answer = in_time(bed.complete(true, &headers)).await;
        assert_eq!(answer.problem(), problem(504, "deadline", "unknown"));
    });
}

#[test]
fn a_caller_that_disconnects_while_queued_gives_up_its_place() {
    // The caller disconnects while its request waits for a permit. A request that stayed in the
    // queue would take capacity that others wait for.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.admission.script([AdmissionStep::Wait]);
        let request = bed.complete(true, &[]);
        let disconnect = until(|| !bed.admission.events().is_empty());
        futures_lite::future::or(async { drop(request.await) }, disconnect).await;
        until(|| bed.admission.outcomes() == [AdmissionEvent::Dropped]).await;
        bed.wait_until_idle().await;
        assert_eq!(bed.engine.start_count(), 0);
    });
}

#[test]
fn a_caller_that_disconnects_before_the_first_token_frees_the_engine_before_the_permit() {
    // The caller disconnects while an engine computes the first token. If the permit ended before
    // the engine has cancelled the work, a cold engine would be overloaded.
    smol::block_on(async {
        for stream in [true, false] {
            let bed = TestBed::new().await;
            bed.engine.script_starts([Ok(vec![Step::Silent])]);
            let request = async { drop(bed.complete(stream, &[]).await) };
            let disconnect = until(|| bed.engine.silent_streams() == 1);
            futures_lite::future::or(request, disconnect).await;
            until(|| !bed.admission.outcomes().is_empty()).await;
            assert_eq!(bed.engine.cancel_count(), 1);
            let outcome = WorkOutcome::Cancelled { produced: 0 };
            assert_eq!(bed.admission.outcomes(), [AdmissionEvent::Finish(outcome)]);
        }
    });
}

#[test]
fn the_stream_of_a_caller_that_disconnects_is_cancelled_after_the_grace_period() {
    // The caller disconnects in mid-stream and does not resume. Without a cancellation the engine
    // would run the generation to its end for nobody.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([Ok(endless(0))]);
        let mut resp = bed
            .open(KEY_A, "POST", "/v1/completions", &[], &body(true))
            .await;
        resp.body_mut()
            .frame()
            .await
            .expect("a frame")
            .expect("one");
        drop(resp);
        until(|| bed.engine.cancel_count() == 1).await;
        bed.wait_until_idle().await;
        let outcomes = bed.admission.outcomes();
        assert!(
            matches!(
                outcomes[..],
                [AdmissionEvent::Finish(WorkOutcome::Cancelled { .. })]
            ),
            "{outcomes:?}"
        );
    });
}

/// Returns a stream with a token every 5 ms, longer than any test waits.
fn endless(from: Tokens) -> Vec<Step> {
    let token = |at| [Step::Tokens(at, 1), Step::Pause(Duration::from_millis(5))];
    (from..from + 4000).flat_map(token).collect()
}

/// Starts a stream, reads its first chunk and disconnects. Returns the id of the last event read
/// and the number of events.
async fn start_and_disconnect(bed: &TestBed) -> (String, Tokens) {
    let (_, id, have) = start_stream(bed).await;
    (id, have)
}

/// Starts a stream and reads its first chunk. Returns the response, the id of the last event read
/// and the number of events.
async fn start_stream(bed: &TestBed) -> (Response<Incoming>, String, Tokens) {
    let mut resp = bed
        .open(KEY_A, "POST", "/v1/completions", &[], &body(true))
        .await;
    let frame = resp
        .body_mut()
        .frame()
        .await
        .expect("a frame")
        .expect("one");
    let text = frame.into_data().unwrap_or_default();
    let events = events(&String::from_utf8_lossy(&text));
    let id = events.last().expect("an event").0.clone();
    (resp, id, events.len() as Tokens)
}

#[test]
fn a_caller_resumes_at_another_instance_with_the_next_token() {
    // The caller loses its instance and resumes at another one with the id of its last event. It
    // must get the remaining tokens once each, and the first instance, if it still runs, must not
    // cancel the stream.
    smol::block_on(async {
        let engine = Arc::new(FakeEngine::default());
        let takeover = Arc::new(fakes::FakeTakeover::default());
        let one = TestBed::with(Arc::clone(&engine), "entry-1", None).await;
        let two = TestBed::with(Arc::clone(&engine), "entry-2", Some(takeover.clone())).await;
        *takeover.holder.lock() = Some(one.gateway.clone());
        engine.script_starts([Ok(endless(0))]);
        let (id, have) = start_and_disconnect(&one).await;
        let last = have + 3;
        engine.script_resumptions([Ok(vec![
            Step::Tokens(have, 3),
            Step::Pause(Duration::from_secs(2)),
            Step::Tokens(last, 1),
            Step::End,
        ])]);
        let answer = two
            .send("GET", "/v1/streams", &[("last-event-id", &id)], "")
            .await;
        let events = events(&answer.body);
        let data: Vec<_> = events
            .iter()
            .map(|(_, data)| Bytes::from(data.clone()))
            .collect();
        let mut expected: Vec<_> = (have..=last).map(token).collect();
        expected.push("[DONE]".into());
        assert_eq!(data, expected);
        assert_eq!(*engine.resumed.lock(), [have]);
        assert_eq!(engine.cancel_count(), 0);
        assert_eq!(*takeover.notified.lock()[0].0, *"entry-1");
        assert!(
            two.admission
                .events()
                .contains(&AdmissionEvent::Adopt(have))
        );
        one.wait_until_idle().await;
    });
}

/// Guards against a connection that looks complete after its stream was resumed over another one.
#[test]
fn a_stream_that_was_resumed_elsewhere_does_not_look_complete() {
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([Ok(endless(0))]);
        let (first, id, have) = start_stream(&bed).await;
        bed.engine
            .script_resumptions([Ok(vec![Step::Tokens(have, 3), Step::End])]);
        let second = bed
            .send("GET", "/v1/streams", &[("last-event-id", &id)], "")
            .await;
        assert!(second.body.contains("[DONE]"), "{second:?}");
        let rest = first.into_body().collect().await;
        assert!(rest.is_err(), "{rest:?}");
    });
}

#[test]
fn event_ids_that_are_forged_or_of_another_workspace_are_refused() {
    // An event id leaks, for instance through a log. It must not work with the key of another
    // workspace, nor after a modification.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([Ok(endless(0))]);
        let (id, _) = start_and_disconnect(&bed).await;
        let mut changed = id.clone().into_bytes();
        changed[3] ^= 1;
        let changed = String::from_utf8_lossy(&changed).into_owned();
        for (key, id) in [
            (fakes::KEY_B, id.as_str()),
            (KEY_A, &changed),
            (KEY_A, "x.1"),
            (KEY_A, ""),
        ] {
            let resp = bed
                .open(key, "GET", "/v1/streams", &[("last-event-id", id)], "")
                .await;
            assert_eq!(
                read(resp).await.problem(),
                problem(400, "bad-event-id", "not-run")
            );
        }
        assert!(bed.engine.resumed.lock().is_empty());
    });
}

#[test]
fn resuming_a_stream_whose_engine_is_gone_is_refused() {
    // The caller resumes after the engine crashed: no more of the answer is available.
    smol::block_on(async {
        let bed = TestBed::new().await;
        bed.engine.script_starts([Ok(endless(0))]);
        let (id, _) = start_and_disconnect(&bed).await;
        let header = [("last-event-id", id.as_str())];
        let answer = bed.send("GET", "/v1/streams", &header, "").await;
        assert_eq!(answer.problem(), problem(410, "stream-gone", "partial"));
        bed.admission.unlist("t1");
        let answer = bed.send("GET", "/v1/streams", &header, "").await;
        assert_eq!(answer.problem(), problem(410, "stream-gone", "partial"));
    });
}
