//! Care for the table service: a budget for each instance, and no calls while it is down.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use events::{Event, emit};
use parking_lot::Mutex;
use timer::Timer;
use types::Moment;

use crate::api::{PlatformError, Row, RowKey, Table, Write};

/// Failed calls without a success in between after which the table counts as down.
const FAILURES: u32 = 3;
/// Time until the first probe of a table that is down; it doubles.
const PROBE_FIRST: Duration = Duration::from_millis(100);
/// Longest time between two probes: with thousands of instances, more would be a load by itself
/// on a table that is just coming back.
const PROBE_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for the budget; a call that would wait longer is refused.
const BUDGET_WAIT: Duration = Duration::from_millis(250);

/// Unused budget that is kept for later.
const BURST: Duration = Duration::from_secs(1);
/// Least calls a second; a budget of nothing would stop all of them for good.
const LEAST_RATE: f64 = 0.001;

/// What one instance may ask of the table service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallBudget {
    /// Reads and lists a second.
    pub reads: f64,
    /// Rows written a second.
    pub writes: f64,
}

impl Default for CallBudget {
    /// An eighth of what the service bears, so that eight instances can't overrun it.
    fn default() -> Self {
        Self {
            reads: 250.0,
            writes: 50.0,
        }
    }
}

/// A table that spares the service behind it.
///
/// While the service is down, each call would wait for its time limit, and each commit whose
/// answer is lost would leave something to be settled. So after a few failures in a row calls are
/// refused at once, with certainty that they had no effect, and a probe finds out when the
/// service is back.
#[derive(Clone)]
pub struct PacedTable {
    shared: Arc<Shared>,
}

struct Shared {
    inner: Arc<dyn Table>,
    timer: Timer,
    reads: Mutex<Pace>,
    writes: Mutex<Pace>,
    health: Mutex<Health>,
}

/// Hands out times at a steady rate, with up to a second's worth at once.
struct Pace {
    rate: f64,
    /// When the budget is used up to, on the process's clock.
    used: Moment,
}

#[derive(Default)]
struct Health {
    failures: u32,
    down: bool,
}

impl Pace {
    const fn new(rate: f64) -> Self {
        Self {
            rate,
            used: Moment::ZERO,
        }
    }

    /// Takes a part of the budget; tells how long to wait, `None` if that is too long. A commit
    /// of many rows may overdraw the budget, or a small one would never let it pass; those after
    /// it wait until it is paid for.
    fn take(&mut self, now: Moment, count: usize) -> Option<Duration> {
        let start = self.used.max(now.saturating_sub(BURST));
        let wait = start.saturating_sub(now);
        if wait > BUDGET_WAIT {
            return None;
        }
        let cost = count as f64 / self.rate.max(LEAST_RATE);
        self.used = start + Duration::from_secs_f64(cost);
        Some(wait)
    }
}

impl PacedTable {
    /// Spares the service behind `inner`.
    #[must_use]
    pub fn new(inner: Arc<dyn Table>, budget: CallBudget, timer: Timer) -> Self {
        let shared = Shared {
            inner,
            timer,
            reads: Mutex::new(Pace::new(budget.reads)),
            writes: Mutex::new(Pace::new(budget.writes)),
            health: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Whether the table service answers, as far as is known.
    #[must_use]
    pub fn is_up(&self) -> bool {
        !self.shared.health.lock().down
    }

    /// Writes the state for a dump.
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
    async fn pace(&self, pace: &Mutex<Pace>, count: usize) -> Result<(), PlatformError> {
        if self.health.lock().down {
            return Err(PlatformError::Unavailable {
                reason: "the table service is down".into(),
            });
        }
        let wait = pace.lock().take(self.timer.now(), count);
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

    fn note<T>(self: &Arc<Self>, result: &Result<T, PlatformError>) {
        match result {
            // An answer that says no is an answer.
            Ok(_)
            | Err(
                PlatformError::Busy { .. }
                | PlatformError::Conflict
                | PlatformError::Malformed { .. },
            ) => {
                self.health.lock().failures = 0;
            }
            Err(PlatformError::Unavailable { reason } | PlatformError::Unknown { reason }) => {
                self.note_failure(reason);
            }
        }
    }

    fn note_failure(self: &Arc<Self>, reason: &Arc<str>) {
        {
            let mut health = self.health.lock();
            health.failures += 1;
            if health.down || health.failures < FAILURES {
                return;
            }
            health.down = true;
        }
        emit(&Event::TableDown {
            reason: Arc::clone(reason),
        });
        workers::spawn(Arc::clone(self).probe()).detach();
    }

    /// Reads a row until the service answers. A read, since a commit could take effect unseen.
    async fn probe(self: Arc<Self>) {
        let key = RowKey::new("probe", "probe");
        let mut pause = PROBE_FIRST;
        loop {
            // Instances must not fall into step.
            self.timer.sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            pause = (pause * 2).min(PROBE_LIMIT);
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
        self.shared.pace(&self.shared.reads, 1).await?;
        let result = self.shared.inner.read(key).await;
        self.shared.note(&result);
        result
    }

    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.shared.pace(&self.shared.reads, 1).await?;
        let result = self.shared.inner.list(partition, after, limit).await;
        self.shared.note(&result);
        result
    }

    async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError> {
        self.shared.pace(&self.shared.writes, writes.len()).await?;
        let result = self.shared.inner.commit(writes).await;
        self.shared.note(&result);
        result
    }
}
