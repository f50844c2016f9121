//! The tree through which the store's news spreads: who follows whom, what crosses borders, and how
//! old knowledge gets while instances fall silent or lose the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use fastrand::Rng;
use front::store::{
    fanout::{Ranking, Role, TreePosition, position},
    sources::{Source, SourceFailure, SourceSelector},
};
use proptest::prelude::*;
use types::InstanceId;

const DATA_CENTRES: usize = 5;

fn name(number: usize) -> InstanceId {
    format!("i-{number}").into()
}

/// What the instance of this number sees of those that `answer`; the lower number ranks first, and
/// data centres take turns.
fn ranking(me: usize, count: usize, answer: impl Fn(usize) -> bool) -> Ranking {
    let fits = |number: &usize| *number == me || answer(*number);
    let here = |number: &usize| number % DATA_CENTRES == me % DATA_CENTRES;
    Ranking {
        all: (0..count).filter(fits).map(name).collect(),
        same_data_centre: (0..count).filter(fits).filter(here).map(name).collect(),
    }
}

fn places(count: usize) -> Vec<TreePosition> {
    let of = |me| position(&name(me), &ranking(me, count, |_| true), me % 2 == 0);
    (0..count).map(of).collect()
}

fn number(id: &InstanceId) -> usize {
    id[2..].parse().expect("a number")
}

/// Told by two readers to each of hundreds, every change crossed the border of a data centre once
/// for each instance behind it.
#[test]
fn news_cross_the_border_of_a_data_centre_once_for_each_relay() {
    let places = places(195);
    let crossing = |(me, place): (usize, &TreePosition)| {
        let first = number(place.upstream.first().expect("somebody to follow"));
        place.role != Role::Reader && first % DATA_CENTRES != me % DATA_CENTRES
    };
    let crossings = (0..).zip(&places).filter(|pair| crossing(*pair)).count();
    assert!(crossings <= 2 * DATA_CENTRES, "{crossings}");
}

#[test]
fn no_instance_is_followed_by_more_than_half_of_a_data_centre_and_the_relays() {
    let mut followers: BTreeMap<usize, usize> = BTreeMap::new();
    for place in places(195)
        .iter()
        .filter(|place| place.role != Role::Reader)
    {
        *followers.entry(number(&place.upstream[0])).or_default() += 1;
    }
    let most = followers.values().max().expect("followers");
    assert!(*most <= 195 / DATA_CENTRES / 2 + 2 + DATA_CENTRES, "{most}");
}

#[test]
fn the_two_relays_of_a_data_centre_follow_different_readers() {
    let places = places(195);
    // Numbers 2 and 7 are the first two of a data centre without a reader.
    assert_eq!(places[2].role, Role::Relay);
    assert_eq!(places[7].role, Role::Relay);
    assert_ne!(places[2].upstream[0], places[7].upstream[0]);
}

#[test]
fn in_small_data_centres_all_follow_the_readers() {
    for (me, place) in places(9).iter().enumerate() {
        let expected = if me < 2 { Role::Reader } else { Role::Leaf };
        assert_eq!(place.role, expected);
        assert!(place.upstream.iter().all(|id| number(id) < 2));
    }
}

/// Milliseconds of a step of the model.
const STEP: u64 = 10;
/// How long a call to the store is kept while nothing changes.
const STORE_WAIT: u64 = 800;
/// How long a question to a peer is kept, and how long its answer is waited for.
const PEER_WAIT: u64 = 1_160;
const PEER_PATIENCE: u64 = 1_410;
/// Knowledge older than this is passed on as stale.
const MAX_PEER_STATE_AGE: u64 = 1_500;
/// Pauses after a round of failures: the first, and the longest.
const PAUSE: u64 = 60;
const PAUSE_MOST: u64 = 600;
/// The part of a revoked key's life of five seconds in which knowledge counts as fresh.
const FRESH: u64 = 4_600;

#[derive(Clone, Debug)]
enum Doing {
    /// It asks once this time has come.
    Pausing(u64),
    /// It has asked a source at a time.
    Asking(Source, u64),
}

struct Instance {
    sources: SourceSelector,
    doing: Doing,
    /// When the read was sent that confirmed what it knows.
    read: u64,
    /// When it was confirmed last.
    confirmed: u64,
    /// It has no source at present and says so to those that follow it.
    lost: bool,
    /// Peers that did not answer; it leaves them out.
    suspects: BTreeSet<usize>,
}

/// Instances that follow the store, in steps of time, without changes.
struct Model {
    all: Vec<Instance>,
    now: u64,
    rng: Rng,
    /// Answers nothing, for ever.
    silent: Vec<usize>,
    /// The store refuses these.
    refused: Vec<usize>,
}

