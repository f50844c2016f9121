//! A plain service and a store of claims that follow scripts.

use std::{collections::VecDeque, time::Duration};

use async_trait::async_trait;
use claims::{ClaimError, ClaimOutcome, Claims, KeyedCall, RecordedAnswer};
use parking_lot::Mutex;
use targets::{PlainAnswer, PlainCall, PlainService, TargetError, TargetReport};
use types::Target;

/// Returns an answer with this body.
pub fn answer(body: &'static str) -> PlainAnswer {
    PlainAnswer {
        status: 200,
        headers: vec![
            ("content-type".into(), "text/plain".into()),
            ("set-cookie".into(), "a=1".into()),
            ("set-cookie".into(), "b=2".into()),
            ("keep-alive".into(), "5".into()),
        ],
        body: body.into(),
    }
}

#[derive(Default)]
pub struct FakePlain {
    pub script: Mutex<VecDeque<Result<PlainAnswer, TargetError>>>,
    pub calls: Mutex<Vec<PlainCall>>,
    /// Whether connections to all targets are refused, as at an instance that reaches none.
    pub is_cut_off: Mutex<bool>,
    /// Targets to which connections are refused.
    pub refusing: Mutex<Vec<&'static str>>,
}

impl FakePlain {
    pub fn script(&self, script: impl IntoIterator<Item = Result<PlainAnswer, TargetError>>) {
        *self.script.lock() = script.into_iter().collect();
    }

    pub fn call_count(&self) -> usize {
        self.calls.lock().len()
    }
}

#[async_trait]
impl PlainService for FakePlain {
    async fn call(
        &self,
        _: &Target,
        call: &PlainCall,
        _: Duration,
    ) -> Result<PlainAnswer, TargetError> {
        self.calls.lock().push(call.clone());
        let next = self.script.lock().pop_front();
        next.unwrap_or_else(|| Ok(answer("fine")))
    }

    async fn report(&self, target: &Target) -> Result<TargetReport, TargetError> {
        if *self.is_cut_off.lock() || self.refusing.lock().contains(&&*target.id) {
            return Err(TargetError::Unsent {
                reason: "refused".into(),
            });
        }
        Ok(TargetReport {
            incarnation: target.incarnation,
            ..TargetReport::default()
        })
    }
}

/// How a claim was settled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settlement {
    Recorded(RecordedAnswer),
    Released,
    Abandoned,
}

#[derive(Default)]
pub struct FakeClaims {
    pub script: Mutex<VecDeque<Result<ClaimOutcome, ClaimError>>>,
    pub calls: Mutex<Vec<KeyedCall>>,
    pub settlements: Mutex<Vec<Settlement>>,
}

impl FakeClaims {
    pub fn script(&self, result: Result<ClaimOutcome, ClaimError>) {
        self.script.lock().push_back(result);
    }

    pub fn settlements(&self) -> Vec<Settlement> {
        self.settlements.lock().clone()
    }
}

#[async_trait]
impl Claims for FakeClaims {
    async fn claim(&self, call: &KeyedCall, _: Duration) -> Result<ClaimOutcome, ClaimError> {
        self.calls.lock().push(call.clone());
        let next = self.script.lock().pop_front();
        next.unwrap_or(Ok(ClaimOutcome::Acquired))
    }

    async fn record(&self, _: &KeyedCall, answer: RecordedAnswer) {
        self.settlements.lock().push(Settlement::Recorded(answer));
    }

    async fn release(&self, _: &KeyedCall) {
        self.settlements.lock().push(Settlement::Released);
    }

    async fn abandon(&self, _: &KeyedCall) {
        self.settlements.lock().push(Settlement::Abandoned);
    }

    fn dump(&self) -> Vec<String> {
        Vec::new()
    }
}
