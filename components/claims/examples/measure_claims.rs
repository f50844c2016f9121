//! Measures the throughput and latency of claims over a table in memory with a fixed delay, and
//! over the real client against a stand-in of the table service on this machine: `cargo run
//! --release -p claims --example measure_claims`.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use claims::{ClaimOutcome, Claims, KeyedCall, Liveness, RecordedAnswer, StoreClaims};
use net::Client;
use standins::platform::{Faults, start};
use stores::{DynamoTable, MemoryTable, Table};
use timer::Timer;
use types::{Incarnation, InstanceId};

/// Keyed calls in each run.
const CALLS: usize = 4000;
/// Time that the table in memory takes to answer.
const TABLE_DELAY: Duration = Duration::from_millis(5);

/// No instance ever ends.
struct AllAlive;

impl Liveness for AllAlive {
    fn has_ended(&self, _: &InstanceId, _: Incarnation) -> bool {
        false
    }
}

fn main() {
    for at_once in [1, 10, 100, 1000] {
        let table = Arc::new(MemoryTable::new());
        table.set_delay(TABLE_DELAY);
        let commits = smol::block_on(run(at_once, table.clone()));
        println!(
            "  {:.2} commits a call",
            table.commits() as f64 / commits as f64
        );
    }
    smol::block_on(over_http());
}

/// Runs the measurement with the real client; the rate limits of the stand-in are lifted.
async fn over_http() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let faults = Faults {
        write_rate: Some(1e9),
        read_rate: Some(1e9),
        ..Faults::default()
    };
    let platform = start(addr, faults).await.expect("a free port");
    println!("over HTTP:");
    for at_once in [1, 10, 100] {
        let base = format!("http://{}", platform.addr);
        let table = DynamoTable::new(Client::new(), &base, None).expect("a valid address");
        run(at_once, Arc::new(table)).await;
    }
}

/// Claims and records many keys and prints the results; returns the number of calls.
async fn run(at_once: usize, table: Arc<dyn Table>) -> usize {
    let timer = Timer::new();
    let me = format!("i{at_once}").into();
    let claims = StoreClaims::new(me, 1, table, Arc::new(AllAlive), timer);
    let calls = (CALLS / 10).max(at_once * 4).min(CALLS);
    let begin = Instant::now();
    let callers: Vec<_> = (0..at_once)
        .map(|caller| workers::spawn(run_calls(claims.clone(), at_once, caller, calls / at_once)))
        .collect();
    let mut times = Vec::new();
    for caller in callers {
        times.extend(caller.await);
    }
    let took = begin.elapsed();
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100];
    println!(
        "{at_once} at once: {:.0} calls a second, claim p50 {:?} p99 {:?}",
        times.len() as f64 / took.as_secs_f64(),
        at(50),
        at(99),
    );
    times.len()
}

/// Claims and records one key after the other; returns how long each claim took.
async fn run_calls(
    claims: Arc<StoreClaims>,
    at_once: usize,
    caller: usize,
    count: usize,
) -> Vec<Duration> {
    let mut times = Vec::new();
    for number in 0..count {
        let call = KeyedCall {
            workspace: "w".into(),
            key: format!("{at_once}-{caller}-{number}").into(),
            digest: "d".into(),
        };
        let start = Instant::now();
        let claimed = claims.claim(&call, Duration::ZERO).await;
        assert_eq!(claimed, Ok(ClaimOutcome::Acquired), "a new key");
        times.push(start.elapsed());
        let answer = RecordedAnswer {
            status: 201,
            content_type: "application/json".into(),
            body: "{\"granted\":true}".into(),
            base64: false,
        };
        claims.record(&call, answer).await;
    }
    times
}
