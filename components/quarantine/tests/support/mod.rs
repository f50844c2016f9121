//! Simulation of many instances before targets that crash on prompts with certain parts. No network is
//! used; messages are delayed or lost, and instances are partitioned and restarted.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use fastrand::Rng;
use quarantine::{
    Assessment, Fingerprint, PartEvidence, PartQuarantine, PartVerdict, Recipients,
    TargetIncarnation, VerdictKind,
};
use types::{Moment, ServiceId};

/// Time within which a crash is known to all instances that are neither partitioned nor restarted.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Crashes after which that time begins.
const KNOWN_CRASHES: usize = 5;
/// Simulated time in which requests are sent.
const SIMULATED: Duration = Duration::from_secs(60);
/// Time after that in which runs still end, and all instances hear of it.
const LAST_RUNS: Duration = Duration::from_secs(15);
/// Start of the simulated time.
const START: Duration = Duration::from_secs(6);
/// Targets of the service.
const TARGETS: usize = 12;
/// Time for which events have to arrive until a prompt has proved sound.
const SOUND_AFTER: Duration = Duration::from_millis(500);
/// Time for which a request waits for the outcome of a probe.
const PROBE_WAIT: Duration = Duration::from_millis(900);
/// Pause between two requests for a probe.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time between two syncs of an instance.
const SYNC_PERIOD: Duration = Duration::from_millis(700);
/// Pause before a lost message is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Attempts to deliver a message.
const MAX_ATTEMPTS: u32 = 4;

/// Ways to treat parts of prompts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Parts are not told apart.
    Ignore,
    /// A request is rejected if any of its parts is.
    AnyPart,
    /// The way of the product: companions and probes.
    Companions,
    /// The same, and requests with a suspected part are sent one at a time.
    HoldSuspects,
}

/// A case to simulate.
#[derive(Clone, Debug)]
pub struct Case {
    pub seed: u64,
    pub instances: usize,
    /// Shared parts of a prompt.
    pub depth: usize,
    /// Crashing parts.
    pub crashing_parts: usize,
    /// Requests with a crashing part in a second.
    pub crashing_per_s: f64,
    /// Sound requests in a second.
    pub sound_per_s: f64,
    /// Different parts at each position of a sound prompt.
    pub variety: u64,
    /// Whether the parts begin to crash targets only some time after the start.
    pub later: bool,
    pub disturbances: usize,
    pub way: Way,
}

impl Case {
    /// Draws a case.
    pub fn draw(seed: u64, instances: usize, disturbances: usize, way: Way) -> Self {
        let mut rng = Rng::with_seed(seed);
        Self {
            seed,
            instances,
            depth: rng.usize(1..4),
            crashing_parts: 1 + usize::from(rng.f64() < 0.3),
            crashing_per_s: 0.7 + rng.f64() * 3.0,
            sound_per_s: 1.0 + rng.f64() * 12.0,
            variety: rng.u64(1..60),
            later: rng.bool(),
            disturbances,
            way,
        }
    }
}

/// What was seen in a simulation.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Crashes under each crashing part.
    pub crashes: Vec<usize>,
    /// Requests with each part that undisturbed instances sent later than [`CONTACT`] after the fifth.
    pub late: Vec<usize>,
    /// Sound requests that share the first part with crashing ones, from twice [`CONTACT`] after the fifth
    /// or last crash.
    pub sound: usize,
    /// Those of them that were sent.
    pub sound_sent: usize,
    /// Different states of verdicts among all instances at the end.
    pub digests: usize,
}

#[derive(Clone)]
struct Request {
    parts: Vec<Fingerprint>,
    /// The crashing part that it has.
    crashing: Option<usize>,
    shares_first: bool,
    arrived: Moment,
}

#[derive(Clone)]
enum Step {
    Arrive(usize, Request),
    /// The answer to a request for a probe arrives.
    Probe(usize, Request, bool),
    Begin(usize),
    Prove(usize),
    End(usize),
    Crash(usize, u64),
    Restore(usize),
    Notice(usize, PartEvidence),
    Evidence(usize, usize, PartEvidence, u32),
    Verdicts(usize, usize, Vec<PartVerdict>, u32),
    Sync(usize),
    Partition(usize, Moment),
    Restart(usize),
}