impl Model {
    fn new(count: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let all = (0..count)
            .map(|_| Instance {
                sources: SourceSelector::new(rng.fork()),
                doing: Doing::Pausing(rng.u64(0..300)),
                read: 0,
                confirmed: 0,
                lost: false,
                suspects: BTreeSet::new(),
            })
            .collect();
        Self {
            all,
            now: 0,
            rng,
            silent: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Goes on for a time; tells how old the oldest knowledge was, and whose it was.
    fn run(&mut self, for_ms: u64) -> (u64, usize) {
        let until = self.now + for_ms;
        let mut oldest = (0, 0);
        while self.now < until {
            self.now += STEP;
            for me in 0..self.all.len() {
                if !self.silent.contains(&me) {
                    self.step(me);
                    oldest = oldest.max((self.now - self.all[me].read, me));
                }
            }
        }
        oldest
    }

    fn step(&mut self, me: usize) {
        match self.all[me].doing.clone() {
            Doing::Pausing(until) if until <= self.now => self.ask(me),
            Doing::Pausing(_) => {}
            Doing::Asking(Source::Store, sent) => self.at_store(me, sent),
            Doing::Asking(Source::Peer(id), sent) => self.at_peer(me, number(&id), sent),
        }
    }

    fn ask(&mut self, me: usize) {
        let now = self.now;
        let suspects = &self.all[me].suspects;
        let answers = |n: usize| !suspects.contains(&n);
        let ranking = ranking(me, self.all.len(), answers);
        let moment = Duration::from_millis(now);
        let source = self.all[me].sources.next(moment, &name(me), &ranking);
        self.all[me].doing = Doing::Asking(source, now);
    }

    fn at_store(&mut self, me: usize, sent: u64) {
        if self.refused.contains(&me) {
            return self.fail(me, &Source::Store, SourceFailure::NoAnswer);
        }
        if self.all[me].sources.needs_immediate_answer() || self.now - sent >= STORE_WAIT {
            self.all[me].sources.record_store_answer();
            self.confirm(me, sent);
        }
    }

    fn at_peer(&mut self, me: usize, peer: usize, sent: u64) {
        let source = Source::Peer(name(peer));
        if self.silent.contains(&peer) {
            if self.now - sent >= PEER_PATIENCE {
                self.all[me].suspects.insert(peer);
                self.fail(me, &source, SourceFailure::NoAnswer);
            }
            return;
        }
        let (read, confirmed) = (self.all[peer].read, self.all[peer].confirmed);
        // One that has lost the store itself lets nobody wait.
        let unchanged = confirmed <= sent && !self.all[peer].lost;
        if unchanged && sent - read < MAX_PEER_STATE_AGE && self.now - sent < PEER_WAIT {
            return;
        }
        let is_fresh = self.now - read < MAX_PEER_STATE_AGE;
        if is_fresh && read > self.all[me].read {
            self.confirm(me, read);
        } else {
            self.all[me].read = self.all[me].read.max(read);
            self.fail(me, &source, SourceFailure::Stale);
        }
    }

    fn confirm(&mut self, me: usize, read: u64) {
        let now = self.now;
        let instance = &mut self.all[me];
        instance.read = instance.read.max(read);
        instance.confirmed = now;
        instance.sources.record_success();
        instance.lost = instance.sources.has_no_source();
        instance.doing = Doing::Pausing(now);
    }

    fn fail(&mut self, me: usize, source: &Source, how: SourceFailure) {
        let instance = &mut self.all[me];
        let rounds = instance.sources.failed_rounds();
        let round_over = instance.sources.record_failure(source, how);
        instance.lost = instance.sources.has_no_source();
        let pause = if round_over {
            let pause = (PAUSE << rounds.min(4)).min(PAUSE_MOST);
            self.rng.u64(pause / 2..pause * 3 / 2)
        } else {
            0
        };
        instance.doing = Doing::Pausing(self.now + pause);
    }
}

#[test]
fn while_nothing_fails_a_level_adds_no_wait() {
    let mut model = Model::new(195, 1);
    model.run(5_000);
    let oldest = model.run(10_000);
    assert!(oldest.0 <= 2 * STORE_WAIT + 10 * STEP, "{oldest:?}");
}

/// The readers are cut off from the store for good, and the store serves all others.
#[test]
fn keys_stay_fresh_everywhere_while_the_store_refuses_both_readers() {
    let mut model = Model::new(195, 2);
    model.run(3_000);
    model.refused = vec![0, 1];
    let oldest = model.run(15_000);
    assert!(oldest.0 < FRESH, "{oldest:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Instances lose power at any moment, readers and relays among them, also all of a data
    /// centre; the others must go on honouring keys.
    #[test]
    fn keys_stay_fresh_when_instances_fall_silent(
        seed in any::<u64>(),
        at in 3_000..5_000_u64,
        silent in prop::collection::btree_set(0..20_usize, 1..6),
        whole in prop::option::of(0..DATA_CENTRES),
    ) {
        let mut model = Model::new(100, seed);
        model.run(at);
        model.silent = silent.into_iter().collect();
        if let Some(whole) = whole {
            model.silent.extend((0..100).filter(|n| n % DATA_CENTRES == whole));
        }
        let oldest = model.run(8_000);
        prop_assert!(oldest.0 < FRESH, "{oldest:?}");
    }

    /// The store refuses a third of all instances, whoever they are.
    #[test]
    fn keys_stay_fresh_while_the_store_refuses_a_third_of_all(seed in any::<u64>()) {
        let mut model = Model::new(100, seed);
        model.run(4_000);
        let mut all: Vec<usize> = (0..100).collect();
        model.rng.shuffle(&mut all);
        model.refused = all[..33].to_vec();
        let oldest = model.run(9_000);
        prop_assert!(oldest.0 < FRESH, "{oldest:?}");
    }
}

#[test]
fn a_place_never_follows_itself() {
    for (me, place) in places(195).iter().enumerate() {
        assert!(!place.upstream.contains(&Arc::clone(&name(me))));
    }
}
