//! One run: an owner, fake entries and toy engines in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use policy::{
    Action, Event, MemoryEstimate, Owner, ShardRole, TargetLimits, TargetLoad, Tuning, View,
};
use types::{
    Epoch, InstanceId, Moment, ServiceId, ServiceKind, ServingState, Shard, Target, TargetId,
    Tokens,
};
use wire::{Grant, Message, Outcome, Revoke};

use super::{
    engine::{Engine, Sequence, Step},
    entry::{Entry, InHand, Shape, index},
    figures::Figures,
    requests::{self, CAPACITY, Drawn, ENGINES},
};

/// How many fake entries there are.
const ENTRIES: usize = 8;
/// Time for a message between two instances.
const LINK: Duration = Duration::from_millis(1);
/// Time between two accounts of what an entry holds.
const HELD_EVERY: Duration = Duration::from_millis(250);
/// Time between two load reports, which is also their age on arrival.
const REPORT_EVERY: Duration = Duration::from_millis(250);
/// Time between two ticks of the owner.
const TICK_EVERY: Duration = Duration::from_millis(50);

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Seed of arrivals and lengths.
    pub seed: u64,
    /// Virtual time.
    pub seconds: u64,
    /// Nothing is counted before this, so that lengths are learned.
    pub warm_up: Duration,
    /// When another owner takes over, who knows nothing.
    pub takeover: Option<Duration>,
    /// Share of what the engines' memory can bear over time.
    pub load: f64,
    /// What the owner is tuned by.
    pub tuning: Tuning,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Next {
    Arrive(usize),
    StepEnds(usize),
    ToOwner(usize),
    ToEntry(usize),
    Held(usize),
    Report(usize),
    Takeover,
    Tick,
}

struct World {
    now: Moment,
    number: u64,
    queue: BinaryHeap<Reverse<(Moment, u64, Next)>>,
    mail_in: BTreeMap<usize, Event>,
    mail_out: BTreeMap<usize, (usize, Message)>,
    mails: usize,
    owner: Owner,
    epoch: Epoch,
    shard: Shard,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    steps: Vec<Step>,
    requests: Vec<Drawn>,
    told: bool,
    tuning: Tuning,
    warm_up: Duration,
    figures: Figures,
    used_sum: f64,
    used_count: u64,
}

/// Runs one setup.
#[must_use]
pub fn run_one(setup: &Setup) -> Figures {
    let mut world = World::new(setup);
    let end = Duration::from_secs(setup.seconds);
    while let Some(Reverse((at, _, next))) = world.queue.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.happen(next);
    }
    world.figures.seconds = end.saturating_sub(setup.warm_up).as_secs_f64();
    world.figures.used = world.used_sum / world.used_count.max(1) as f64;
    world.figures
}

impl World {
    fn new(setup: &Setup) -> Self {
        let requests = requests::draw(setup.seed, setup.seconds, setup.load);
        let service = ServiceId::from("model");
        let data_centre = types::DataCentreId::from("here");
        let mut world = Self {
            now: Duration::ZERO,
            number: 0,
            queue: BinaryHeap::new(),
            mail_in: BTreeMap::new(),
            mail_out: BTreeMap::new(),
            mails: 0,
            owner: Owner::new("owner".into(), 1, setup.seed).with_tuning(setup.tuning),
            epoch: 0,
            shard: Shard::new(&service, &data_centre),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            steps: (0..ENGINES).map(|_| Step::default()).collect(),
            requests,
            told: setup.tuning.memory_estimate == MemoryEstimate::KnownLengths,
            tuning: setup.tuning,
            warm_up: setup.warm_up,
            figures: Figures::new(),
            used_sum: 0.0,
            used_count: 0,
        };
        world.start(setup);
        world
    }

    fn start(&mut self, setup: &Setup) {
        self.own(Vec::new());
        if let Some(at) = setup.takeover {
            self.at(at, Next::Takeover);
        }
        for at in 0..self.requests.len() {
            self.at(self.requests[at].at, Next::Arrive(at));
        }
        for entry in 0..ENTRIES {
            let first = HELD_EVERY.mul_f64(entry as f64 / ENTRIES as f64);
            self.at(first, Next::Held(entry));
        }
        for engine in 0..ENGINES {
            let first = REPORT_EVERY.mul_f64(engine as f64 / ENGINES as f64);
            self.at(first, Next::Report(engine));
        }
        self.at(TICK_EVERY, Next::Tick);
    }

