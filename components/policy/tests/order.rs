//! Who goes next, and where to.

mod support;

use std::time::Duration;

use policy::{EngineReport, TargetLimits};
use support::{Bed, ask, finished, held, limits, target, view, warm};
use types::{Class, ServiceKind};
use wire::{Ask, Grant, Message};

/// One warm target with four slots.
fn narrow() -> Bed {
    let limits = TargetLimits {
        warm_limit: 4,
        queue_limit: 100,
        ..limits()
    };
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits));
    bed.report(
        "a",
        EngineReport {
            running: 4,
            ..warm()
        },
    );
    bed
}

/// Fills all slots of `narrow` and gives the permits.
fn fill(bed: &mut Bed) -> Vec<Grant> {
    let mut grants = Vec::new();
    for number in 1..=4 {
        bed.ask("entry", number);
        grants.extend(bed.grants());
    }
    assert_eq!(grants.len(), 4);
    grants
}

fn change(bed: &Bed, number: u64, change: impl FnOnce(&mut Ask)) -> Ask {
    let mut ask = ask(number, bed.now);
    change(&mut ask);
    ask
}

/// The asks that are granted as the given permits come back one by one.
fn served(bed: &mut Bed, grants: &[Grant]) -> Vec<u64> {
    let mut order = Vec::new();
    for grant in grants {
        bed.done("entry", grant, finished(10));
        order.extend(bed.grants().iter().map(|grant| grant.ask));
    }
    order
}

#[test]
fn class_goes_before_deadline_and_deadline_before_arrival() {
    let mut bed = narrow();
    let grants = fill(&mut bed);
    let asks = [
        (10, Class::Background, 5),
        (11, Class::Normal, 50),
        (12, Class::Normal, 20),
        (13, Class::Urgent, 60),
    ];
    for (number, class, within) in asks {
        let ask = change(&bed, number, |ask| {
            ask.class = class;
            ask.within = Duration::from_secs(within);
        });
        bed.message("entry", ask);
    }
    // One slot is kept for urgent work now, so the first to go is the urgent one.
    assert_eq!(served(&mut bed, &grants), [13, 12, 11]);
}

// One workspace sends a hundred long drafts at once. If places went by count or by arrival, the
// short questions of all others would wait behind them.
#[test]
fn workspaces_share_by_tokens_and_not_by_count() {
    let mut bed = narrow();
    let mut grants = fill(&mut bed);
    for number in 100..120 {
        let long = change(&bed, number, |ask| {
            ask.workspace = "films".into();
            ask.prompt = 4000;
        });
        bed.message("entry", long);
    }
    for number in 200..210 {
        let short = change(&bed, number, |ask| ask.prompt = 50);
        bed.message("entry", short);
    }
    let mut order = Vec::new();
    while order.len() < 12 {
        let grant = grants.remove(0);
        bed.done("entry", &grant, finished(10));
        for grant in bed.grants() {
            order.push(grant.ask);
            grants.push(grant);
        }
    }
    let short = order.iter().filter(|&&number| number >= 200).count();
    assert!(short >= 8, "{order:?}");
}

// Background work that is always put last never ends while others keep coming.
#[test]
fn background_work_that_has_waited_long_counts_as_normal() {
    let mut bed = narrow();
    let grants = fill(&mut bed);
    let old = change(&bed, 10, |ask| {
        ask.class = Class::Background;
        ask.waited = Duration::from_secs(30);
        ask.within = Duration::from_secs(10);
    });
    bed.message("entry", old);
    bed.advance(10);
    bed.ask("entry", 11);
    assert_eq!(served(&mut bed, &grants), [10, 11]);
}

// Small requests fit into every gap that opens. If they always went ahead, one that needs much
// of an engine would never find room.
#[test]
fn a_big_request_is_not_starved_by_small_ones() {
    let limits = TargetLimits {
        warm_limit: 64,
        queue_limit: 1000,
        ..limits()
    };
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits));
    let mut report = warm();
    report.running = 64;
    bed.report("a", report);
    let small = |bed: &Bed, number| change(bed, number, |ask| ask.workspace = "small".into());
    let mut running = Vec::new();
    for number in 0..40 {
        let ask = small(&bed, number);
        bed.message("entry", ask);
        running.extend(bed.grants());
    }
    let big = change(&bed, 1000, |ask| ask.prompt = 8000);
    bed.message("entry", big);
    let mut next = 2000;
    for _ in 0..400 {
        if !running.is_empty() {
            let grant = running.remove(0);
            bed.done("entry", &grant, finished(10));
            running.extend(bed.grants());
        }
        next += 1;
        let ask = small(&bed, next);
        bed.message("entry", ask);
        running.extend(bed.grants());
        if running.iter().any(|grant| grant.ask == 1000) {
            return;
        }
    }
    panic!("the big request still waits");
}

// Urgent calls must not queue behind work that may wait, so a part of each limit is theirs once
// there is urgent work.
#[test]
fn the_last_slots_are_kept_for_urgent_work() {
    let mut bed = narrow();
    bed.ask_of(Class::Urgent, 1);
    for number in 2..=9 {
        bed.ask_of(Class::Background, number);
    }
    bed.ask_of(Class::Urgent, 10);
    assert_eq!(bed.grants().len(), 1);
}

