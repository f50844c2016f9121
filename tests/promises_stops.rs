//! No order from outside leaves a request without its answer.

mod support;

use std::{net::SocketAddr, time::Duration};

use bench::{
    caller::{Caller, Outcome, Record, Wanted, What},
    deployment::{Deployment, Plan},
    process::Signal,
};
use events::Event;
use smol::{Task, Timer};

/// Time between two looks at something that takes a while.
const POLL: Duration = Duration::from_millis(20);
/// Looks before a test gives up.
const LOOKS: usize = 1500;
/// Tokens of a stream that takes seconds.
const LONG: u64 = 150;

fn plan() -> Plan {
    let mut plan = support::plan();
    plan.engine.life.warm = true;
    plan.replica.life.warm = true;
    plan
}

fn draft(name: &str) -> Wanted {
    let what = What::Generate {
        model: "catalogue".into(),
        route: None,
        prompt: "A long synopsis, please.".into(),
        output: LONG,
        most: 2 * LONG,
    };
    Wanted::new(name, "key-editors", what)
}

fn save(name: &str) -> Wanted {
    let what = What::Plain {
        method: "POST".into(),
        path: "/watchlist".into(),
        idempotency_key: None,
    };
    Wanted::new(name, "key-viewers", what)
}

fn follow(caller: &Caller, addr: SocketAddr, wanted: Wanted) -> Task<Record> {
    let caller = caller.clone();
    workers::spawn(async move { caller.follow(&[addr], &wanted).await })
}

async fn until_produced(deployment: &Deployment, name: &str, tokens: u64) {
    for _ in 0..LOOKS {
        let logs = deployment.logs().await;
        let mut generations = logs.engines.values().flat_map(|log| &log.generations);
        if generations.any(|g| g.caller == name && g.produced >= tokens) {
            return;
        }
        Timer::after(POLL).await;
    }
    panic!("{name} never had {tokens} tokens:\n{}", deployment.tail(0));
}

/// Guards against a hangup ending the process, and with it every request, as it does by default.
#[test]
fn a_hangup_cuts_no_request() {
    let mut setting = support::start(&plan());
    let deployment = &mut setting.deployment;
    smol::block_on(async {
        let caller = Caller::new(timer::Timer::new());
        let entry = deployment.entries()[0];
        let stream = follow(&caller, entry, draft("draft"));
        until_produced(deployment, "draft", 3).await;
        deployment.signal(0, Signal::Reload);
        let record = stream.await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        assert_eq!(record.tokens, LONG);
        let record = caller.follow(&[entry], &save("after")).await;
        assert_eq!(record.outcome, Outcome::Whole, "{}", deployment.tail(0));
        let told = Event::HangUp.to_string();
        assert!(deployment.tail(0).contains(&told), "{}", deployment.tail(0));
    });
}