struct Instance {
    state: PartQuarantine,
    partitioned_until: Moment,
    /// Last time at which it was restarted or partitioned.
    disturbed: Moment,
}

struct Run {
    entry: usize,
    request: Request,
    target: usize,
    incarnation: u64,
    sent: Moment,
    began: Option<Moment>,
    is_over: bool,
}

struct Target {
    incarnation: u64,
    is_up: bool,
}

pub struct Simulation {
    case: Case,
    instances: Vec<Instance>,
    targets: Vec<Target>,
    runs: Vec<Run>,
    rng: Rng,
    /// Times and numbers of the steps that are due.
    queue: BinaryHeap<Reverse<(Moment, usize)>>,
    steps: Vec<Step>,
    now: Moment,
    crashes: Vec<Vec<Moment>>,
    /// Sendings of requests with each crashing part by undisturbed instances.
    sendings: Vec<Vec<Moment>>,
    /// Sound requests: arrival, and whether it was sent.
    sound: Vec<(Moment, bool)>,
    crashing_since: Moment,
}

fn service() -> ServiceId {
    "a service".into()
}

fn part(position: usize, number: u64) -> Fingerprint {
    Fingerprint::new(&[&position.to_le_bytes(), &number.to_le_bytes()])
}

/// Number of the first crashing part among the parts of a position.
const CRASHING_NUMBER: u64 = 1_000_000;

impl Simulation {
    pub fn new(case: Case) -> Self {
        let mut rng = Rng::with_seed(case.seed ^ 0x5eed);
        let instance = |_| Instance {
            state: PartQuarantine::new(),
            partitioned_until: Duration::ZERO,
            disturbed: Duration::ZERO,
        };
        let target = |number| Target {
            incarnation: number,
            is_up: true,
        };
        let crashing_since = if case.later {
            START + SIMULATED.mul_f64(0.1 + 0.2 * rng.f64())
        } else {
            Duration::ZERO
        };
        let mut simulation = Self {
            instances: (0..case.instances).map(instance).collect(),
            targets: (0..TARGETS as u64).map(target).collect(),
            runs: Vec::new(),
            rng,
            queue: BinaryHeap::new(),
            steps: Vec::new(),
            now: START,
            crashes: vec![Vec::new(); case.crashing_parts],
            sendings: vec![Vec::new(); case.crashing_parts],
            sound: Vec::new(),
            crashing_since,
            case,
        };
        simulation.schedule_requests();
        simulation.schedule_disturbances();
        simulation
    }

    fn schedule_requests(&mut self) {
        let depth = self.case.depth;
        // The crashing part is at the same position in all requests that have it.
        let positions: Vec<usize> = (0..self.case.crashing_parts)
            .map(|_| self.rng.usize(..depth))
            .collect();
        let seconds = SIMULATED.as_secs_f64();
        let draw_times = |rng: &mut Rng, per_s: f64| {
            let mut times = Vec::new();
            let mut at = 0.0;
            while at < seconds {
                at += -(1.0 - rng.f64()).ln() / per_s;
                times.push(START + Duration::from_secs_f64(at));
            }
            times
        };
        for (which, position) in positions.iter().enumerate() {
            let per_s = self.case.crashing_per_s / positions.len() as f64;
            for at in draw_times(&mut self.rng, per_s) {
                let mut parts: Vec<Fingerprint> = (0..depth).map(|p| self.draw_part(p)).collect();
                parts[*position] = part(*position, CRASHING_NUMBER + which as u64);
                if *position > 0 {
                    parts[0] = part(0, 0);
                }
                self.schedule_arrival(at, parts, Some(which), false);
            }
        }
        for at in draw_times(&mut self.rng, self.case.sound_per_s) {
            let mut parts: Vec<Fingerprint> = (0..depth).map(|p| self.draw_part(p)).collect();
            let shares_first = self.rng.f64() < 0.4;
            if shares_first {
                parts[0] = part(0, 0);
            }
            self.schedule_arrival(at, parts, None, shares_first);
        }
    }

