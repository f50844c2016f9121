//! Instances with claims over one table in memory.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use claims::{ClaimOutcome, Claims, KeyedCall, Liveness, RecordedAnswer, StoreClaims};
use parking_lot::Mutex;
use smol::Task;
use stores::MemoryTable;
use timer::Timer;
use types::{Incarnation, InstanceId};

/// Longest wait for anything that has to happen.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Instances that others take for gone.
#[derive(Default)]
pub struct Gone {
    lives: Mutex<HashSet<(InstanceId, Incarnation)>>,
}

impl Gone {
    pub fn add(&self, instance: &str, incarnation: Incarnation) {
        self.lives.lock().insert((instance.into(), incarnation));
    }
}

impl Liveness for Gone {
    fn has_ended(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let life = (Arc::clone(instance), incarnation);
        self.lives.lock().contains(&life)
    }
}

/// One table and those who use it.
#[derive(Default)]
pub struct Deployment {
    pub table: Arc<MemoryTable>,
    pub gone: Arc<Gone>,
}

/// One running instance.
pub struct Instance {
    pub claims: Arc<StoreClaims>,
    _run: Task<()>,
}

impl Deployment {
    pub fn start(&self, name: &str, incarnation: Incarnation) -> Instance {
        let table = self.table.clone();
        let gone = self.gone.clone();
        let claims = StoreClaims::new(name.into(), incarnation, table, gone, Timer::new());
        let run = workers::spawn(Arc::clone(&claims).run());
        Instance { claims, _run: run }
    }
}

impl Instance {
    pub async fn claim(&self, call: &KeyedCall) -> Result<ClaimOutcome, claims::ClaimError> {
        self.claims.claim(call, PATIENCE).await
    }

    /// Claims again while the table service is said to be down: it may take a while to settle.
    pub async fn claim_when_up(
        &self,
        call: &KeyedCall,
    ) -> Result<ClaimOutcome, claims::ClaimError> {
        let end = Instant::now() + PATIENCE;
        loop {
            let result = self.claim(call).await;
            if result != Err(claims::ClaimError::StoreUnavailable) || Instant::now() > end {
                return result;
            }
            Timer::new().sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Instance {
    /// Waits until the table service knows all that this instance has to tell it.
    pub async fn until_settled(&self) {
        let end = Instant::now() + PATIENCE;
        while !self.claims.dump()[0].contains(" 0 to be settled") {
            assert!(Instant::now() < end, "{:?}", self.claims.dump());
            Timer::new().sleep(Duration::from_millis(20)).await;
        }
    }
}

pub fn call(key: &str, digest: &str) -> KeyedCall {
    KeyedCall {
        workspace: "w".into(),
        key: key.into(),
        digest: digest.into(),
    }
}

pub fn answer(text: &str) -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        content_type: "text/plain".into(),
        body: text.into(),
        base64: false,
    }
}
