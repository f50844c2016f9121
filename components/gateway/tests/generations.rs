//! Generations, streamed and whole, while engines and permits fail.

mod fakes;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use fakes::{
    Bed, KEY_A,
    admission::{Note, Say},
    body,
    engine::{FakeEngine, Step, token},
    events, in_time, problem, read, until,
};
use gateway::WorkOutcome;
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use targets::TargetError;
use types::{Class, Refusal, Tokens};

fn whole(count: Tokens) -> Result<Vec<Step>, TargetError> {
    Ok(vec![Step::Tokens(0, count), Step::End])
}

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
    TargetError::Turned {
        reason: "busy".into(),
        retry_after: None,
    }
}

fn full() -> Refusal {
    Refusal::new(503, "full", "Full", "come back").with_retry_after(Duration::from_millis(1300))
}

/// Checks that a streamed body has these tokens, each with its offset, and the end.
fn check_stream(body: &str, count: Tokens) {
    let events = events(body);
    assert_eq!(events.len() as Tokens, count + 1, "{body}");
    for (offset, (id, data)) in (0..count).zip(&events) {
        assert!(id.ends_with(&format!(".{offset}")), "{id}");
        assert_eq!(data.as_bytes(), token(offset));
    }
    assert_eq!(events[count as usize].1, "[DONE]");
}

fn produced(count: Tokens) -> impl Fn(&Note) -> bool {
    move |note| matches!(note, Note::End(WorkOutcome::Finished { produced, .. }) if *produced == count)
}

#[test]
fn a_streamed_answer_has_each_token_with_an_id() {
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.engine.starts([Ok(vec![
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
        check_stream(&answer.body, 43);
        bed.idle().await;
        assert!(bed.admission.endings().iter().all(produced(43)));
        assert!(bed.admission.notes().contains(&Note::Progress(41)));
        assert_eq!(bed.engine.cancels(), 0);
    });
}

#[test]
fn a_whole_answer_joins_all_tokens() {
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.engine.starts([whole(3)]);
        let json = bed.complete(false, &[]).await.json();
        assert_eq!(json["choices"][0]["text"], "t0 t1 t2 ");
        assert_eq!(json["object"], "text_completion");
        assert_eq!(json["usage"]["completion_tokens"], 3);
        assert!(bed.admission.endings().iter().all(produced(3)));
    });
}

#[test]
fn a_whole_chat_answer_joins_text_and_tool_calls() {
    smol::block_on(async {
        let bed = Bed::new().await;
        let events = [
            r#"{"choices":[{"delta":{"role":"assistant","content":"He"}}]}"#,
            r#"{"choices":[{"delta":{"role":"assistant","content":"llo"}}]}"#,
            r#"{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c1","function":{"name":"f","arguments":"{\"a"}}]}}]}"#,
            r#"{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"\":1}"}},{"index":1,"id":"c2"}]},"finish_reason":"tool_calls"}]}"#,
        ];
        let data = |(at, data): (usize, &&'static str)| Step::Data(at as Tokens, data);
        let mut steps: Vec<_> = events.iter().enumerate().map(data).collect();
        steps.push(Step::End);
        bed.engine.starts([Ok(steps)]);
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
fn the_engine_gets_the_terms_in_force_and_admission_the_wishes() {
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.engine.starts([whole(1)]);
        let text = "x".repeat(600);
        let body = format!(
            r#"{{"model":"m","prompt":"{text}","max_tokens":5000,"metadata":{{"output_tokens":"7"}},"seed":3}}"#
        );
        let headers = [("x-class", "background"), ("x-deadline-ms", "9000")];
        let answer = bed.send("POST", "/v1/completions", &headers, &body).await;
        assert_eq!(answer.status, 200);
        let wanted = bed.admission.wanted();
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
        let bed = Bed::new().await;
        bed.engine.starts([whole(1)]);
        bed.complete(false, &[("x-class", "urgent")]).await;
        assert_eq!(bed.admission.wanted().class, Class::Normal);
    });
}

#[test]
fn a_refusal_is_a_problem_with_whole_seconds_to_wait() {
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.admission.script([Say::No(full())]);
        let answer = bed.complete(true, &[]).await;
        assert_eq!(answer.problem(), problem(503, "full", "not-run"));
        assert_eq!(answer.headers["retry-after"], "2");
        assert_eq!(answer.json()["retry_after"], 2);
    });
}