    fn draw_part(&mut self, position: usize) -> Fingerprint {
        part(position, 1 + self.rng.u64(..self.case.variety))
    }

    fn schedule_arrival(
        &mut self,
        arrived: Moment,
        parts: Vec<Fingerprint>,
        crashing: Option<usize>,
        shares_first: bool,
    ) {
        let request = Request {
            parts,
            crashing,
            shares_first,
            arrived,
        };
        let to = self.rng.usize(..self.case.instances);
        self.schedule(arrived, Step::Arrive(to, request));
    }

    fn schedule_disturbances(&mut self) {
        let count = self.case.instances;
        for number in 0..count {
            let at = START + SYNC_PERIOD.mul_f64(self.rng.f64());
            self.schedule(at, Step::Sync(number));
        }
        for _ in 0..self.case.disturbances {
            let at = START + SIMULATED.mul_f64(self.rng.f64());
            let who = self.rng.usize(..count);
            let lasts = CONTACT.mul_f64(self.rng.f64() * 2.0);
            let step = if self.rng.bool() {
                Step::Partition(who, at + lasts)
            } else {
                Step::Restart(who)
            };
            self.schedule(at, step);
        }
    }

    fn schedule(&mut self, at: Moment, step: Step) {
        self.queue.push(Reverse((at, self.steps.len())));
        self.steps.push(step);
    }

    fn schedule_within(&mut self, ms: std::ops::Range<u64>, step: Step) {
        let at = self.now + Duration::from_millis(self.rng.u64(ms));
        self.schedule(at, step);
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let partitioned = |number: usize| self.instances[number].partitioned_until > self.now;
        from == to || !(partitioned(from) || partitioned(to))
    }

