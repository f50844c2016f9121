//! Instances with claims over one shared table in memory.

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
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Incarnations of instances that have ended as far as others know.
#[derive(Default)]
pub struct EndedInstances {
    incarnations: Mutex<HashSet<(InstanceId, Incarnation)>>,
}

impl EndedInstances {
    pub fn add(&self, instance: &str, incarnation: Incarnation) {
        self.incarnations
            .lock()
            .insert((instance.into(), incarnation));
    }
}

impl Liveness for EndedInstances {
    fn has_ended(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let incarnation = (Arc::clone(instance), incarnation);
        self.incarnations.lock().contains(&incarnation)
    }
}

/// A shared table and the liveness of its instances.
#[derive(Default)]
pub struct Deployment {
    pub table: Arc<MemoryTable>,
    pub ended: Arc<EndedInstances>,
}

/// One running instance.
pub struct Instance {
    pub claims: Arc<StoreClaims>,
    _run: Task<()>,
}

impl Deployment {
    pub fn start(&self, name: &str, incarnation: Incarnation) -> Instance {
        let table = self.table.clone();
        let ended = self.ended.clone();
        let claims = StoreClaims::new(name.into(), incarnation, table, ended, Timer::new());
        let run = workers::spawn(Arc::clone(&claims).run());
        Instance { claims, _run: run }
    }
}

impl Instance {
    pub async fn claim(&self, call: &KeyedCall) -> Result<ClaimOutcome, claims::ClaimError> {
        self.claims.claim(call, TIMEOUT).await
    }

    /// Claims again while the table service is reported as unavailable, since pending claims may
    /// take a while to finalize.
    pub async fn claim_when_up(
        &self,
        call: &KeyedCall,
    ) -> Result<ClaimOutcome, claims::ClaimError> {
        let end = Instant::now() + TIMEOUT;
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
    /// Waits until the table service has accepted all outcomes of this instance.
    pub async fn until_finalized(&self) {
        let end = Instant::now() + TIMEOUT;
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