    /// Makes the owner own the shard, in a new term.
    fn own(&mut self, entries_to_query: Vec<InstanceId>) {
        let view = self.view();
        self.tell(&Event::ViewChanged(view));
        self.epoch += 1;
        let epoch = self.epoch;
        let shard = self.shard.clone();
        let role = ShardRole::Own {
            epoch,
            entries_to_query,
        };
        self.tell(&Event::RoleChanged { shard, role });
        let shard = self.shard.clone();
        let exclusive = true;
        self.tell(&Event::ExclusivityChanged { shard, exclusive });
    }

    /// Another owner takes over; what waited at the first asks again.
    fn take_over(&mut self) {
        self.owner = Owner::new("other".into(), 1, 0).with_tuning(self.tuning);
        self.mail_out.clear();
        self.own((0..ENTRIES).map(name).collect());
        for entry in 0..ENTRIES {
            let waiting = std::mem::take(&mut self.entries[entry].asks);
            for request in waiting.into_values() {
                self.ask(entry, request);
            }
        }
    }

    fn view(&self) -> View {
        let limits = TargetLimits {
            kind: ServiceKind::Model,
            cold_limit: 2,
            warm_limit: 96,
            memory_tokens: CAPACITY,
            warm_after: 8,
            queue_limit: 2000,
            retry_percent: 10,
        };
        View {
            targets: (0..ENGINES)
                .map(|engine| Target {
                    id: target(engine),
                    service: self.shard.service.clone(),
                    data_centre: self.shard.data_centre.clone(),
                    addr: ([127, 0, 0, 1], 9).into(),
                    incarnation: 1,
                    state: ServingState::Live,
                })
                .collect(),
            limits: BTreeMap::from([(self.shard.service.clone(), Arc::new(limits))]),
            data_centres_out: Vec::new(),
            instances: 0,
        }
    }

