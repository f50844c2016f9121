//! A simulation of instances that follow one topic of a store, at the store or at each other.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;

use fastrand::Rng;
use front::store::{
    fanout::Ranking,
    sources::{CallLimits, Confirmation, Hold, STORE_WAIT, Source, SourceFailure, SourceSelector},
    timeouts::{FOLLOW_MARGIN, outage_timeout},
};
use types::{InstanceId, millis};

/// Data centres over which the instances are spread.
pub const DATA_CENTRES: usize = 5;

/// The id of the instance of a number.
pub fn name(number: usize) -> InstanceId {
    format!("i-{number}").into()
}

/// The ranking of the instances that are responsive, as seen by the instance of this number. Lower
/// numbers rank first, and consecutive numbers are in different data centres.
pub fn ranking(me: usize, count: usize, is_responsive: impl Fn(usize) -> bool) -> Ranking {
    let is_included = |number: &usize| *number == me || is_responsive(*number);
    let is_near = |number: &usize| number % DATA_CENTRES == me % DATA_CENTRES;
    Ranking {
        all: (0..count).filter(is_included).map(name).collect(),
        same_data_centre: (0..count)
            .filter(is_included)
            .filter(is_near)
            .map(name)
            .collect(),
    }
}

/// The number of an instance.
pub fn number(id: &InstanceId) -> usize {
    id[2..].parse().expect("a number")
}

/// Time step of the simulation. All times are in milliseconds.
pub const STEP: u64 = 10;
/// State older than this is passed on as stale.
const MAX_PEER_STATE_AGE: u64 = 1_500;
/// Mean pause after a failed round: the first, and the longest.
const BASE_RETRY_PAUSE: u64 = 60;
const MAX_RETRY_PAUSE: u64 = 600;
/// Time for which a peer that did not answer is skipped.
const SUSPECT_TIME: u64 = 1_500;

#[derive(Clone, Debug)]
enum Activity {
    /// Pauses until this time.
    Pausing(u64),
    /// Has called a source.
    Calling(Call),
    /// Has got the answer of a source, which arrives at this time.
    Receiving(u64, Call, Known),
}

#[derive(Clone, Debug)]
struct Call {
    source: Source,
    sent: u64,
    limits: CallLimits,
    /// How long the source has held it, once it has answered.
    held: u64,
}

/// What an instance knows of the topic.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// When the last read that confirmed it was sent.
    read_at: u64,
    /// Up to when it has the changes of the store.
    changes_until: u64,
}

/// What is wrong with an instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Illness {
    /// Nothing.
    #[default]
    None,
    /// It does not run, and answers nothing.
    Frozen,
    /// It runs, but none of its messages reach another instance.
    Mute,
    /// It gets no answer from the store.
    Lost,
    /// The store refuses it.
    Refused,
    /// Each of its answers, and each answer of the store to it, takes this long.
    Slow(u64),
}

struct Instance {
    sources: SourceSelector,
    activity: Activity,
    known: Known,
    /// When its state was confirmed last.
    confirmed_at: u64,
    /// Whether it has no source.
    source_lost: bool,
    /// Peers that did not answer, and until when they are skipped.
    suspects: Vec<(usize, u64)>,
}

/// Instances that follow a store.
pub struct Simulation {
    instances: Vec<Instance>,
    /// The time since the start.
    pub now: u64,
    /// The source of random numbers.
    pub rng: Rng,
    /// What is wrong with each instance.
    pub illnesses: Vec<Illness>,
    /// Instances that know only the store's state before its return from a copy. Those that know the later one
    /// can't use it.
    pub behind: Vec<usize>,
    /// When the store accepted its last change.
    pub changed_at: u64,
    /// Calls to the store by instance.
    pub store_calls: Vec<usize>,
}