#[test]
fn a_generation_without_a_token_out_runs_again_elsewhere() {
    // Engines die or turn requests away before they write anything. The caller sees nothing of
    // that but a little more time.
    for error in [unsent(), turned(), lost()] {
        smol::block_on(async {
            let bed = Bed::new().await;
            bed.admission.script([Say::Go("t1"), Say::Go("t2")]);
            bed.engine.starts([Err(error), whole(2)]);
            check_stream(&bed.complete(true, &[]).await.body, 2);
            assert_eq!(*bed.engine.calls.lock()[1].0, *"t2");
        });
    }
}

#[test]
fn only_what_surely_did_not_run_is_refused_as_not_run() {
    // The first engine fails and no other has room. Whether the caller hears `not-run` depends
    // on what may have happened at the first one; a wrong word makes it run twice.
    for (error, run) in [
        (unsent(), "not-run"),
        (turned(), "not-run"),
        (lost(), "unknown"),
    ] {
        for stream in [true, false] {
            smol::block_on(async {
                let bed = Bed::new().await;
                bed.admission.script([Say::Go("t1"), Say::No(full())]);
                bed.engine.starts([Err(error.clone())]);
                let answer = bed.complete(stream, &[]).await;
                assert_eq!(answer.problem(), problem(503, "full", run), "{error}");
            });
        }
    }
}

#[test]
fn nothing_is_sent_under_a_lapsed_permit() {
    // The instance was paused between the permit and the sending. The owner may have given the
    // place to somebody else, and a cold engine would get more than it can bear.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.admission.script([Say::Lapsed, Say::No(full())]);
        let answer = bed.complete(true, &[]).await;
        assert_eq!(answer.problem(), problem(503, "full", "not-run"));
        assert_eq!(bed.engine.started(), 0);
        assert_eq!(bed.admission.endings(), [Note::Again(WorkOutcome::Unsent)]);
    });
}

#[test]
fn work_pulled_back_is_cancelled_and_runs_again_from_its_start() {
    // An engine's memory runs short, so the owner takes back the work that no caller has seen.
    // Were any of it passed on, the answer would come from two generations.
    for stream in [true, false] {
        smol::block_on(async {
            let bed = Bed::new().await;
            bed.admission.script([Say::PulledBack, Say::Go("t2")]);
            let tokens = if stream { 0 } else { 3 };
            bed.engine
                .starts([Ok(vec![Step::Tokens(0, tokens), Step::Silent]), whole(2)]);
            let pull = async {
                until(|| bed.engine.silent() == 1).await;
                bed.admission.pull_back();
            };
            let (answer, ()) = futures_lite::future::zip(bed.complete(stream, &[]), pull).await;
            if stream {
                check_stream(&answer.body, 2);
            } else {
                assert_eq!(answer.json()["choices"][0]["text"], "t0 t1 ");
            }
            assert_eq!(bed.engine.cancels(), 1);
            let again = Note::Again(WorkOutcome::Cancelled { produced: tokens });
            assert_eq!(bed.admission.endings()[0], again);
        });
    }
}

#[test]
fn an_engine_dying_in_a_stream_ends_it_with_a_partial_event() {
    // The engine's machine is reclaimed in the middle of a draft. Without the last event the
    // caller would take the half for the whole.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.engine.starts([Ok(vec![Step::Tokens(0, 3), Step::Die])]);
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
        bed.idle().await;
        assert_eq!(bed.admission.endings(), [Note::End(WorkOutcome::Failed)]);
    });
}

#[test]
fn an_engine_dying_in_a_whole_answer_gives_way_to_another() {
    // No token has reached the caller, so it need not know.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.engine
            .starts([Ok(vec![Step::Tokens(0, 3), Step::Die]), whole(2)]);
        let json = bed.complete(false, &[]).await.json();
        assert_eq!(json["choices"][0]["text"], "t0 t1 ");
    });
}

#[test]
fn a_whole_answer_that_cannot_be_completed_is_partial_with_its_text() {
    // The engine dies and no other has room. The caller gets what there is, marked as a part.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.admission.script([Say::Go("t1"), Say::No(full())]);
        bed.engine.starts([Ok(vec![Step::Tokens(0, 3), Step::Die])]);
        let answer = bed.complete(false, &[]).await;
        assert_eq!(answer.problem(), problem(502, "engine-lost", "partial"));
        assert_eq!(answer.json()["partial_text"], "t0 t1 t2 ");
    });
}

