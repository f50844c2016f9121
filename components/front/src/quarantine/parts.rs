//! Quarantine of parts of prompts: aggregates evidence against them, sends the verdicts to all instances
//! and admits requests by them.
//!
//! The evidence of one service goes to the first two instances in an order that depends on the service, so
//! that one place knows all parts that were present at its crashes and sends one probe at a time.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use ::quarantine::{Assessment, PartEvidence, PartVerdict, Recipients, VerdictKind};
use events::{Event, emit};
use timer::boot_time;
use types::{InstanceId, Moment, millis};

use crate::{
    callers::{call::Call, refusal::Refusal},
    instances::{
        notify::{NOTIFY_TIMEOUT, notify, notify_all},
        wire::{Message, Reply},
    },
    quarantine::record,
    state::Front,
};

/// Aggregators of one service. A second one is there in case the first one stops.
const AGGREGATORS: usize = 2;
/// Time for which events of an answer have to arrive until its prompt has proved sound. An engine that
/// crashes on a prompt does so when it begins to answer.
const SOUND_AFTER: Duration = Duration::from_millis(500);
/// Fraction of its time to the first answer for which a request waits for the outcome of a probe.
const WAIT_FRACTION: f64 = 0.6;
/// Mean pause between two requests for a probe.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time for an aggregator to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// How far the answer to a request has come on its current target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// When the first event arrived.
    began: Option<Moment>,
    /// Events that have arrived.
    pub events: u64,
    /// Whether the answer goes on from a copy: the target has not read the prompt, so that nothing is proved.
    is_resumed: bool,
    /// Whether the prompt has proved sound.
    is_proved: bool,
}

impl Progress {
    /// The target has not begun to answer.
    pub const NONE: Self = Self {
        began: None,
        events: 0,
        is_resumed: false,
        is_proved: false,
    };

    /// The target is about to go on with an answer that began elsewhere.
    pub const RESUMED: Self = Self {
        is_resumed: true,
        ..Self::NONE
    };

    /// When the answer began, if it began on this target.
    #[must_use]
    pub fn began_here(&self) -> Option<Moment> {
        self.began.filter(|_| !self.is_resumed)
    }

    /// Counts an event. Returns when the answer began if this event proves that the prompt is sound.
    pub fn record_event(&mut self, now: Moment) -> Option<Moment> {
        self.events += 1;
        let began = *self.began.get_or_insert(now);
        if self.is_proved || !self.is_sound(now) {
            return None;
        }
        self.is_proved = true;
        (!self.is_resumed).then_some(began)
    }

    /// Whether the prompt has proved sound by a moment.
    #[must_use]
    pub fn is_sound(&self, at: Moment) -> bool {
        self.began
            .is_some_and(|began| at.saturating_sub(began) >= SOUND_AFTER)
    }
}

impl Front {
    /// Whether a request may be sent, by the parts of its prompt.
    #[must_use]
    pub fn assess_parts(&self, call: &Call) -> Assessment {
        if call.shared_parts.is_empty() {
            return Assessment::Admitted;
        }
        let assessment = self
            .part_quarantine
            .lock()
            .assess(boot_time(), &call.shared_parts);
        match assessment {
            Assessment::Ambiguous(_) if call.is_probe.load(Ordering::Acquire) => {
                Assessment::Admitted
            }
            assessment => assessment,
        }
    }
}

