//! Lifecycle that engines and plain services share: cold start, crash and restart, draining, and
//! delayed load reports.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use hyper::Response;
use net::{Body, Client, Reply};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use timer::Timer;

use crate::{
    connection::{Connection, Connections},
    control::{self, DirectoryEntry},
};

pub use crate::fault::{Cut, FaultAction, Faults};

/// Interval of load samples and of checks for a due restart or a changed directory entry.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a stalled request checks whether the stall has ended early.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of load reports retained.
const RETAINED_REPORTS: usize = 1000;

/// Settings of a target's lifecycle.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LifecycleSettings {
    /// Name of the target.
    pub name: String,
    /// Service that the target belongs to.
    pub service: String,
    /// Data centre that the target runs in.
    pub zone: String,
    /// Address of the platform, in whose directory the target registers itself; `None` if it
    /// doesn't register.
    pub platform: Option<SocketAddr>,
    /// Number of the first incarnation.
    pub incarnation: u64,
    /// Whether the target starts warm.
    pub warm: bool,
    /// Concurrent requests that a cold target handles; one more crashes it.
    pub cold_limit: u32,
    /// Milliseconds after the target turned cold without notice during which a request over the
    /// limit is only counted: callers can't know before they see the first sign of it.
    pub cold_grace_ms: u64,
    /// Finished requests after which the target is warm.
    pub warm_after: u32,
    /// Milliseconds that a restart after a crash takes.
    pub restart_ms: u64,
    /// Age of the load reports in milliseconds.
    pub load_lag_ms: u64,
}

impl Default for LifecycleSettings {
    fn default() -> Self {
        Self {
            name: "target".to_owned(),
            service: "service".to_owned(),
            zone: "zone".to_owned(),
            platform: None,
            incarnation: 1,
            warm: false,
            cold_limit: 2,
            cold_grace_ms: 0,
            warm_after: 8,
            restart_ms: 2000,
            load_lag_ms: 500,
        }
    }
}

/// A load report, as `/load` returns it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Load {
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Running requests.
    pub running: u32,
    /// Requests queued in the target.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub used: u64,
    /// Memory in total, in tokens.
    pub capacity: u64,
    /// Preemptions since the stand-in started.
    pub preemptions: u64,
    /// Whether the target is warm.
    pub warm: bool,
}

/// Lifecycle part of a target's log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct LifecycleLog {
    /// Incarnation of the target.
    pub incarnation: u64,
    /// Whether the target is warm.
    pub warm: bool,
    /// Highest number of concurrent requests while cold, without those counted in the grace period.
    #[serde(rename = "most_cold")]
    pub max_cold: u32,
    /// Number of requests over the cold limit that crashed the target.
    pub overfills: u32,
    /// Number of requests over the cold limit within the grace period after it turned cold.
    #[serde(rename = "surprises")]
    pub overfills_in_grace: u32,
}

/// Lifecycle state of a target across its incarnations.
pub struct Lifecycle {
    /// Clock of the target.
    pub timer: Timer,
    /// Settings of the lifecycle.
    pub settings: LifecycleSettings,
    /// Connections of the target.
    pub connections: Arc<Connections>,
    state: Mutex<State>,
}

struct State {
    log: LifecycleLog,
    finished: u32,
    leaving: bool,
    restart_at: Option<Duration>,
    turned_cold_at: Option<Duration>,
    stalled_until: Duration,
    faults: Faults,
    reports: VecDeque<(Duration, Load)>,
}

/// Decision on a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request runs.
    Admitted,
    /// The request is refused as not run.
    Refused,
    /// The target is down, or this request exceeded the cold limit and crashed it.
    Crashed,
}

impl Lifecycle {
    /// Creates the lifecycle in its first incarnation.
    #[must_use]
    pub fn new(settings: LifecycleSettings) -> Self {
        let log = LifecycleLog {
            incarnation: settings.incarnation,
            warm: settings.warm,
            ..LifecycleLog::default()
        };
        Self {
            timer: Timer::new(),
            settings,
            connections: Arc::default(),
            state: Mutex::new(State {
                log,
                finished: 0,
                leaving: false,
                restart_at: None,
                turned_cold_at: None,
                stalled_until: Duration::ZERO,
                faults: Faults::default(),
                reports: VecDeque::new(),
            }),
        }
    }

    /// Decides on a new request while `others` run or wait already. Applies the fault `cut_answer`
    /// to its connection if one is pending.
    pub fn admit(&self, others: u32, connection: &Connection) -> Admission {
        let mut state = self.state.lock();
        if state.restart_at.is_some() {
            return Admission::Crashed;
        }
        if state.leaving || take_one(&mut state.faults.not_run) {
            return Admission::Refused;
        }
        if let Some(bytes) = state.faults.cut_answer.as_mut().and_then(Cut::take) {
            connection.close_after(bytes);
        }
        if state.log.warm {
            return Admission::Admitted;
        }
        if others < self.settings.cold_limit {
            state.log.max_cold = state.log.max_cold.max(others + 1);
            return Admission::Admitted;
        }
        let grace = Duration::from_millis(self.settings.cold_grace_ms);
        let now = self.timer.now();
        if state.turned_cold_at.is_some_and(|at| now < at + grace) {
            state.log.overfills_in_grace += 1;
            return Admission::Admitted;
        }
        state.log.max_cold = state.log.max_cold.max(others + 1);
        state.log.overfills += 1;
        self.crash(&mut state);
        Admission::Crashed
    }

