//! Clients that keep the pauses which targets ask for.

mod scripted_server;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use net::Client;
use parking_lot::Mutex;
use scripted_server::{Exchange, ScriptedServer};
use targets::{
    Engine, HttpPlainService, OpenAiEngine, PausingEngine, PausingPlainService, PlainCall,
    PlainService, TargetError, TargetPauses,
};
use timer::Timer;

const SECOND: Duration = Duration::from_secs(1);

fn rejection(retry_after: &str) -> Exchange {
    Exchange::answer(format!(
        "HTTP/1.1 503 Busy\r\nretry-after: {retry_after}\r\ncontent-length: 0\r\n\r\n"
    ))
}

fn call() -> PlainCall {
    PlainCall {
        method: "POST".into(),
        path: "/orders".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        request: "r-1".into(),
    }
}

/// Clients that share pauses, and the pauses of which the listener was told.
fn clients() -> (
    PausingEngine,
    PausingPlainService,
    Arc<Mutex<Vec<Duration>>>,
) {
    let told = Arc::new(Mutex::new(Vec::new()));
    let listened = Arc::clone(&told);
    let listener = Arc::new(move |_: &types::Target, time| listened.lock().push(time));
    let pauses = TargetPauses::new(Timer::new(), listener);
    let engine = OpenAiEngine::new(Client::new(), Timer::new());
    let plain = HttpPlainService::new(Client::new(), Timer::new());
    (
        PausingEngine::new(Arc::new(engine), pauses.clone()),
        PausingPlainService::new(Arc::new(plain), pauses),
        told,
    )
}

/// Guards against sending any kind of request to a target that has asked for none, and against
/// taking a time with a fraction for a lost answer.
#[test]
fn a_target_gets_no_request_of_any_kind_during_its_pause() {
    smol::block_on(async {
        let server = ScriptedServer::start(vec![rejection("0.4"), rejection("30")]).await;
        let (engine, plain, told) = clients();
        let target = server.target();
        let first = plain.call(&target, &call(), SECOND).await;
        let expected = Duration::from_millis(400);
        assert!(matches!(
            first,
            Err(TargetError::Rejected { retry_after: Some(time), .. }) if time == expected
        ));
        for _ in 0..3 {
            let again = plain.call(&target, &call(), SECOND).await;
            assert!(matches!(again, Err(TargetError::Rejected { .. })));
            assert!(plain.report(&target).await.is_err());
            assert!(engine.report(&target).await.is_err());
            assert!(engine.resume(&target, &"s-1".into(), 3).await.is_err());
        }
        assert_eq!(server.requests().len(), 1);
        assert_eq!(*told.lock(), [expected]);
        smol::Timer::after(expected).await;
        assert!(engine.report(&target).await.is_err());
        assert_eq!(server.requests().len(), 2, "the pause has ended");
        assert_eq!(server.remaining(), 0);
        assert_eq!(told.lock().len(), 2, "a report that is rejected counts too");
    });
}

/// Guards against a pause that binds the successor of the process that asked for it.
#[test]
fn a_new_incarnation_is_not_bound_by_the_pause_of_the_last_one() {
    smol::block_on(async {
        let server = ScriptedServer::start(vec![rejection("30"), rejection("30")]).await;
        let (_, plain, _) = clients();
        let mut target = server.target();
        assert!(plain.call(&target, &call(), SECOND).await.is_err());
        target.incarnation += 1;
        assert!(plain.call(&target, &call(), SECOND).await.is_err());
        assert_eq!(server.requests().len(), 2);
    });
}