/// Admits a request by the parts of its prompt; waits for the outcome of a probe if need be.
///
/// # Errors
/// Returns the refusal if a part is rejected, or if no probe has ended in time.
pub async fn admit(front: &Arc<Front>, call: &Call) -> Result<(), Refusal> {
    let until = boot_time() + call.objective_left().mul_f64(WAIT_FRACTION);
    loop {
        match front.assess_parts(call) {
            Assessment::Admitted => return Ok(()),
            Assessment::Rejected(_) => {
                front.metrics.quarantined.inc();
                return Err(Refusal::part_quarantined());
            }
            Assessment::Ambiguous(part) => {
                if request_probe(front, call).await {
                    call.is_probe.store(true, Ordering::Release);
                    front.metrics.part_probes.inc();
                    emit(&Event::PartProbed {
                        id: Arc::clone(&call.request.id),
                        part: name(part.short()),
                    });
                    return Ok(());
                }
            }
        }
        if boot_time() >= until {
            return Err(Refusal::probe_in_progress());
        }
        smol::Timer::after(PROBE_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Requests the right to send a request as the probe of its service. Each instance has one such request
/// under way at a time.
async fn request_probe(front: &Arc<Front>, call: &Call) -> bool {
    let service = &call.service.name;
    let order = aggregators(front, service);
    let me = &front.cfg.instance;
    let is_free = || front.part_quarantine.lock().try_probe(boot_time(), service);
    if order.first().is_none_or(|first| first == me) {
        return is_free();
    }
    for aggregator in order.iter().filter(|id| *id != me) {
        let message = Message::RequestProbe {
            service: Arc::clone(service),
        };
        let reply = front.peers.call(aggregator, &message, PROBE_TIMEOUT).await;
        if let Some(Reply::Probe(granted)) = reply {
            return granted;
        }
    }
    // An instance that reaches no aggregator counts its own probes.
    is_free()
}

/// Reports evidence that this instance has found.
pub fn report_evidence(front: &Arc<Front>, evidence: &PartEvidence) {
    // Only an aggregator knows of the other runs on the same target.
    for aggregator in aggregators(front, &evidence.service) {
        if aggregator == front.cfg.instance {
            apply_evidence(front, evidence);
        } else {
            notify(front, aggregator, Message::PartCrashed(evidence.clone()));
        }
    }
}

/// Applies evidence; sends the verdicts to all instances if there are any.
pub fn apply_evidence(front: &Arc<Front>, evidence: &PartEvidence) {
    let verdicts = front
        .part_quarantine
        .lock()
        .record_crash(boot_time(), evidence);
    if verdicts.is_empty() {
        return;
    }
    verdicts.iter().for_each(log);
    notify_all(front, &Message::PartVerdicts(verdicts.clone()));
    let is_first = aggregators(front, &evidence.service).first() == Some(&front.cfg.instance);
    let rejected = |verdict: &&PartVerdict| verdict.kind == VerdictKind::Rejected;
    for verdict in verdicts.iter().filter(rejected).filter(|_| is_first) {
        record::persist_part(front, verdict);
    }
}

/// Reports that a target has run a request whose answer began at `began`, without crashing.
pub fn report_sound(front: &Arc<Front>, call: &Call, began: Moment) {
    if call.shared_parts.is_empty() {
        return;
    }
    let clearances =
        front
            .part_quarantine
            .lock()
            .record_sound(boot_time(), &call.shared_parts, began);
    for (verdict, recipients) in clearances {
        log(&verdict);
        let message = Message::PartVerdicts(vec![verdict.clone()]);
        match recipients {
            Recipients::Aggregators => {
                for aggregator in other_aggregators(front, &verdict.service) {
                    notify(front, aggregator, message.clone());
                }
            }
            Recipients::All => {
                notify_all(front, &message);
                record::persist_part(front, &verdict);
            }
        }
    }
}

/// Applies the verdicts of another instance.
pub fn apply_verdicts(front: &Front, verdicts: &[PartVerdict]) {
    let now = boot_time();
    for verdict in verdicts {
        if front.part_quarantine.lock().apply(now, verdict) {
            log(verdict);
        }
    }
}

/// Exchanges verdicts with another instance.
pub async fn exchange(front: &Front, peer: &InstanceId) {
    let local = front.part_quarantine.lock().verdicts(boot_time());
    let message = Message::ExchangePartVerdicts(local);
    // If this is lost, the next sync makes up for it.
    let reply = front.peers.try_call(peer, &message, NOTIFY_TIMEOUT).await;
    if let Some(Reply::PartVerdicts(verdicts)) = reply {
        apply_verdicts(front, &verdicts);
    }
}

/// Writes the rejections that this instance aggregates to the store.
pub fn write_records(front: &Arc<Front>) {
    let verdicts = front.part_quarantine.lock().verdicts(boot_time());
    for verdict in verdicts {
        let is_first = aggregators(front, &verdict.service).first() == Some(&front.cfg.instance);
        if is_first && verdict.kind == VerdictKind::Rejected {
            record::persist_part(front, &verdict);
        }
    }
}

/// The aggregators of a service.
fn aggregators(front: &Front, service: &str) -> Vec<InstanceId> {
    let mut order = front.peers.owners(&format!("prompt parts of {service}"));
    order.truncate(AGGREGATORS);
    order
}

/// The aggregators of a service without this instance.
fn other_aggregators(front: &Front, service: &str) -> Vec<InstanceId> {
    let mut others = aggregators(front, service);
    others.retain(|id| *id != front.cfg.instance);
    others
}

fn name(part: u64) -> Arc<str> {
    format!("{part:016x}").into()
}

fn log(verdict: &PartVerdict) {
    let part = name(verdict.part.short());
    match verdict.kind {
        VerdictKind::Suspected => {}
        VerdictKind::Rejected => emit(&Event::PartQuarantined {
            service: Arc::clone(&verdict.service),
            part,
            crashes: verdict.crashes.len(),
            for_ms: millis(verdict.remaining),
        }),
        VerdictKind::Cleared => emit(&Event::PartCleared {
            service: Arc::clone(&verdict.service),
            part,
        }),
    }
}
