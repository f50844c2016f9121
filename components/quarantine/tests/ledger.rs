//! What is made of the evidence against a request.

use std::time::Duration;

use quarantine::{Audience, Evidence, Fingerprint, Ledger, Life, Standing};
use types::Moment;

const SECOND: Duration = Duration::from_secs(1);

fn request() -> Fingerprint {
    Fingerprint::new(&[b"POST", b"a.example", b"/drafts/1", b"editors", b"a body"])
}

fn end(target: &str, ran: Duration) -> Evidence {
    Evidence {
        fingerprint: request(),
        life: Life {
            target: target.into(),
            born: Some(1),
        },
        age: Duration::ZERO,
        ran,
    }
}

/// A ledger in which three targets ended under the request, one each second.
fn rejecting() -> (Ledger, Moment) {
    let mut ledger = Ledger::new();
    let mut now = SECOND;
    for target in ["e-1", "e-2", "e-3"] {
        now += SECOND;
        ledger.ended(now, end(target, SECOND / 2));
    }
    assert!(ledger.rejects(now, &request()));
    (ledger, now)
}

#[test]
fn a_request_is_rejected_once_three_targets_ended_under_it() {
    let mut ledger = Ledger::new();
    assert!(ledger.ended(SECOND, end("e-1", SECOND)).is_none());
    let suspected = ledger.ended(SECOND * 3, end("e-2", SECOND));
    assert_eq!(suspected.expect("a word").standing, Standing::Suspected);
    assert!(!ledger.rejects(SECOND * 4, &request()));
    let rejected = ledger.ended(SECOND * 5, end("e-3", SECOND));
    assert_eq!(rejected.expect("a word").standing, Standing::Rejected);
    assert!(ledger.rejects(SECOND * 6, &request()));
}

/// Guards against counting one end as often as instances or attempts tell of it.
#[test]
fn the_end_of_one_life_counts_once() {
    let mut ledger = Ledger::new();
    for number in 1..9 {
        ledger.ended(SECOND * number, end("e-1", SECOND / 2));
    }
    assert!(!ledger.rejects(SECOND * 9, &request()));
}

/// Guards against the blame of a frequent request for a failure that takes many targets at once.
#[test]
fn targets_that_ended_at_the_same_moment_count_as_one() {
    let mut ledger = Ledger::new();
    for number in 1..9 {
        let at = SECOND + Duration::from_millis(number);
        ledger.ended(at, end(&format!("e-{number}"), SECOND));
    }
    assert!(!ledger.rejects(SECOND * 2, &request()));
}

/// Guards against sendings in quick succession that crash one target each and pass for one failure.
#[test]
fn targets_that_ended_one_right_after_the_other_count_each() {
    let mut ledger = Ledger::new();
    for number in 1..4 {
        let at = SECOND + Duration::from_millis(number * 10);
        ledger.ended(at, end(&format!("e-{number}"), Duration::from_millis(5)));
    }
    assert!(ledger.rejects(SECOND * 2, &request()));
}

/// Guards against the blame of a request that only ran beside one that crashes targets.
#[test]
fn a_request_that_a_target_served_is_free_of_what_was_held_against_it() {
    let mut ledger = Ledger::new();
    ledger.ended(SECOND, end("e-1", SECOND));
    ledger.ended(SECOND * 3, end("e-2", SECOND));
    let (word, audience) = ledger.served(SECOND * 4, &request()).expect("a word");
    assert_eq!(
        (word.standing, audience),
        (Standing::Cleared, Audience::Keepers)
    );
    ledger.ended(SECOND * 5, end("e-3", SECOND));
    assert!(!ledger.rejects(SECOND * 6, &request()));
}

/// Guards against a suspicion that only those could end who have seen an end themselves.
#[test]
fn an_instance_that_was_told_of_a_suspicion_tells_that_the_request_was_served() {
    let (mut keeper, mut other) = (Ledger::new(), Ledger::new());
    keeper.ended(SECOND, end("e-1", SECOND));
    let suspected = keeper.ended(SECOND * 3, end("e-2", SECOND));
    assert!(other.learn(SECOND * 3, &suspected.expect("a word")));
    let (word, audience) = other.served(SECOND * 4, &request()).expect("a word");
    assert_eq!(audience, Audience::Keepers);
    assert!(keeper.learn(SECOND * 4, &word));
    keeper.ended(SECOND * 5, end("e-3", SECOND));
    assert!(!keeper.rejects(SECOND * 6, &request()));
}

/// Guards against a wrong rejection that outlives its disproof at other instances.
#[test]
fn all_hear_that_a_rejected_request_was_served_after_all() {
    let (mut ledger, now) = rejecting();
    let mut other = Ledger::new();
    ledger.words(now).iter().for_each(|word| {
        assert!(other.learn(now, word));
    });
    assert!(other.rejects(now, &request()));
    let (word, audience) = ledger.served(now, &request()).expect("a word");
    assert_eq!(audience, Audience::All);
    assert!(other.learn(now, &word));
    assert!(!other.rejects(now, &request()));
    // Word from before comes late, through a third instance.
    let (third, _) = rejecting();
    assert!(!other.learn(now, &third.words(now)[0]));
}

/// Guards against a rejection that never ends, and against three more ends each time that it does.
#[test]
fn a_rejection_lapses_and_one_more_end_renews_it_for_twice_as_long() {
    let (mut ledger, now) = rejecting();
    let first = ledger.words(now)[0].left;
    let later = now + first;
    assert!(!ledger.rejects(later, &request()));
    let word = ledger.ended(later + SECOND, end("e-4", SECOND));
    let word = word.expect("a word");
    assert_eq!((word.standing, word.left), (Standing::Rejected, first * 2));
}

/// Guards against tables that grow with all the requests that targets ever ended under.
#[test]
fn the_oldest_requests_are_forgotten_where_there_are_too_many() {
    let mut ledger = Ledger::new();
    for number in 0..10_000_u32 {
        for target in ["e-1", "e-2"] {
            let mut evidence = end(target, Duration::ZERO);
            evidence.fingerprint = Fingerprint::new(&[&number.to_le_bytes()]);
            ledger.ended(SECOND, evidence);
        }
    }
    assert!(ledger.words(SECOND).len() <= 4_096);
}

#[test]
fn parts_of_a_request_do_not_run_into_each_other() {
    let one = Fingerprint::new(&[b"ab", b"c"]);
    assert_ne!(one, Fingerprint::new(&[b"a", b"bc"]));
    assert_eq!(one, Fingerprint::new(&[b"ab", b"c"]));
}