impl Simulation {
    /// Instances that start within a short time.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let instances = (0..count)
            .map(|_| Instance {
                sources: SourceSelector::new(rng.fork()),
                activity: Activity::Pausing(rng.u64(0..300)),
                known: Known::default(),
                confirmed_at: 0,
                source_lost: false,
                suspects: Vec::new(),
            })
            .collect();
        Self {
            instances,
            now: 0,
            rng,
            illnesses: vec![Illness::None; count],
            behind: Vec::new(),
            changed_at: 0,
            store_calls: vec![0; count],
        }
    }

    /// Sets what is wrong with some instances.
    pub fn set_illness(&mut self, instances: impl IntoIterator<Item = usize>, illness: Illness) {
        for number in instances {
            self.illnesses[number] = illness;
        }
    }

    /// Simulates some time. Returns the greatest age of any state, and the instance.
    pub fn run(&mut self, for_ms: u64) -> (u64, usize) {
        let until = self.now + for_ms;
        let mut oldest = (0, 0);
        while self.now < until {
            self.now += STEP;
            for me in 0..self.instances.len() {
                if self.illnesses[me] != Illness::Frozen {
                    self.step(me);
                    oldest = oldest.max((self.now - self.instances[me].known.read_at, me));
                }
            }
        }
        oldest
    }

    /// The sound instances that do not have the last change.
    pub fn without_change(&self) -> Vec<usize> {
        let lacks = |me: &usize| {
            self.illnesses[*me] == Illness::None
                && self.instances[*me].known.changes_until < self.changed_at
        };
        (0..self.instances.len()).filter(lacks).collect()
    }

    fn step(&mut self, me: usize) {
        match self.instances[me].activity.clone() {
            Activity::Pausing(until) if until <= self.now => self.call(me),
            Activity::Pausing(_) => {}
            Activity::Receiving(at, call, known) if at <= self.now => {
                self.receive(me, &call, known);
            }
            Activity::Receiving(..) => {}
            Activity::Calling(call) => match call.source.clone() {
                Source::Store => self.poll_store(me, &call),
                Source::Peer(id) => self.poll_peer(me, number(&id), &call),
            },
        }
    }

    fn call(&mut self, me: usize) {
        let now = self.now;
        self.instances[me]
            .suspects
            .retain(|(_, until)| *until > now);
        let suspects = &self.instances[me].suspects;
        let is_responsive = |n: usize| suspects.iter().all(|(suspect, _)| *suspect != n);
        let ranking = ranking(me, self.instances.len(), is_responsive);
        let moment = Duration::from_millis(now);
        let sources = &mut self.instances[me].sources;
        let source = sources.next(moment, &name(me), &ranking);
        let limits = sources.call_limits(moment);
        self.store_calls[me] += usize::from(source == Source::Store);
        self.instances[me].activity = Activity::Calling(Call {
            source,
            sent: now,
            limits,
            held: 0,
        });
    }

    fn poll_store(&mut self, me: usize, call: &Call) {
        let instance = &self.instances[me];
        let state_age = Duration::from_millis(call.sent - instance.known.read_at);
        let is_immediate = instance.sources.needs_immediate_answer(Some(state_age));
        let (wait, timeout) = if is_immediate {
            (0, outage_timeout(instance.sources.store_failures()))
        } else {
            (millis(STORE_WAIT), STORE_WAIT + FOLLOW_MARGIN)
        };
        let waited = self.now - call.sent;
        match self.illnesses[me] {
            Illness::Refused => {
                return self.fail(me, &Source::Store, SourceFailure::NoAnswer);
            }
            Illness::Lost if waited >= millis(timeout) => {
                return self.fail(me, &Source::Store, SourceFailure::NoAnswer);
            }
            Illness::Lost => return,
            _ => {}
        }
        let has_change = instance.known.changes_until < self.changed_at;
        if waited >= wait || has_change {
            let known = Known {
                read_at: call.sent,
                changes_until: self.now,
            };
            let at = self.now + self.delay_of(me);
            self.instances[me].activity = Activity::Receiving(at, call.clone(), known);
        }
    }

    fn poll_peer(&mut self, me: usize, peer: usize, call: &Call) {
        let waited = self.now - call.sent;
        if waited >= millis(call.limits.timeout) {
            self.instances[me]
                .suspects
                .push((peer, self.now + SUSPECT_TIME));
            return self.fail(me, &call.source, SourceFailure::NoAnswer);
        }
        if matches!(self.illnesses[peer], Illness::Frozen | Illness::Mute)
            || self.illnesses[me] == Illness::Mute
        {
            return;
        }
        if self.behind.contains(&peer) && !self.behind.contains(&me) {
            return self.fail(me, &call.source, SourceFailure::NoAnswer);
        }
        let other = &self.instances[peer];
        // An instance without a source answers at once.
        let is_unchanged = other.confirmed_at <= call.sent && !other.source_lost;
        let has_change = other.known.changes_until >= self.changed_at
            && self.instances[me].known.changes_until < self.changed_at;
        let age = call.sent.saturating_sub(other.known.read_at);
        let may_wait = age < MAX_PEER_STATE_AGE && waited < millis(call.limits.wait);
        if is_unchanged && !has_change && may_wait {
            return;
        }
        let at = self.now + self.delay_of(peer);
        if at >= call.sent + millis(call.limits.timeout) {
            return;
        }
        let held = if waited < millis(call.limits.wait) {
            // A call takes one step to arrive.
            waited.saturating_sub(STEP)
        } else {
            millis(call.limits.wait)
        };
        let answered = Call {
            held,
            ..call.clone()
        };
        self.instances[me].activity = Activity::Receiving(at, answered, other.known);
    }

    fn delay_of(&self, number: usize) -> u64 {
        match self.illnesses[number] {
            Illness::Slow(delay) => delay,
            _ => 0,
        }
    }

    fn receive(&mut self, me: usize, call: &Call, known: Known) {
        let source = &call.source;
        let is_fresh = self.now - known.read_at < MAX_PEER_STATE_AGE;
        let is_newer = known.read_at > self.instances[me].known.read_at;
        let instance = &mut self.instances[me];
        instance.known.read_at = instance.known.read_at.max(known.read_at);
        instance.known.changes_until = instance.known.changes_until.max(known.changes_until);
        if *source == Source::Store {
            instance.sources.record_store_answer();
        }
        if *source == Source::Store || (is_fresh && is_newer) {
            self.confirm(me, call, known.read_at);
        } else {
            self.fail(me, source, SourceFailure::Stale);
        }
    }

    fn confirm(&mut self, me: usize, call: &Call, read_at: u64) {
        let now = self.now;
        let instance = &mut self.instances[me];
        instance.confirmed_at = now;
        let [now, held, read_at] = [now, call.held, read_at].map(Duration::from_millis);
        let confirmation = Confirmation {
            read_at,
            hold: (call.source != Source::Store).then_some(Hold {
                time: held,
                limit: call.limits.wait,
            }),
        };
        instance.sources.record_success(now, &confirmation);
        instance.source_lost = instance.sources.has_no_source();
        instance.activity = Activity::Pausing(self.now);
    }

    fn fail(&mut self, me: usize, source: &Source, failure: SourceFailure) {
        let instance = &mut self.instances[me];
        let failed_rounds = instance.sources.failed_rounds();
        let is_round_over = instance.sources.record_failure(source, failure);
        instance.source_lost = instance.sources.has_no_source();
        let pause = if is_round_over {
            let pause = (BASE_RETRY_PAUSE << failed_rounds.min(4)).min(MAX_RETRY_PAUSE);
            let pause = Duration::from_millis(self.rng.u64(pause / 2..pause * 3 / 2));
            let now = Duration::from_millis(self.now);
            millis(instance.sources.cut_pause(now, pause))
        } else {
            0
        };
        instance.activity = Activity::Pausing(self.now + pause);
    }
}