#[test]
fn a_deadline_without_a_token_is_told_at_once_and_frees_the_engine() {
    // The engine accepts the request, writes nothing and answers nothing. The caller must not wait
    // beyond the time it gave, not even for the engine to let go; the place must.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.engine.starts([Ok(vec![Step::Silent])]);
        bed.engine.deaf.store(true, Ordering::Release);
        let answer = bed.complete(true, &[("x-deadline-ms", "50")]).await;
        assert_eq!(answer.problem(), problem(504, "deadline", "unknown"));
        assert!(bed.admission.endings().is_empty());
        bed.engine.deaf.store(false, Ordering::Release);
        until(|| !bed.admission.endings().is_empty()).await;
        assert_eq!(bed.engine.cancels(), 1);
        let ending = WorkOutcome::Cancelled { produced: 0 };
        assert_eq!(bed.admission.endings(), [Note::End(ending)]);
    });
}

/// Guards against a short answer that is called too long because others take up the memory.
#[test]
fn a_whole_answer_for_which_there_is_no_memory_is_told_to_come_back() {
    smol::block_on(async {
        let bed = Arc::new(Bed::new().await);
        let long: &str = Box::leak("x".repeat(8 << 20).into_boxed_str());
        let others = 8;
        let held = || Ok(vec![Step::Data(0, long), Step::Silent]);
        bed.engine
            .starts((0..others).map(|_| held()).chain([whole(1)]));
        let ask = |bed: Arc<Bed>| async move {
            let body = r#"{"model":"many","prompt":"hello"}"#;
            bed.send("POST", "/v1/completions", &[], body).await
        };
        let asked = |_| smol::spawn(ask(Arc::clone(&bed)));
        let tasks: Vec<_> = (0..others).map(asked).collect();
        until(|| bed.engine.silent() == others).await;
        let answer = in_time(ask(Arc::clone(&bed))).await;
        assert_eq!(answer.problem(), problem(502, "answers-crowded", "partial"));
        assert_eq!(answer.headers["retry-after"], "1");
        drop(tasks);
    });
}

/// Guards against a generation that is never placed nor refused, and whose caller hears nothing.
#[test]
fn a_generation_that_is_never_decided_is_refused_after_its_deadline() {
    smol::block_on(async {
        for stream in [true, false] {
            let bed = Bed::new().await;
            bed.admission.script([Say::Wait]);
            let headers = [("x-deadline-ms", "50")];
            let answer = in_time(bed.complete(stream, &headers)).await;
            assert_eq!(answer.problem(), problem(504, "deadline", "not-run"));
            bed.idle().await;
            assert_eq!(bed.admission.endings(), [Note::Dropped]);
        }
    });
}

/// Guards against a generation that may have run and whose next try is never decided.
#[test]
fn a_generation_whose_second_try_is_never_decided_is_said_to_be_unknown() {
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.admission.script([Say::Go("t1"), Say::Wait]);
        bed.engine.starts([Err(lost())]);
        let headers = [("x-deadline-ms", "50")];
        let answer = in_time(bed.complete(true, &headers)).await;
        assert_eq!(answer.problem(), problem(504, "deadline", "unknown"));
    });
}

#[test]
fn a_caller_that_leaves_the_queue_gives_up_its_place() {
    // A viewer closes the page while the request waits. Left in the queue it would take a place
    // that somebody else waits for.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.admission.script([Say::Wait]);
        let asking = bed.complete(true, &[]);
        let leaving = until(|| !bed.admission.notes().is_empty());
        futures_lite::future::or(async { drop(asking.await) }, leaving).await;
        until(|| bed.admission.endings() == [Note::Dropped]).await;
        bed.idle().await;
        assert_eq!(bed.engine.started(), 0);
    });
}

#[test]
fn a_caller_that_leaves_before_the_first_token_frees_the_engine_and_then_its_place() {
    // A viewer closes the page while an engine works on the first token. If the place were free
    // before the engine has let go, a cold engine would get more than it can bear.
    smol::block_on(async {
        for stream in [true, false] {
            let bed = Bed::new().await;
            bed.engine.starts([Ok(vec![Step::Silent])]);
            let asking = async { drop(bed.complete(stream, &[]).await) };
            let leaving = until(|| bed.engine.silent() == 1);
            futures_lite::future::or(asking, leaving).await;
            until(|| !bed.admission.endings().is_empty()).await;
            assert_eq!(bed.engine.cancels(), 1);
            let ending = WorkOutcome::Cancelled { produced: 0 };
            assert_eq!(bed.admission.endings(), [Note::End(ending)]);
        }
    });
}

