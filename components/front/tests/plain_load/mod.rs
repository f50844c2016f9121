//! Load on plain targets without network: many instances, each with a selector of its own, send calls to a
//! few targets with slots and a queue.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use fastrand::Rng;
use front::{ReportedLoad, plain_calls::selection::TargetSelector};
use types::{DataCentreId, Moment, ServingState};
use view::Target;

/// Usual work time.
pub const WORK: Duration = Duration::from_millis(15);
/// One way between an instance and a target of its data centre.
const WAY: Duration = Duration::from_millis(1);
/// One way to a target of another data centre.
const REMOTE_WAY: Duration = Duration::from_micros(2_400);
/// Slots of each target.
const SLOTS: u32 = 6;
/// When the first call comes; selectors know nothing before.
pub const START: Moment = Duration::from_secs(100);

/// The load and the behaviour of targets.
pub struct Load {
    pub instances: usize,
    pub targets: usize,
    pub calls_per_s: f64,
    pub length: Duration,
    /// How long work takes at a target at a time after the start, as a multiple of the usual time.
    pub factor: fn(usize, Duration) -> f64,
    /// What the target reports of it, in percent.
    pub reported: fn(usize, Duration) -> Option<u32>,
}

/// What became of the calls.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When each call was sent, its target, and the time to its answer.
    pub answers: Vec<(Duration, usize, Duration)>,
    pub remote: usize,
}

impl Outcome {
    /// Share of the calls that were answered within this time.
    pub fn share_within(&self, limit: Duration) -> f64 {
        let within = self.answers.iter().filter(|(.., took)| *took <= limit);
        within.count() as f64 / self.answers.len() as f64
    }

    /// Share of the calls sent in this span that went to a target.
    pub fn share_of(&self, target: usize, from_s: u64, to_s: u64) -> f64 {
        let span = Duration::from_secs(from_s)..Duration::from_secs(to_s);
        let sent: Vec<_> = (self.answers.iter())
            .filter(|(at, ..)| span.contains(at))
            .collect();
        sent.iter().filter(|(_, to, _)| *to == target).count() as f64 / sent.len() as f64
    }

    /// The time within which this share of the calls was answered.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut times: Vec<Duration> = self.answers.iter().map(|(.., took)| *took).collect();
        times.sort();
        times[((times.len() - 1) as f64 * share) as usize]
    }
}

/// Selects a target: a selector, the time, the targets, the local data centre and a random number.
pub type Way = fn(&TargetSelector, Moment, &[Arc<Target>], &DataCentreId, f64) -> Arc<Target>;

/// Selects as instances do.
pub fn as_built(
    selector: &TargetSelector,
    now: Moment,
    targets: &[Arc<Target>],
    local: &DataCentreId,
    random: f64,
) -> Arc<Target> {
    let selected = selector.select(now, targets, &[], local, random);
    selected.expect("a target")
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Send,
    Arrive,
    Finish,
    Answer(ReportedFigures),
}

/// Running and waiting calls, and the reported time of work.
type ReportedFigures = (u32, u32, Option<u32>);

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct Call {
    sent_at: Moment,
    instance: usize,
    target: usize,
}

#[derive(Default)]
struct Queue {
    running: u32,
    waiting: VecDeque<Call>,
}

pub fn target(number: usize) -> Arc<Target> {
    Arc::new(Target {
        id: format!("t-{number}").into(),
        service: "a-service".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: data_centre(number),
        slots: SLOTS,
        state: ServingState::Live,
        cold_remaining: Duration::ZERO,
        version: "v1".into(),
        weights: None,
        started_at: None,
    })
}

/// The data centre of a target or an instance; there is one for each target.
pub fn data_centre(number: usize) -> DataCentreId {
    format!("dc-{number}").into()
}

/// Plays a load.
pub fn play(load: &Load, way: Way) -> Outcome {
    let mut rng = Rng::with_seed(7);
    let targets: Vec<_> = (0..load.targets).map(target).collect();
    let mut selectors: Vec<_> = (0..load.instances)
        .map(|_| TargetSelector::default())
        .collect();
    let mut queues: Vec<Queue> = (0..load.targets).map(|_| Queue::default()).collect();
    let mut steps = BinaryHeap::new();
    let mut at = START;
    while at < START + load.length {
        let call = Call {
            sent_at: at,
            instance: rng.usize(..load.instances),
            target: 0,
        };
        steps.push(Reverse((at, Step::Send, call)));
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / load.calls_per_s);
    }
    let mut outcome = Outcome::default();
    while let Some(Reverse((now, step, mut call))) = steps.pop() {
        let local = call.instance % load.targets;
        let selector = &mut selectors[call.instance];
        if step == Step::Send {
            let selected = way(selector, now, &targets, &data_centre(local), rng.f64());
            let found = targets.iter().position(|target| target.id == selected.id);
            call.target = found.expect("one of the targets");
            selector.call_started(&selected.id);
        }
        let is_remote = call.target != local;
        let distance = if is_remote { REMOTE_WAY } else { WAY };
        let queue = &mut queues[call.target];
        let finish = |call: Call, now: Moment| {
            let factor = (load.factor)(call.target, now - START);
            Reverse((now + WORK.mul_f64(factor), Step::Finish, call))
        };
        match step {
            Step::Send => steps.push(Reverse((now + distance, Step::Arrive, call))),
            Step::Arrive if queue.running < SLOTS => {
                queue.running += 1;
                steps.push(finish(call, now));
            }
            Step::Arrive => queue.waiting.push_back(call),
            Step::Finish => {
                match queue.waiting.pop_front() {
                    Some(next) => steps.push(finish(next, now)),
                    None => queue.running -= 1,
                }
                let waiting = u32::try_from(queue.waiting.len()).expect("few calls");
                let reported = (load.reported)(call.target, now - START);
                let answer = Step::Answer((queue.running, waiting, reported));
                steps.push(Reverse((now + distance, answer, call)));
            }
            Step::Answer((running, waiting, work_time_percent)) => {
                let report = ReportedLoad {
                    running,
                    waiting,
                    work_time_percent,
                };
                let took = now - call.sent_at;
                selector.call_ended(&targets[call.target].id);
                selector.record_answer(now, &targets[call.target], Some(took), report);
                outcome.remote += usize::from(is_remote);
                let sent_after = call.sent_at - START;
                outcome.answers.push((sent_after, call.target, took));
            }
        }
    }
    outcome
}