    /// Whether the target is up and still in this incarnation. Work that an earlier incarnation
    /// began must have no effect.
    #[must_use]
    pub fn is_up_as(&self, incarnation: u64) -> bool {
        let state = self.state.lock();
        state.restart_at.is_none() && state.log.incarnation == incarnation
    }

    /// Counts a finished request; enough of them make the target warm.
    pub fn record_finished(&self) {
        let mut state = self.state.lock();
        state.finished += 1;
        if state.finished >= self.settings.warm_after {
            state.log.warm = true;
        }
    }

    /// Factor by which all processing times are multiplied.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.state.lock().faults.slow.unwrap_or(1.0)
    }

    /// Waits until no stall is in effect. Polls instead of sleeping to the end of the stall: a
    /// stall can be ended early, and a longer sleep would then delay work of the next incarnation
    /// as well.
    pub async fn wait_for_stall_end(&self) {
        loop {
            let until = self.state.lock().stalled_until;
            let remaining = until.saturating_sub(self.timer.now());
            if remaining.is_zero() {
                return;
            }
            self.timer.sleep(remaining.min(STALL_POLL_INTERVAL)).await;
        }
    }

    /// Whether this request must go unanswered; uses up one such fault.
    pub fn take_unanswered(&self) -> bool {
        take_one(&mut self.state.lock().faults.never_answer)
    }

    /// The log of the lifecycle so far.
    #[must_use]
    pub fn log(&self) -> LifecycleLog {
        self.state.lock().log
    }

    /// Answers `/load` with the newest report that is at least as old as the configured lag, or
    /// with the oldest one if there is none.
    #[must_use]
    pub fn load(&self) -> Response<Body> {
        let state = self.state.lock();
        let now = self.timer.now();
        let lag = state
            .faults
            .load_lag_ms
            .unwrap_or(self.settings.load_lag_ms);
        let at = now.saturating_sub(Duration::from_millis(lag));
        let report = state.reports.iter().rev().find(|(time, _)| *time <= at);
        let (time, mut load) = report
            .or(state.reports.front())
            .copied()
            .unwrap_or_default();
        load.age_ms = now.saturating_sub(time).as_millis() as u64;
        Reply::json(200, &load).done()
    }

    /// Injects faults. Returns whether the target crashed, so that the caller must drop all work.
    pub fn set_faults(&self, new: Faults) -> bool {
        let mut state = self.state.lock();
        state.faults.update(&new);
        if let Some(cut) = new.cut_reading {
            self.connections.cut_reading(cut.bytes, cut.times as usize);
        }
        if let Some(ms) = new.stall_ms {
            state.stalled_until = self.timer.now() + Duration::from_millis(ms);
        }
        match new.action {
            Some(FaultAction::Cold) => {
                state.turned_cold_at = Some(self.timer.now());
                state.log.warm = false;
                state.finished = 0;
            }
            Some(FaultAction::Warm) => state.log.warm = true,
            Some(FaultAction::Crash) => self.crash(&mut state),
            Some(FaultAction::Leave) => state.leaving = true,
            Some(FaultAction::Stay) => state.leaving = false,
            Some(FaultAction::Silence) => self.connections.silence_all(),
            Some(FaultAction::Cut) => self.connections.close_all(),
            None => {}
        }
        new.action == Some(FaultAction::Crash)
    }

    /// Background task: samples the load, restarts the target after a crash and keeps its directory
    /// entry up to date. Does not return.
    pub async fn run(self: Arc<Self>, addr: SocketAddr, sample: impl Fn() -> Load + Send) {
        let client = Client::new();
        let mut ticks = self.timer.every(TICK_INTERVAL);
        let mut listed = None;
        loop {
            let now = ticks.next().await;
            let load = sample();
            let (up, leaving) = self.tick(now, load);
            let current = Some((self.log().incarnation, leaving));
            let Some(platform) = self.settings.platform.filter(|_| up && current != listed) else {
                continue;
            };
            let entry = self.directory_entry(addr, leaving);
            let response = control::post(&client, platform, "/control/register", &entry).await;
            // An empty response means that the registration failed; the next tick retries.
            if !response.is_empty() {
                listed = current;
            }
        }
    }

    fn tick(&self, now: Duration, mut load: Load) -> (bool, bool) {
        let mut state = self.state.lock();
        if state.restart_at.is_some_and(|at| at <= now) {
            state.restart_at = None;
            state.log.incarnation += 1;
            self.connections.set_down(false);
        }
        let up = state.restart_at.is_none();
        // A target that is down makes no reports: one would show that the incarnation still runs.
        if up {
            load.incarnation = state.log.incarnation;
            load.warm = state.log.warm;
            state.reports.push_back((now, load));
            if state.reports.len() > RETAINED_REPORTS {
                state.reports.pop_front();
            }
        }
        (up, state.leaving)
    }

    fn directory_entry(&self, addr: SocketAddr, leaving: bool) -> DirectoryEntry {
        DirectoryEntry {
            name: self.settings.name.clone(),
            service: self.settings.service.clone(),
            zone: self.settings.zone.clone(),
            addr: addr.to_string(),
            incarnation: self.log().incarnation,
            leaving,
        }
    }

    fn crash(&self, state: &mut State) {
        // A stall applies to one incarnation only, and can't be ended while the target is down.
        state.stalled_until = Duration::ZERO;
        state.log.warm = false;
        state.finished = 0;
        let downtime = Duration::from_millis(self.settings.restart_ms);
        state.restart_at = Some(self.timer.now() + downtime);
        self.connections.set_down(true);
    }
}

fn take_one(remaining: &mut Option<u32>) -> bool {
    let Some(n @ 1..) = *remaining else {
        return false;
    };
    *remaining = Some(n - 1);
    true
}
