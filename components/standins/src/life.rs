//! What engines and plain services share: cold start, restarts, leaving, lagging load reports.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use hyper::Response;
use net::{Body, Client, Reply};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use timer::Timer;

use crate::{
    control::{self, Listed},
    link::{Link, Links},
};

pub use crate::fault::{Act, Cut, Faults};

/// Time between two looks at restarts, reports and the listing.
const TICK: Duration = Duration::from_millis(20);
/// Time between two looks at whether a stall was called off.
const STALL_POLL: Duration = Duration::from_millis(10);
/// Reports kept.
const REPORTS_KEPT: usize = 1000;

/// Settings of a target's life.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LifeSettings {
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

impl Default for LifeSettings {
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
pub struct LifeLog {
    /// Which life.
    pub incarnation: u64,
    /// Whether it is warm.
    pub warm: bool,
    /// The most concurrent requests it saw while cold.
    pub most_cold: u32,
    /// How often it had more than it bears while cold.
    pub overfills: u32,
    /// How often it had more within the time of grace after it turned cold.
    pub surprises: u32,
}

/// The life of a target.
pub struct Life {
    /// Its clock.
    pub timer: Timer,
    /// Its settings.
    pub settings: LifeSettings,
    /// Its connections.
    pub links: Arc<Links>,
    state: Mutex<State>,
}

struct State {
    log: LifeLog,
    finished: u32,
    leaving: bool,
    back_at: Option<Duration>,
    turned_cold: Option<Duration>,
    stalled_until: Duration,
    faults: Faults,
    reports: VecDeque<(Duration, Load)>,
}

/// Whether a new request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entry {
    /// It runs.
    Runs,
    /// It is told that it did not run.
    Refused,
    /// It was too much: the target has fallen over.
    FellOver,
}

impl Life {
    /// Starts a life.
    #[must_use]
    pub fn new(settings: LifeSettings) -> Self {
        let log = LifeLog {
            incarnation: settings.incarnation,
            warm: settings.warm,
            ..LifeLog::default()
        };
        Self {
            timer: Timer::new(),
            settings,
            links: Arc::default(),
            state: Mutex::new(State {
                log,
                finished: 0,
                leaving: false,
                back_at: None,
                turned_cold: None,
                stalled_until: Duration::ZERO,
                faults: Faults::default(),
                reports: VecDeque::new(),
            }),
        }
    }

    /// Decides on a new request when `others` run or wait already.
    pub fn enter(&self, others: u32, link: &Link) -> Entry {
        let mut state = self.state.lock();
        if state.back_at.is_some() {
            return Entry::FellOver;
        }
        if state.leaving || take(&mut state.faults.not_run) {
            return Entry::Refused;
        }
        if let Some(bytes) = state.faults.cut_answer.as_mut().and_then(Cut::take) {
            link.cut_after(bytes);
        }
        if state.log.warm {
            return Entry::Runs;
        }
        if others < self.settings.cold_limit {
            state.log.most_cold = state.log.most_cold.max(others + 1);
            return Entry::Runs;
        }
        let grace = Duration::from_millis(self.settings.cold_grace_ms);
        let now = self.timer.now();
        if state.turned_cold.is_some_and(|at| now < at + grace) {
            state.log.surprises += 1;
            return Entry::Runs;
        }
        state.log.most_cold = state.log.most_cold.max(others + 1);
        state.log.overfills += 1;
        self.fall(&mut state);
        Entry::FellOver
    }

    /// Whether the target is up in this life: what an earlier one began has no effect any more.
    #[must_use]
    pub fn lives(&self, incarnation: u64) -> bool {
        let state = self.state.lock();
        state.back_at.is_none() && state.log.incarnation == incarnation
    }

    /// Counts a finished request.
    pub fn finished(&self) {
        let mut state = self.state.lock();
        state.finished += 1;
        if state.finished >= self.settings.warm_after {
            state.log.warm = true;
        }
    }

    /// Factor on all times.
    #[must_use]
    pub fn slow(&self) -> f64 {
        self.state.lock().faults.slow.unwrap_or(1.0)
    }

