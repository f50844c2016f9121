//! Measures claims over a table that answers after some milliseconds: `cargo run --release -p
//! claims --example measure_claims`.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use claims::{Claimed, Claims, KeyedCall, Liveness, Recorded, StoreClaims};
use platform::MemoryTable;
use timer::Timer;
use types::{Incarnation, InstanceId};

/// Keyed calls in each run.
const CALLS: usize = 4000;
/// Time that the table takes to answer.
const TABLE: Duration = Duration::from_millis(5);

struct Nobody;

impl Liveness for Nobody {
    fn gone(&self, _: &InstanceId, _: Incarnation) -> bool {
        false
    }
}

fn main() {
    for at_once in [1, 10, 100, 1000] {
        smol::block_on(run(at_once));
    }
}

async fn run(at_once: usize) {
    let table = Arc::new(MemoryTable::new());
    table.set_delay(TABLE);
    let timer = Timer::new();
    let claims = StoreClaims::new("i".into(), 1, table.clone(), Arc::new(Nobody), timer);
    let calls = (CALLS / 10).max(at_once * 4).min(CALLS);
    let start = Instant::now();
    let callers: Vec<_> = (0..at_once)
        .map(|caller| workers::spawn(call_often(claims.clone(), caller, calls / at_once)))
        .collect();
    let mut times = Vec::new();
    for caller in callers {
        times.extend(caller.await);
    }
    let took = start.elapsed();
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100];
    println!(
        "{at_once} at once: {:.0} calls a second, claim p50 {:?} p99 {:?}, {:.2} commits a call",
        times.len() as f64 / took.as_secs_f64(),
        at(50),
        at(99),
        table.commits() as f64 / times.len() as f64,
    );
}

/// Claims and records one key after the other; tells how long each claim took.
async fn call_often(claims: Arc<StoreClaims>, caller: usize, count: usize) -> Vec<Duration> {
    let mut times = Vec::new();
    for number in 0..count {
        let call = KeyedCall {
            workspace: "w".into(),
            key: format!("{caller}-{number}").into(),
            digest: "d".into(),
        };
        let start = Instant::now();
        let claimed = claims.claim(&call, Duration::ZERO).await;
        assert_eq!(claimed, Ok(Claimed::Mine), "a new key");
        times.push(start.elapsed());
        let answer = Recorded {
            status: 201,
            content_type: "application/json".into(),
            body: "{\"granted\":true}".into(),
            base64: false,
        };
        claims.record(&call, answer).await;
    }
    times
}