    /// Runs the simulation and returns what was seen.
    pub fn run(mut self) -> Seen {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            self.execute(self.steps[number].clone());
        }
        self.seen()
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Arrive(to, request) => self.admit(to, request),
            Step::Probe(to, request, true) => self.send(to, request),
            Step::Probe(to, request, false) => {
                if self.now.saturating_sub(request.arrived) < PROBE_WAIT {
                    self.schedule(self.now + PROBE_PAUSE, Step::Arrive(to, request));
                } else {
                    self.record_outcome(&request, false);
                }
            }
            Step::Begin(run) => self.begin(run),
            Step::Prove(run) => self.prove(run),
            Step::End(run) => {
                self.prove(run);
                self.runs[run].is_over = true;
            }
            Step::Crash(target, incarnation) => self.crash(target, incarnation),
            Step::Restore(target) => {
                self.targets[target].is_up = true;
                self.targets[target].incarnation = self.rng.u64(1_000..);
            }
            Step::Notice(at, evidence) => self.notice(at, &evidence),
            Step::Evidence(from, to, evidence, attempts) => {
                self.deliver_evidence(from, to, evidence, attempts);
            }
            Step::Verdicts(from, to, verdicts, attempts) => {
                self.deliver_verdicts(from, to, verdicts, attempts);
            }
            Step::Sync(number) => self.sync(number),
            Step::Partition(number, until) => {
                let instance = &mut self.instances[number];
                instance.partitioned_until = instance.partitioned_until.max(until);
                instance.disturbed = instance.disturbed.max(until);
            }
            Step::Restart(number) => {
                let instance = &mut self.instances[number];
                instance.state = PartQuarantine::new();
                instance.disturbed = instance.disturbed.max(self.now);
            }
        }
    }

    fn admit(&mut self, to: usize, request: Request) {
        let now = self.now;
        let state = &self.instances[to].state;
        let assessment = state.assess(now, &request.parts);
        let has_suspected = || {
            state
                .verdicts(now)
                .iter()
                .any(|v| v.kind == VerdictKind::Suspected && request.parts.contains(&v.part))
        };
        let assessment = match (self.case.way, assessment) {
            (Way::Ignore, _) => Assessment::Admitted,
            (Way::AnyPart, Assessment::Ambiguous(part)) => Assessment::Rejected(part),
            (Way::HoldSuspects, Assessment::Admitted) if has_suspected() => {
                Assessment::Ambiguous(request.parts[0])
            }
            (_, assessment) => assessment,
        };
        match assessment {
            Assessment::Admitted => self.send(to, request),
            Assessment::Rejected(_) => self.record_outcome(&request, false),
            Assessment::Ambiguous(_) => {
                let aggregator = self.aggregators(to)[0];
                let granted = self.instances[aggregator].state.try_probe(now, &service());
                self.schedule_within(1..60, Step::Probe(to, request, granted));
            }
        }
    }

    fn record_outcome(&mut self, request: &Request, sent: bool) {
        if request.shares_first && request.crashing.is_none() {
            self.sound.push((request.arrived, sent));
        }
    }

    fn send(&mut self, entry: usize, request: Request) {
        self.record_outcome(&request, true);
        let undisturbed = self.instances[entry].disturbed + CONTACT < self.now;
        if let Some(which) = request.crashing.filter(|_| undisturbed) {
            self.sendings[which].push(self.now);
        }
        let up: Vec<usize> = (0..TARGETS).filter(|t| self.targets[*t].is_up).collect();
        let Some(target) = self.rng.choice(up) else {
            return;
        };
        let run = self.runs.len();
        self.runs.push(Run {
            entry,
            request,
            target,
            incarnation: self.targets[target].incarnation,
            sent: self.now,
            began: None,
            is_over: false,
        });
        self.schedule_within(100..900, Step::Begin(run));
    }

    fn is_running(&self, run: usize) -> bool {
        let run = &self.runs[run];
        let target = &self.targets[run.target];
        !run.is_over && target.is_up && target.incarnation == run.incarnation
    }

    fn begin(&mut self, run: usize) {
        if !self.is_running(run) {
            return;
        }
        let (target, incarnation) = (self.runs[run].target, self.runs[run].incarnation);
        let crashes = self.runs[run].request.crashing.is_some() && self.now >= self.crashing_since;
        if crashes {
            // The first event is rarely sent before the crash.
            if self.rng.f64() < 0.1 {
                self.runs[run].began = Some(self.now);
            }
            self.schedule_within(5..110, Step::Crash(target, incarnation));
            return;
        }
        self.runs[run].began = Some(self.now);
        self.schedule(self.now + SOUND_AFTER, Step::Prove(run));
        self.schedule_within(100..6_000, Step::End(run));
    }

    fn prove(&mut self, run: usize) {
        if !self.is_running(run) {
            return;
        }
        let run = &self.runs[run];
        let Some(began) = run.began else {
            return;
        };
        let (entry, parts) = (run.entry, run.request.parts.clone());
        let state = &mut self.instances[entry].state;
        for (verdict, recipients) in state.record_sound(self.now, &parts, began) {
            let to = match recipients {
                Recipients::Aggregators => self.aggregators(entry),
                Recipients::All => (0..self.instances.len()).collect(),
            };
            self.broadcast(entry, to, &[verdict]);
        }
    }

    fn crash(&mut self, target: usize, incarnation: u64) {
        if !self.targets[target].is_up || self.targets[target].incarnation != incarnation {
            return;
        }
        let lost: Vec<usize> = (0..self.runs.len())
            .filter(|run| self.runs[*run].target == target && self.is_running(*run))
            .collect();
        let mut blamed = BTreeMap::new();
        for number in lost {
            let run = &mut self.runs[number];
            run.is_over = true;
            if let Some(which) = run.request.crashing {
                blamed.insert(which, ());
            }
            let is_sound = run
                .began
                .is_some_and(|began| self.now - began >= SOUND_AFTER);
            if is_sound {
                continue;
            }
            let noticed = Duration::from_millis(self.rng.u64(200..500));
            let evidence = PartEvidence {
                service: service(),
                parts: run.request.parts.clone(),
                incarnation: TargetIncarnation {
                    target: format!("e-{target}").into(),
                    started_at: Some(incarnation),
                },
                age: noticed,
                ran_for: self.now - run.sent,
                request: Some(Fingerprint::new(&[b"request", &number.to_be_bytes()])),
            };
            let entry = run.entry;
            self.schedule(self.now + noticed, Step::Notice(entry, evidence));
        }
        for which in blamed.into_keys() {
            self.crashes[which].push(self.now);
        }
        self.targets[target].is_up = false;
        self.schedule_within(1_500..4_000, Step::Restore(target));
    }

    fn notice(&mut self, at: usize, evidence: &PartEvidence) {
        for aggregator in self.aggregators(at) {
            let step = Step::Evidence(at, aggregator, evidence.clone(), MAX_ATTEMPTS);
            self.schedule_within(1..150, step);
        }
    }

    fn deliver_evidence(&mut self, from: usize, to: usize, evidence: PartEvidence, attempts: u32) {
        if !self.can_reach(from, to) {
            if attempts > 1 {
                let step = Step::Evidence(from, to, evidence, attempts - 1);
                self.schedule(self.now + RETRY_PAUSE, step);
            }
            return;
        }
        let verdicts = self.instances[to].state.record_crash(self.now, &evidence);
        let all = (0..self.instances.len()).collect();
        self.broadcast(to, all, &verdicts);
    }

    fn deliver_verdicts(
        &mut self,
        from: usize,
        to: usize,
        verdicts: Vec<PartVerdict>,
        attempts: u32,
    ) {
        if !self.can_reach(from, to) {
            if attempts > 1 {
                let step = Step::Verdicts(from, to, verdicts, attempts - 1);
                self.schedule(self.now + RETRY_PAUSE, step);
            }
            return;
        }
        for verdict in &verdicts {
            self.instances[to].state.apply(self.now, verdict);
        }
    }

    fn broadcast(&mut self, from: usize, to: Vec<usize>, verdicts: &[PartVerdict]) {
        if verdicts.is_empty() {
            return;
        }
        for other in to.into_iter().filter(|other| *other != from) {
            let step = Step::Verdicts(from, other, verdicts.to_vec(), MAX_ATTEMPTS);
            self.schedule_within(1..150, step);
        }
    }

    fn sync(&mut self, number: usize) {
        if self.now < START + SIMULATED + LAST_RUNS {
            self.schedule(self.now + SYNC_PERIOD, Step::Sync(number));
        }
        let other = usize::from(number == 0 && self.instances.len() > 1);
        let verdicts = |number: usize| self.instances[number].state.verdicts(self.now);
        let (mine, others) = (verdicts(number), verdicts(other));
        self.schedule_within(1..150, Step::Verdicts(number, other, mine, 1));
        self.schedule_within(1..150, Step::Verdicts(other, number, others, 1));
    }

    /// The first two instances that an instance can reach.
    fn aggregators(&self, from: usize) -> Vec<usize> {
        let reached = (0..self.instances.len()).filter(|to| self.can_reach(from, *to));
        reached.take(2).collect()
    }

    fn seen(&self) -> Seen {
        let known = |crashes: &Vec<Moment>| crashes.get(KNOWN_CRASHES - 1).copied();
        let late = self.sendings.iter().zip(&self.crashes);
        let late = late.map(|(sendings, crashes)| {
            let Some(fifth) = known(crashes) else {
                return 0;
            };
            sendings.iter().filter(|at| **at > fifth + CONTACT).count()
        });
        let last = self
            .crashes
            .iter()
            .filter_map(|crashes| known(crashes).or_else(|| crashes.last().copied()))
            .max();
        let from = last.map_or(Duration::MAX, |last| last + CONTACT * 2);
        let sound = self.sound.iter().filter(|(arrived, _)| *arrived >= from);
        let digests = self.instances.iter().map(|i| i.state.digest(self.now));
        let digests: BTreeSet<u64> = digests.collect();
        Seen {
            crashes: self.crashes.iter().map(Vec::len).collect(),
            late: late.collect(),
            sound: sound.clone().count(),
            sound_sent: sound.filter(|(_, sent)| *sent).count(),
            digests: digests.len(),
        }
    }
}