#[test]
fn a_prompt_goes_where_its_prefix_is_cached_unless_that_target_is_much_fuller() {
    let limits = TargetLimits {
        warm_limit: 64,
        ..limits()
    };
    let targets = vec![target("a", 1), target("b", 1), target("c", 1)];
    let mut bed = Bed::owning(view(targets, limits));
    for id in ["a", "b", "c"] {
        let mut report = warm();
        report.running = 64;
        bed.report(id, report);
    }
    let mut homes = Vec::new();
    for number in 0..24 {
        let ask = change(&bed, number, |ask| {
            ask.prompt = 300;
            ask.prefix = vec![1, 2, 3];
        });
        bed.message("entry", ask);
        homes.extend(bed.grants().into_iter().map(|grant| grant.target));
    }
    assert_eq!(homes.len(), 24);
    assert_eq!(homes[0], homes[1]);
    let most = ["a", "b", "c"].map(|id| homes.iter().filter(|home| ***home == *id).count());
    assert!(most.iter().all(|&count| count >= 4), "{most:?}");
}

// An engine that runs out of memory preempts somebody, and a caller sees its answer stall. Work
// that nobody has seen a token of goes back first, background before normal.
#[test]
fn unseen_background_work_is_recalled_from_a_target_that_runs_out_of_memory() {
    let mut bed = narrow();
    bed.ask("entry", 1);
    let normal = bed.grants().remove(0);
    bed.ask_of(Class::Background, 2);
    let background = bed.grants().remove(0);
    bed.ask_of(Class::Background, 3);
    let seen = bed.grants().remove(0);
    bed.advance(300);
    let background_held = |grant: &Grant, produced| wire::HeldPermit {
        class: Class::Background,
        ..held(grant.permit, "a", produced)
    };
    let permits = vec![
        held(normal.permit, "a", 0),
        background_held(&background, 0),
        background_held(&seen, 9),
    ];
    bed.held("entry", 1, permits);
    let full = EngineReport {
        used: 9_800,
        running: 3,
        ..warm()
    };
    bed.report("a", full);
    let recalled: Vec<u64> = bed
        .messages()
        .filter_map(|message| match message {
            Message::Recall(recall) => Some(recall.permit),
            _ => None,
        })
        .collect();
    assert_eq!(recalled, [background.permit]);
    bed.ask("entry", 4);
    assert!(bed.grants().is_empty(), "nothing is admitted there now");
}

#[test]
fn blocks_of_plain_calls_are_shared_fairly_between_entries() {
    let limits = TargetLimits {
        kind: ServiceKind::Plain,
        warm_limit: 16,
        ..limits()
    };
    let mut bed = Bed::owning(view(vec![target("a", 1)], limits));
    let mut report = warm();
    report.running = 16;
    bed.report("a", report);
    let block = |bed: &Bed, number| {
        change(bed, number, |ask| {
            ask.kind = ServiceKind::Plain;
            ask.slots = 8;
            ask.prompt = 0;
            ask.max_output = 0;
        })
    };
    let mut slots = std::collections::BTreeMap::new();
    for number in 1..=2 {
        for entry in ["one", "two"] {
            let ask = block(&bed, number);
            bed.message(entry, ask);
            for grant in bed.grants() {
                *slots.entry(entry).or_insert(0) += grant.slots;
            }
        }
    }
    assert_eq!(slots["one"] + slots["two"], 16);
    assert!(slots["two"] >= 7, "{slots:?}");
}

// A caller that will not be served in time is told so when it asks, with a time to come back
// that is true; waiting for a refusal would cost it all its patience.
#[test]
fn an_ask_that_can_not_be_served_in_time_is_refused_at_once() {
    let mut bed = narrow();
    let mut grants = fill(&mut bed);
    for number in 10..40 {
        bed.ask("entry", number);
    }
    for number in 50..62 {
        bed.advance(500);
        bed.ask("entry", number);
        let grant = grants.remove(0);
        bed.done("entry", &grant, finished(10));
        grants.extend(bed.grants());
    }
    let hasty = change(&bed, 90, |ask| ask.within = Duration::from_secs(2));
    bed.message("entry", hasty);
    let denials = bed.denials();
    let [(90, Some(after))] = denials[..] else {
        panic!("{denials:?}");
    };
    assert!(
        after > Duration::from_secs(4) && after < Duration::from_secs(20),
        "{after:?}"
    );
    let patient = change(&bed, 91, |ask| ask.within = Duration::from_secs(60));
    bed.message("entry", patient);
    assert!(bed.denials().is_empty());
}

// When service slows down, some of those that wait will not be served in time. KnownLengths only at the
// end of their patience they would have waited for nothing.
#[test]
fn a_waiting_ask_is_refused_as_soon_as_it_can_not_be_met() {
    let mut bed = narrow();
    let mut grants = fill(&mut bed);
    for number in 10..40 {
        bed.ask("entry", number);
    }
    let mut refused = 0;
    for number in 50..58 {
        for _ in 0..20 {
            bed.advance(250);
            refused += bed.denials().len();
        }
        bed.ask("entry", number);
        let grant = grants.remove(0);
        bed.done("entry", &grant, finished(10));
        grants.extend(bed.grants());
    }
    // One every 5 s, and 60 s of patience: a third of the thirty is refused long before its end.
    assert!((8..30).contains(&refused), "{refused}");
}
