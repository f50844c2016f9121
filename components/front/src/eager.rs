//! Asks again while earlier questions are still unanswered.
//!
//! A store that was silent for a while answers new calls at once when it is back, and the old ones
//! never. An instance that waits for its old call to fail first goes on refusing callers for a
//! second or two for want of fresh knowledge, though the store is there.

use std::time::Duration;

use smol::channel::unbounded;
use timer::{Timer, boot_time};
use types::Moment;

/// Time after which the next question is sent. A store answers within 5 ms as a rule, and within
/// 0.4 s when it is slow.
pub const GAP: Duration = Duration::from_millis(400);
/// Questions that may be under way at once.
pub const TRIES: usize = 3;

/// The first answer to any of several equal questions, and when that question was sent. An answer
/// that tells of a failure counts as one: it came at once, so asking on would only add load.
///
/// None if no question was answered: each of them must end by itself after some time.
pub async fn first_answer<T, F>(ask: impl Fn() -> F) -> Option<(T, Moment)>
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    let timer = Timer::new();
    let (tx, rx) = unbounded();
    // Dropped with the first answer, which ends the others.
    let mut asked = Vec::new();
    for _ in 0..TRIES {
        let (tx, sent, answer) = (tx.clone(), boot_time(), ask());
        asked.push(workers::spawn(async move {
            // Fails only where an earlier answer was taken.
            let _ = tx.send((answer.await, sent)).await;
        }));
        if let Some(Ok(answer)) = timer.within(GAP, rx.recv()).await {
            return Some(answer);
        }
    }
    drop(tx);
    rx.recv().await.ok()
}
