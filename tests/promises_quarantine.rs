//! A request that crashes what runs it ends few engines, at whichever instance it comes.

mod support;

use std::{net::SocketAddr, time::Duration};

use bench::{
    caller::{Caller, Outcome, Wanted, What},
    deployment::{Deployment, Plan},
};
use standins::engine::CRASH_TRIGGER;
use timer::Timer;

/// Time between two sendings: a crashed engine is back by then.
const BETWEEN: Duration = Duration::from_millis(900);
/// Time within which all instances know what one of them has seen.
const CONTACT: Duration = Duration::from_secs(3);
/// Engines that one request may crash before it is rejected, and those that one attempt which is
/// under way may crash beside.
const MOST: u64 = 6;

fn plan() -> Plan {
    let mut plan = support::plan();
    plan.engine.lifecycle.warm = true;
    plan.engine.lifecycle.restart_ms = 400;
    // One attempt crashes all engines at once, and waits until they are warm again or it is late.
    if let Some(model) = plan.tree.get_mut("/services/catalogue") {
        model.knobs.deadline_ms = Some(4_000);
    }
    plan
}

fn draft(name: &str, prompt: &str) -> Wanted {
    let what = What::Generate {
        model: "catalogue".into(),
        route: None,
        prompt: prompt.into(),
        output: 5,
        most: 10,
    };
    Wanted::new(name, "key-editors", what)
}

/// Lives of all engines that have ended.
async fn ended(deployment: &Deployment) -> u64 {
    let logs = deployment.logs().await;
    let lives = logs
        .engines
        .values()
        .map(|log| log.lifecycle.incarnation - 1);
    lives.sum()
}

async fn crash_some(deployment: &Deployment, caller: &Caller, times: usize) -> Vec<Outcome> {
    let entries: Vec<SocketAddr> = deployment.entries();
    let mut outcomes = Vec::new();
    for number in 0..times {
        let to = entries[number % entries.len()];
        let record = caller
            .follow(&[to], &draft("the same", CRASH_TRIGGER))
            .await;
        outcomes.push(record.outcome);
        smol::Timer::after(BETWEEN).await;
    }
    outcomes
}

/// Guards against a request that crashes one engine after the other because each instance, and each
/// further try of one attempt, knows nothing of the ends before.
#[test]
fn a_request_that_crashes_engines_is_rejected_by_every_instance() {
    let setting = support::start(&plan());
    let deployment = &setting.deployment;
    smol::block_on(async {
        let caller = Caller::new(Timer::new());
        crash_some(deployment, &caller, 3).await;
        smol::Timer::after(CONTACT).await;
        let before = ended(deployment).await;
        assert!((3..=MOST).contains(&before), "{before} ended");
        let later = crash_some(deployment, &caller, 3).await;
        assert_eq!(ended(deployment).await, before, "{later:?}");
        for outcome in later {
            assert!(
                matches!(&outcome, Outcome::Refused { code, .. } if code == "quarantined"),
                "{outcome:?}"
            );
        }
        let entry = deployment.entries()[0];
        let record = caller
            .follow(&[entry], &draft("another", "A short tag."))
            .await;
        assert_eq!(record.outcome, Outcome::Whole);
    });
}
