//! Asking again while earlier questions are unanswered.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use front::eager::{TRIES, first_answer};
use timer::boot_time;

/// The store was silent when the first question was sent, and is back. That question will never be
/// answered; waiting for it would keep callers out.
#[test]
fn a_later_question_is_answered_while_the_first_hangs() {
    smol::block_on(async {
        let count = Arc::new(AtomicUsize::new(0));
        let begun = boot_time();
        let asked = first_answer(|| {
            let number = count.fetch_add(1, Ordering::AcqRel);
            async move {
                if number == 0 {
                    smol::Timer::after(Duration::from_secs(60)).await;
                }
                number
            }
        });
        let (answer, sent) = asked.await.expect("an answer");
        assert_eq!(answer, 1);
        assert!(
            sent > begun,
            "the age counts from the question that was answered"
        );
    });
}

/// A store that refuses at once is not asked on: every instance would multiply its load.
#[test]
fn a_refusal_ends_the_asking() {
    smol::block_on(async {
        let count = Arc::new(AtomicUsize::new(0));
        let asked = first_answer(|| {
            count.fetch_add(1, Ordering::AcqRel);
            async { Err::<(), _>("refused") }
        });
        assert_eq!(asked.await.map(|(answer, _)| answer), Some(Err("refused")));
        assert_eq!(count.load(Ordering::Acquire), 1);
    });
}

/// Nothing answers. The number of questions is bounded, and the last one to end decides.
#[test]
fn questions_are_bounded() {
    smol::block_on(async {
        let count = Arc::new(AtomicUsize::new(0));
        let asked = first_answer(|| {
            count.fetch_add(1, Ordering::AcqRel);
            async {
                smol::Timer::after(Duration::from_millis(1_500)).await;
                "nothing came"
            }
        });
        assert!(asked.await.is_some());
        assert_eq!(count.load(Ordering::Acquire), TRIES);
    });
}