    fn at(&mut self, at: Moment, next: Next) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, next)));
    }

    fn counts(&self) -> bool {
        self.now >= self.warm_up
    }

    fn happen(&mut self, next: Next) {
        match next {
            Next::Arrive(request) => self.arrive(request),
            Next::StepEnds(engine) => self.step_ends(engine),
            Next::ToOwner(mail) => {
                if let Some(event) = self.mail_in.remove(&mail) {
                    self.tell(&event);
                }
            }
            Next::ToEntry(mail) => {
                if let Some((entry, message)) = self.mail_out.remove(&mail) {
                    self.entry_gets(entry, message);
                }
            }
            Next::Held(entry) => self.held(entry),
            Next::Report(engine) => self.report(engine),
            Next::Takeover => self.take_over(),
            Next::Tick => {
                self.tell(&Event::Tick);
                self.at(self.now + TICK_EVERY, Next::Tick);
            }
        }
    }

    fn tell(&mut self, event: &Event) {
        let mut out = Vec::new();
        self.owner.handle(self.now, event, &mut out);
        for action in out {
            let Action::Send { to, message } = action else {
                continue;
            };
            let Some(entry) = (0..ENTRIES).find(|&entry| name(entry) == to) else {
                continue;
            };
            self.mails += 1;
            self.mail_out.insert(self.mails, (entry, message));
            self.at(self.now + LINK, Next::ToEntry(self.mails));
        }
    }

    fn mail(&mut self, entry: usize, message: impl Into<Message>) {
        let event = Event::Received {
            from: name(entry),
            incarnation: 1,
            message: message.into(),
        };
        self.mails += 1;
        self.mail_in.insert(self.mails, event);
        self.at(self.now + LINK, Next::ToOwner(self.mails));
    }

    fn arrive(&mut self, request: usize) {
        if self.counts() {
            self.figures.arrived += 1;
        }
        self.ask(request % ENTRIES, request);
    }

    fn ask(&mut self, entry: usize, request: usize) {
        let shape = Shape {
            drawn: &self.requests[request],
            told: self.told,
        };
        let ask = self.entries[entry].ask(self.now, &self.shard, request, shape);
        self.mail(entry, ask);
    }

    fn entry_gets(&mut self, entry: usize, message: Message) {
        match message {
            Message::Grant(grant) => self.granted(entry, grant),
            Message::Deny(deny) => {
                if let Some(request) = self.entries[entry].asks.remove(&deny.permit_request)
                    && self.counts()
                {
                    self.figures.refused[index(self.requests[request].class)] += 1;
                }
            }
            Message::Query(_) => self.tell_held(entry),
            Message::Revoke(recall) => self.recalled(entry, &recall),
            _ => {}
        }
    }

    fn granted(&mut self, entry: usize, grant: Grant) {
        let permit = grant.permit;
        let engine = engine_of(&grant.target);
        let Some(request) = self.entries[entry].asks.remove(&grant.permit_request) else {
            return;
        };
        let late = grant.stamp + grant.lifetime <= self.now;
        let in_hand = InHand { request, grant };
        self.entries[entry].permits.insert(permit, in_hand);
        if late {
            if let Some(done) = self.entries[entry].done(permit, Outcome::Unsent) {
                self.mail(entry, done);
            }
            self.ask(entry, request);
            return;
        }
        let drawn = &self.requests[request];
        self.engines[engine].waiting.push_back(Sequence {
            request,
            prompt: drawn.prompt,
            produced: 0,
            length: drawn.length,
            since: self.now,
            last_token: None,
            first: None,
        });
        self.step_begins(engine);
    }

    fn recalled(&mut self, entry: usize, recall: &Revoke) {
        let Some(in_hand) = self.entries[entry].permits.get(&recall.permit).cloned() else {
            return;
        };
        let engine = engine_of(&in_hand.grant.target);
        if self.produced(engine, in_hand.request) > 0 {
            return;
        }
        self.engines[engine].cancel(in_hand.request);
        if self.counts() {
            self.figures.recalls += 1;
        }
        let outcome = Outcome::Cancelled { produced: 0 };
        if let Some(done) = self.entries[entry].done(recall.permit, outcome) {
            self.mail(entry, done);
        }
        self.ask(entry, in_hand.request);
    }

    fn step_begins(&mut self, engine: usize) {
        if self.engines[engine].stepping {
            return;
        }
        let mut step = Step::default();
        if let Some(span) = self.engines[engine].begin(&mut step) {
            self.engines[engine].stepping = true;
            self.at(self.now + span, Next::StepEnds(engine));
        }
        if self.counts() {
            self.figures.preemptions += step.preempted;
        }
        self.steps[engine] = step;
    }

    fn step_ends(&mut self, engine: usize) {
        let mut step = std::mem::take(&mut self.steps[engine]);
        self.engines[engine].end(self.now, &mut step);
        self.engines[engine].stepping = false;
        if self.counts() {
            step.gaps.iter().for_each(|&gap| self.figures.gap(gap));
        }
        for sequence in step.finished {
            self.finished(&sequence);
        }
        self.step_begins(engine);
    }

    fn finished(&mut self, sequence: &Sequence) {
        let entry = sequence.request % ENTRIES;
        let drawn = &self.requests[sequence.request];
        let first = sequence.first.unwrap_or(self.now);
        if self.counts() {
            self.figures.finished += 1;
            self.figures.tokens += sequence.produced;
            self.figures.first(drawn.class, first - drawn.at);
        }
        let permit = self.entries[entry]
            .permits
            .iter()
            .find(|(_, in_hand)| in_hand.request == sequence.request)
            .map(|(permit, _)| *permit);
        let outcome = Outcome::Finished {
            produced: sequence.produced,
            first: first - sequence.since,
            took: self.now - sequence.since,
        };
        let done = permit.and_then(|permit| self.entries[entry].done(permit, outcome));
        if let Some(done) = done {
            self.mail(entry, done);
        }
    }

    fn produced(&self, engine: usize, request: usize) -> Tokens {
        let engine = &self.engines[engine];
        engine
            .running
            .iter()
            .chain(&engine.waiting)
            .find(|sequence| sequence.request == request)
            .map_or(0, |sequence| sequence.produced)
    }

    fn held(&mut self, entry: usize) {
        self.tell_held(entry);
        self.at(self.now + HELD_EVERY, Next::Held(entry));
    }

    fn tell_held(&mut self, entry: usize) {
        let shape = |request: usize| Shape {
            drawn: &self.requests[request],
            told: self.told,
        };
        let produced = |target: &TargetId, request| self.produced(engine_of(target), request);
        let mut held = self.entries[entry].held(self.now, &self.shard, shape, produced);
        held.epoch = self.epoch;
        self.mail(entry, held);
    }

    fn report(&mut self, at: usize) {
        let engine = &self.engines[at];
        let report = TargetLoad {
            incarnation: 1,
            age: REPORT_EVERY,
            running: engine.running.len() as u32,
            waiting: engine.waiting.len() as u32,
            used: engine.used(),
            capacity: CAPACITY,
            preemptions: engine.preemptions,
            warm: true,
        };
        if self.counts() {
            self.used_sum += engine.used() as f64 / CAPACITY as f64;
            self.used_count += 1;
        }
        let target = target(at);
        self.mails += 1;
        self.mail_in
            .insert(self.mails, Event::TargetReported { target, report });
        self.at(self.now + REPORT_EVERY, Next::ToOwner(self.mails));
        self.at(self.now + REPORT_EVERY, Next::Report(at));
    }
}

fn name(entry: usize) -> InstanceId {
    format!("entry-{entry}").into()
}

fn target(engine: usize) -> TargetId {
    format!("engine-{engine:02}").into()
}

fn engine_of(target: &TargetId) -> usize {
    target
        .rsplit('-')
        .next()
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}
