//! What engines and plain services share: cold start, restarts, leaving, lagging load reports.

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

/// Time between two looks at restarts, reports and the listing.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two looks at whether a stall was called off.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Reports kept.
const RETAINED_REPORTS: usize = 1000;

/// Settings of a target's life.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LifecycleSettings {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub zone: String,
    /// Where the platform listens; the target keeps its own entry in the directory there.
    pub platform: Option<SocketAddr>,
    /// Number of its first life.
    pub incarnation: u64,
    /// Whether it starts warm.
    pub warm: bool,
    /// Concurrent requests it bears while cold.
    pub cold_limit: u32,
    /// Milliseconds after it turned cold without a word in which more than it bears is only
    /// counted as a surprise: nobody can know before the first sign of it.
    pub cold_grace_ms: u64,
    /// Finished requests after which it is warm.
    pub warm_after: u32,
    /// Milliseconds that it is away after it fell over.
    pub restart_ms: u64,
    /// Milliseconds by which its load report lags.
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

/// A load report.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Load {
    /// Which life.
    pub incarnation: u64,
    /// How old the report is.
    pub age_ms: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside.
    pub waiting: u32,
    /// Tokens of memory occupied.
    pub used: u64,
    /// Tokens of memory in all.
    pub capacity: u64,
    /// Preemptions so far.
    pub preemptions: u64,
    /// Whether it is warm.
    pub warm: bool,
}

/// What the log tells of a target's life.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct LifecycleLog {
    /// Which life.
    pub incarnation: u64,
    /// Whether it is warm.
    pub warm: bool,
    /// The most concurrent requests it saw while cold.
    #[serde(rename = "most_cold")]
    pub max_cold: u32,
    /// How often it had more than it bears while cold.
    pub overfills: u32,
    /// How often it had more within the time of grace after it turned cold.
    #[serde(rename = "surprises")]
    pub overfills_in_grace: u32,
}

/// The life of a target.
pub struct Lifecycle {
    /// Its clock.
    pub timer: Timer,
    /// Its settings.
    pub settings: LifecycleSettings,
    /// Its connections.
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

/// Whether a new request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It runs.
    Admitted,
    /// It is told that it did not run.
    Refused,
    /// It was too much: the target has fallen over.
    Crashed,
}

impl Lifecycle {
    /// Starts a life.
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

    /// Decides on a new request when `others` run or wait already.
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

    /// Whether the target is up in this life: what an earlier one began has no effect any more.
    #[must_use]
    pub fn is_up_as(&self, incarnation: u64) -> bool {
        let state = self.state.lock();
        state.restart_at.is_none() && state.log.incarnation == incarnation
    }

    /// Counts a finished request.
    pub fn record_finished(&self) {
        let mut state = self.state.lock();
        state.finished += 1;
        if state.finished >= self.settings.warm_after {
            state.log.warm = true;
        }
    }

    /// Factor on all times.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.state.lock().faults.slow.unwrap_or(1.0)
    }

    /// Waits while nothing moves. It looks again and again: what slept through a stall that was
    /// called off would hold up work of the target's next life as well.
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

    /// Whether this request is the next to go without an answer.
    pub fn take_unanswered(&self) -> bool {
        take_one(&mut self.state.lock().faults.never_answer)
    }

    /// The account of this life.
    #[must_use]
    pub fn log(&self) -> LifecycleLog {
        self.state.lock().log
    }

    /// Answers `/load`: the report of a lag ago.
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

    /// Sets faults; tells whether all work was dropped.
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

    /// Keeps the reports, the directory's entry and the way back from a fall up to date.
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
            let answer = control::post(&client, platform, "/control/register", &entry).await;
            // An empty answer means that it did not arrive.
            if !answer.is_empty() {
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
        load.incarnation = state.log.incarnation;
        load.warm = state.log.warm;
        state.reports.push_back((now, load));
        if state.reports.len() > RETAINED_REPORTS {
            state.reports.pop_front();
        }
        (state.restart_at.is_none(), state.leaving)
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
        // A stall was meant for this life, and nobody can call it off while the target is away.
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
