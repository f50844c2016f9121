//! Requests of each kind, from caller to target through separate processes.

mod support;

use bench::caller::{Caller, Outcome, Wanted, What};
use timer::Timer;

fn generation(name: &str) -> Wanted {
    let what = What::Generate {
        model: "catalogue".into(),
        route: None,
        prompt: "A long synopsis, please.".into(),
        output: 20,
        most: 100,
    };
    Wanted::new(name, "key-editors", what)
}

fn call(name: &str, method: &str, path: &str, idempotency_key: Option<&str>) -> Wanted {
    let what = What::Plain {
        method: method.into(),
        path: path.into(),
        idempotency_key: idempotency_key.map(String::from),
    };
    Wanted::new(name, "key-viewers", what)
}

#[test]
fn each_kind_of_request_gets_its_complete_answer_through_each_instance() {
    let started = support::start(&support::plan());
    let deployment = &started.deployment;
    smol::block_on(async {
        let caller = Caller::new(Timer::new());
        for (number, addr) in deployment.entries().into_iter().enumerate() {
            let requests = [
                generation(&format!("generation-{number}")),
                call(&format!("lookup-{number}"), "GET", "/titles/7", None),
                call(&format!("save-{number}"), "POST", "/watchlist", None),
                call(
                    &format!("keyed-{number}"),
                    "POST",
                    "/watchlist",
                    Some(&format!("k{number}")),
                ),
            ];
            for request in requests {
                let record = caller.follow(&[addr], &request).await;
                assert_eq!(
                    record.outcome,
                    Outcome::Whole,
                    "{} {}",
                    record.name,
                    deployment.tail(number)
                );
            }
        }
    });
}
