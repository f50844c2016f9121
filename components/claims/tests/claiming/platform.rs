//! Claims over the real client against a stand-in of the table service with faults.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::common::{EndedInstances, TIMEOUT, answer, call};
use claims::{ClaimError, ClaimOutcome, Claims, StoreClaims};
use net::Client;
use smol::Task;
use standins::{
    StandinHandle,
    platform::{Faults, Platform, start},
};
use stores::{CallBudget, DynamoTable, PacedTable};
use timer::Timer;

struct Instance {
    claims: Arc<StoreClaims>,
    table: PacedTable,
    _run: Task<()>,
}

impl Instance {
    fn start(name: &str, platform: &StandinHandle<Platform>) -> Self {
        let base = format!("http://{}", platform.addr);
        let client = DynamoTable::new(Client::new(), &base, None).expect("a valid address");
        let timer = Timer::new();
        let table = PacedTable::new(Arc::new(client), CallBudget::default(), timer);
        let ended = Arc::new(EndedInstances::default());
        let claims = StoreClaims::new(name.into(), 1, Arc::new(table.clone()), ended, timer);
        let run = workers::spawn(Arc::clone(&claims).run());
        Self {
            claims,
            table,
            _run: run,
        }
    }

    async fn claim(&self, key: &str) -> Result<ClaimOutcome, ClaimError> {
        self.claims.claim(&call(key, "d"), TIMEOUT).await
    }

    async fn until_up(&self) {
        let end = std::time::Instant::now() + TIMEOUT;
        while !self.table.is_up() {
            assert!(std::time::Instant::now() < end, "the table counts as down");
            Timer::new().sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn platform() -> StandinHandle<Platform> {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    start(addr, Faults::default()).await.expect("a free port")
}

// The connection to the service breaks right after it has applied a claim, and again after it has
// applied the record of the answer.
#[test]
fn lost_answers_lose_neither_the_call_nor_its_record() {
    smol::block_on(async {
        let platform = platform().await;
        let (a, b) = (
            Instance::start("a", &platform),
            Instance::start("b", &platform),
        );
        let lose = |count| {
            platform.standin.set_faults(Faults {
                lose_answers: Some(count),
                ..Faults::default()
            });
        };
        lose(1);
        assert_eq!(a.claim("k").await, Ok(ClaimOutcome::Acquired));
        lose(1);
        a.claims.record(&call("k", "d"), answer("placed")).await;
        assert_eq!(
            b.claim("k").await,
            Ok(ClaimOutcome::Completed(answer("placed")))
        );
        assert_eq!(platform.standin.log().lost, 2);
    });
}

// The service closes the connection of every call for a while. A call that ran just before must be
// answered from memory, new keys must be refused as not run, and no key may be blocked afterwards.
#[test]
fn an_outage_blocks_no_key_after_it_ends() {
    smol::block_on(async {
        let platform = platform().await;
        let (a, b) = (
            Instance::start("a", &platform),
            Instance::start("b", &platform),
        );
        assert_eq!(a.claim("before").await, Ok(ClaimOutcome::Acquired));
        let down = |down| {
            platform.standin.set_faults(Faults {
                table_down: Some(down),
                ..Faults::default()
            });
        };
        down(true);
        a.claims.record(&call("before", "d"), answer("1")).await;
        let before = Ok(ClaimOutcome::Completed(answer("1")));
        assert_eq!(a.claim("before").await, before);
        for key in ["x", "y", "z"] {
            assert_eq!(a.claim(key).await, Err(ClaimError::StoreUnavailable));
            assert_eq!(b.claim(key).await, Err(ClaimError::StoreUnavailable));
        }
        assert!(!a.table.is_up());
        down(false);
        a.until_up().await;
        b.until_up().await;
        assert_eq!(b.claim("before").await, before);
        for key in ["x", "y", "z"] {
            assert_eq!(b.claim(key).await, Ok(ClaimOutcome::Acquired), "{key}");
        }
    });
}

// More keyed calls arrive than the service accepts. The excess calls must be refused as not run and
// leave no row; each of the others must be claimed once.
#[test]
fn calls_above_the_rate_are_refused_and_leave_no_claim() {
    smol::block_on(async {
        let platform = platform().await;
        let a = Instance::start("a", &platform);
        let start = |key: usize| {
            let claims = a.claims.clone();
            workers::spawn(async move {
                claims
                    .claim(&call(&key.to_string(), "d"), Duration::ZERO)
                    .await
            })
        };
        let mut acquired = 0;
        for task in (0..400).map(start).collect::<Vec<_>>() {
            match task.await {
                Ok(ClaimOutcome::Acquired) => acquired += 1,
                other => assert_eq!(other, Err(ClaimError::StoreUnavailable)),
            }
        }
        let rows = platform.standin.log().rows.len();
        assert_eq!(rows, acquired, "a refused claim was left behind");
        assert!(acquired > 0 && acquired < 400, "{acquired} claims");
    });
}