#[test]
fn a_caller_that_leaves_a_stream_has_it_cancelled_after_the_grace() {
    // An editor closes the page in the middle of a draft and does not come back. The engine
    // would go on writing for nobody.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.engine.starts([Ok(endless(0))]);
        let mut resp = bed
            .open(KEY_A, "POST", "/v1/completions", &[], &body(true))
            .await;
        resp.body_mut()
            .frame()
            .await
            .expect("a frame")
            .expect("one");
        drop(resp);
        until(|| bed.engine.cancels() == 1).await;
        bed.idle().await;
        let endings = bed.admission.endings();
        assert!(
            matches!(endings[..], [Note::End(WorkOutcome::Cancelled { .. })]),
            "{endings:?}"
        );
    });
}

/// Tokens every few milliseconds, more than any test waits for.
fn endless(from: Tokens) -> Vec<Step> {
    let token = |at| [Step::Tokens(at, 1), Step::Pause(Duration::from_millis(5))];
    (from..from + 4000).flat_map(token).collect()
}

/// Begins a stream, reads its first chunk and leaves; gives the id of the last event read.
async fn leave_early(bed: &Bed) -> (String, Tokens) {
    let (_, id, have) = begin(bed).await;
    (id, have)
}

/// Begins a stream and reads its first chunk; gives the id of the last event read.
async fn begin(bed: &Bed) -> (Response<Incoming>, String, Tokens) {
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
fn a_caller_goes_on_at_another_instance_with_the_next_token() {
    // The instance in between dies or the balancer moves the caller. It comes back elsewhere
    // with the id of the last event and must get the rest, no word twice; and the first
    // instance, if it still lives, must not cancel what the caller reads there.
    smol::block_on(async {
        let engine = Arc::new(FakeEngine::default());
        let takeover = Arc::new(fakes::FakeTakeover::default());
        let one = Bed::with(Arc::clone(&engine), "entry-1", None).await;
        let two = Bed::with(Arc::clone(&engine), "entry-2", Some(takeover.clone())).await;
        *takeover.holder.lock() = Some(one.gateway.clone());
        engine.starts([Ok(endless(0))]);
        let (id, have) = leave_early(&one).await;
        let last = have + 3;
        engine.resumes([Ok(vec![
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
        assert_eq!(engine.cancels(), 0);
        assert_eq!(*takeover.told.lock()[0].0, *"entry-1");
        assert!(two.admission.notes().contains(&Note::Adopt(have)));
        one.idle().await;
    });
}

/// The connection that a caller gave up for another seems to hold the whole answer.
#[test]
fn a_stream_that_goes_on_elsewhere_does_not_look_complete() {
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.engine.starts([Ok(endless(0))]);
        let (first, id, have) = begin(&bed).await;
        bed.engine
            .resumes([Ok(vec![Step::Tokens(have, 3), Step::End])]);
        let second = bed
            .send("GET", "/v1/streams", &[("last-event-id", &id)], "")
            .await;
        assert!(second.body.contains("[DONE]"), "{second:?}");
        let rest = first.into_body().collect().await;
        assert!(rest.is_err(), "{rest:?}");
    });
}

#[test]
fn nobody_goes_on_with_a_stream_of_another_workspace_or_a_made_up_one() {
    // Somebody finds an event id in a log. With the key of another workspace it must be of no
    // use, and neither must one that was changed.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.engine.starts([Ok(endless(0))]);
        let (id, _) = leave_early(&bed).await;
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
fn a_stream_whose_engine_is_gone_is_told_so() {
    // The caller comes back after the engine died. What it has is all there is.
    smol::block_on(async {
        let bed = Bed::new().await;
        bed.engine.starts([Ok(endless(0))]);
        let (id, _) = leave_early(&bed).await;
        let header = [("last-event-id", id.as_str())];
        let answer = bed.send("GET", "/v1/streams", &header, "").await;
        assert_eq!(answer.problem(), problem(410, "stream-gone", "partial"));
        bed.admission.forget("t1");
        let answer = bed.send("GET", "/v1/streams", &header, "").await;
        assert_eq!(answer.problem(), problem(410, "stream-gone", "partial"));
    });
}
