//! Protects the table service: limits each instance's call rate, and makes no calls during an
//! outage.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use events::{Event, emit};
use parking_lot::Mutex;
use timer::Timer;
use types::Moment;

use crate::api::{PlatformError, Row, RowKey, Table, Write};

/// Failed calls in a row after which the table service counts as down.
const FAILURES_UNTIL_DOWN: u32 = 3;
/// Time until the first probe of a table service that is down. It doubles with each probe.
const MIN_PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Longest time between two probes. More frequent ones of thousands of instances would burden a
/// service that is just recovering.
const MAX_PROBE_PERIOD: Duration = Duration::from_secs(5);
/// Longest time that a call waits for the budget. A call that would have to wait longer fails.
const MAX_BUDGET_WAIT: Duration = Duration::from_millis(250);

/// The unused budget of this time is available for a burst of calls.
const BURST: Duration = Duration::from_secs(1);
/// Lowest rate, in calls a second. With a rate of zero no call would ever be allowed.
const MIN_RATE: f64 = 0.001;

/// The call rates that one instance may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallBudget {
    /// Reads and lists per second.
    pub reads: f64,
    /// Written rows per second.
    pub writes: f64,
}

impl Default for CallBudget {
    /// An eighth of the service's capacity, so that eight instances can't overload it.
    fn default() -> Self {
        Self {
            reads: 250.0,
            writes: 50.0,
        }
    }
}

/// A table with a rate limit and a circuit breaker in front of the table service.
///
/// While the service is down, each call would wait for its timeout, and each commit whose answer is
/// lost would leave a write with an unknown outcome. So after `FAILURES_UNTIL_DOWN` failures in a
/// row calls fail at once, certainly without effect, and a probe detects when the service answers
/// again.
#[derive(Clone)]
pub struct PacedTable {
    shared: Arc<Shared>,
}

struct Shared {
    inner: Arc<dyn Table>,
    timer: Timer,
    reads: Mutex<RateLimiter>,
    writes: Mutex<RateLimiter>,
    health: Mutex<Health>,
}

/// Spaces calls at a steady rate and allows bursts of up to `BURST`.
struct RateLimiter {
    /// Calls or rows per second.
    rate: f64,
    /// Time on the process's clock up to which the budget is used up.
    used_until: Moment,
}

#[derive(Default)]
struct Health {
    failures: u32,
    down: bool,
}

impl RateLimiter {
    const fn new(rate: f64) -> Self {
        Self {
            rate,
            used_until: Moment::ZERO,
        }
    }

    /// Reserves budget for `count` calls or rows. Returns how long to wait, or `None` if that is
    /// longer than `MAX_BUDGET_WAIT`. A commit may use more than the available budget, since a
    /// commit of many rows would otherwise never fit into a small one; later calls wait for it.
    fn reserve(&mut self, now: Moment, count: usize) -> Option<Duration> {
        let start = self.used_until.max(now.saturating_sub(BURST));
        let wait = start.saturating_sub(now);
        if wait > MAX_BUDGET_WAIT {
            return None;
        }
        let cost = count as f64 / self.rate.max(MIN_RATE);
        self.used_until = start + Duration::from_secs_f64(cost);
        Some(wait)
    }
}

impl PacedTable {
    /// Protects the service behind `inner`.
    #[must_use]
    pub fn new(inner: Arc<dyn Table>, budget: CallBudget, timer: Timer) -> Self {
        let shared = Shared {
            inner,
            timer,
            reads: Mutex::new(RateLimiter::new(budget.reads)),
            writes: Mutex::new(RateLimiter::new(budget.writes)),
            health: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Whether the table service is up, judged by the latest calls.
    #[must_use]
    pub fn is_up(&self) -> bool {
        !self.shared.health.lock().down
    }

    /// Returns the state as lines for a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<String> {
        let (down, failures) = {
            let health = self.shared.health.lock();
            (health.down, health.failures)
        };
        vec![format!(
            "table service: down {down}, {failures} failures in a row"
        )]
    }
}

impl Shared {
    /// Waits until the budget allows the call. Fails if the service is down or the wait would be
    /// too long.
    async fn admit(&self, limiter: &Mutex<RateLimiter>, count: usize) -> Result<(), PlatformError> {
        if self.health.lock().down {
            return Err(PlatformError::Unavailable {
                reason: "the table service is down".into(),
            });
        }
        let wait = limiter.lock().reserve(self.timer.now(), count);
        match wait {
            None => Err(PlatformError::Busy {
                reason: "this instance's budget is used up".into(),
            }),
            Some(wait) if wait.is_zero() => Ok(()),
            Some(wait) => {
                self.timer.sleep(wait).await;
                Ok(())
            }
        }
    }

    fn record_result<T>(self: &Arc<Self>, result: &Result<T, PlatformError>) {
        match result {
            // These errors show that the service answers.
            Ok(_)
            | Err(
                PlatformError::Busy { .. }
                | PlatformError::Conflict
                | PlatformError::Malformed { .. },
            ) => {
                self.health.lock().failures = 0;
            }
            Err(PlatformError::Unavailable { reason } | PlatformError::Unknown { reason }) => {
                self.record_failure(reason);
            }
        }
    }

    fn record_failure(self: &Arc<Self>, reason: &Arc<str>) {
        {
            let mut health = self.health.lock();
            health.failures += 1;
            if health.down || health.failures < FAILURES_UNTIL_DOWN {
                return;
            }
            health.down = true;
        }
        emit(&Event::TableDown {
            reason: Arc::clone(reason),
        });
        workers::spawn(Arc::clone(self).probe()).detach();
    }

    /// Reads a row repeatedly until the service answers. It does not commit, because a commit could
    /// take effect although its answer is lost.
    async fn probe(self: Arc<Self>) {
        let key = RowKey::new("probe", "probe");
        let mut period = MIN_PROBE_PERIOD;
        loop {
            // The random factor keeps instances from probing at the same time.
            self.timer
                .sleep(period.mul_f64(0.5 + fastrand::f64()))
                .await;
            period = (period * 2).min(MAX_PROBE_PERIOD);
            if self.inner.read(&key).await.is_ok() {
                break;
            }
        }
        *self.health.lock() = Health::default();
        emit(&Event::TableUp);
    }
}

#[async_trait]
impl Table for PacedTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.shared.admit(&self.shared.reads, 1).await?;
        let result = self.shared.inner.read(key).await;
        self.shared.record_result(&result);
        result
    }

    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.shared.admit(&self.shared.reads, 1).await?;
        let result = self.shared.inner.list(partition, after, limit).await;
        self.shared.record_result(&result);
        result
    }

    async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError> {
        self.shared.admit(&self.shared.writes, writes.len()).await?;
        let result = self.shared.inner.commit(writes).await;
        self.shared.record_result(&result);
        result
    }
}