    /// Waits while nothing moves. It looks again and again: what slept through a stall that was
    /// called off would hold up work of the target's next life as well.
    pub async fn stall(&self) {
        loop {
            let until = self.state.lock().stalled_until;
            let left = until.saturating_sub(self.timer.now());
            if left.is_zero() {
                return;
            }
            self.timer.sleep(left.min(STALL_POLL)).await;
        }
    }

    /// Whether this request is the next to go without an answer.
    pub fn never_answers(&self) -> bool {
        take(&mut self.state.lock().faults.never_answer)
    }

    /// The account of this life.
    #[must_use]
    pub fn log(&self) -> LifeLog {
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
        let known = state.reports.iter().rev().find(|(time, _)| *time <= at);
        let (time, mut load) = known.or(state.reports.front()).copied().unwrap_or_default();
        load.age_ms = now.saturating_sub(time).as_millis() as u64;
        Reply::json(200, &load).done()
    }

    /// Sets faults; tells whether all work was dropped.
    pub fn set(&self, new: Faults) -> bool {
        let mut state = self.state.lock();
        state.faults.set(&new);
        if let Some(cut) = new.cut_reading {
            self.links.cut_reading(cut.bytes, cut.times as usize);
        }
        if let Some(ms) = new.stall_ms {
            state.stalled_until = self.timer.now() + Duration::from_millis(ms);
        }
        match new.act {
            Some(Act::Cold) => {
                state.turned_cold = Some(self.timer.now());
                state.log.warm = false;
                state.finished = 0;
            }
            Some(Act::Warm) => state.log.warm = true,
            Some(Act::Crash) => self.fall(&mut state),
            Some(Act::Leave) => state.leaving = true,
            Some(Act::Stay) => state.leaving = false,
            Some(Act::Silence) => self.links.silence_all(),
            Some(Act::Cut) => self.links.cut_all(),
            None => {}
        }
        new.act == Some(Act::Crash)
    }

    /// Keeps the reports, the directory's entry and the way back from a fall up to date.
    pub async fn run(self: Arc<Self>, addr: SocketAddr, sample: impl Fn() -> Load + Send) {
        let client = Client::new();
        let mut ticks = self.timer.every(TICK);
        let mut listed = None;
        loop {
            let now = ticks.next().await;
            let load = sample();
            let (up, leaving) = self.tick(now, load);
            let wanted = Some((self.log().incarnation, leaving));
            let Some(platform) = self.settings.platform.filter(|_| up && wanted != listed) else {
                continue;
            };
            let entry = self.entry(addr, leaving);
            let answer = control::post(&client, platform, "/control/register", &entry).await;
            // An empty answer means that it did not arrive.
            if !answer.is_empty() {
                listed = wanted;
            }
        }
    }

    fn tick(&self, now: Duration, mut load: Load) -> (bool, bool) {
        let mut state = self.state.lock();
        if state.back_at.is_some_and(|at| at <= now) {
            state.back_at = None;
            state.log.incarnation += 1;
            self.links.set_down(false);
        }
        load.incarnation = state.log.incarnation;
        load.warm = state.log.warm;
        state.reports.push_back((now, load));
        if state.reports.len() > REPORTS_KEPT {
            state.reports.pop_front();
        }
        (state.back_at.is_none(), state.leaving)
    }

    fn entry(&self, addr: SocketAddr, leaving: bool) -> Listed {
        Listed {
            name: self.settings.name.clone(),
            service: self.settings.service.clone(),
            zone: self.settings.zone.clone(),
            addr: addr.to_string(),
            incarnation: self.log().incarnation,
            leaving,
        }
    }

    fn fall(&self, state: &mut State) {
        // A stall was meant for this life, and nobody can call it off while the target is away.
        state.stalled_until = Duration::ZERO;
        state.log.warm = false;
        state.finished = 0;
        let away = Duration::from_millis(self.settings.restart_ms);
        state.back_at = Some(self.timer.now() + away);
        self.links.set_down(true);
    }
}

fn take(left: &mut Option<u32>) -> bool {
    let Some(n @ 1..) = *left else { return false };
    *left = Some(n - 1);
    true
}
