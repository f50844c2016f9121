//! Shares evidence and verdicts on parts of prompts that crash targets among all instances.
//!
//! The evidence of one service goes to two aggregators, which are chosen by the service among the live
//! instances. The first one grants probes, one at a time.

use std::{sync::Arc, time::Duration};

use ::quarantine::{Fingerprint, PartEvidence, PartVerdict, Recipients, VerdictKind};
use events::Event;
use types::{InstanceId, ServiceId, millis};
use wire::Message;

use crate::core::Core;

/// How long the right to send a probe holds: the request that it was meant for may have ended.
const GRANT_DURATION: Duration = Duration::from_millis(500);

impl Core {
    /// Reports evidence that this instance has found.
    pub fn report_part_crash(&self, evidence: &PartEvidence) {
        // Only an aggregator knows of the other runs on the same target.
        for aggregator in self.part_aggregators(&evidence.service) {
            if aggregator == self.me {
                self.record_part_evidence(evidence);
            } else {
                self.send(&aggregator, Message::PartCrashed(evidence.clone()));
            }
        }
    }

    /// Records evidence, and sends resulting verdicts to all peers.
    pub fn record_part_evidence(&self, evidence: &PartEvidence) {
        let now = self.timer.now();
        let verdicts = self.part_quarantine.lock().record_crash(now, evidence);
        if verdicts.is_empty() {
            return;
        }
        verdicts.iter().for_each(log_verdict);
        for peer in self.other_instances() {
            self.send(&peer, Message::PartVerdicts(verdicts.clone()));
        }
    }

    /// Records that a run whose answer began `age` ago has proved its prompt sound.
    pub fn record_sound_parts(&self, parts: &[Fingerprint], age: Duration) {
        let now = self.timer.now();
        let began = now.saturating_sub(age);
        let clearances = self.part_quarantine.lock().record_sound(now, parts, began);
        for (verdict, recipients) in clearances {
            log_verdict(&verdict);
            let to = match recipients {
                Recipients::Aggregators => self.part_aggregators(&verdict.service),
                Recipients::All => self.other_instances(),
            };
            for peer in to.into_iter().filter(|peer| *peer != self.me) {
                self.send(&peer, Message::PartVerdicts(vec![verdict.clone()]));
            }
        }
    }

    /// Applies the verdicts of a peer.
    pub fn apply_part_verdicts(&self, verdicts: &[PartVerdict]) {
        let now = self.timer.now();
        for verdict in verdicts {
            if self.part_quarantine.lock().apply(now, verdict) {
                log_verdict(verdict);
            }
        }
    }

    /// Whether this instance may send a probe now; asks for the right to it otherwise.
    pub fn try_probe(&self, service: &ServiceId) -> bool {
        let now = self.timer.now();
        let aggregator = self.part_aggregators(service).into_iter().next();
        let Some(aggregator) = aggregator.filter(|id| *id != self.me) else {
            return self.part_quarantine.lock().try_probe(now, service);
        };
        let granted = self.granted_probes.lock().remove(service);
        if granted.is_some_and(|at| now.saturating_sub(at) < GRANT_DURATION) {
            return true;
        }
        let service = service.clone();
        self.send(&aggregator, Message::RequestProbe { service });
        false
    }

    /// Grants a peer a probe, unless one is running.
    pub fn grant_probe(&self, peer: &InstanceId, service: &ServiceId) {
        let now = self.timer.now();
        if self.part_quarantine.lock().try_probe(now, service) {
            let service = service.clone();
            self.send(peer, Message::ProbeGranted { service });
        }
    }

    /// Records that this instance may send a probe.
    pub fn record_probe_grant(&self, service: &ServiceId) {
        let now = self.timer.now();
        self.granted_probes.lock().insert(service.clone(), now);
    }

    /// Returns the aggregators of a service.
    fn part_aggregators(&self, service: &ServiceId) -> Vec<InstanceId> {
        self.ranked_aggregators(&Fingerprint::new(&[b"prompt parts", service.as_bytes()]))
    }
}

fn log_verdict(verdict: &PartVerdict) {
    let part: Arc<str> = format!("{:016x}", verdict.part.short()).into();
    let service = verdict.service.clone();
    match verdict.kind {
        VerdictKind::Suspected => {}
        VerdictKind::Rejected => events::emit(&Event::PartQuarantined {
            service,
            part,
            crashes: verdict.crashes.len(),
            for_ms: millis(verdict.remaining),
        }),
        VerdictKind::Cleared => events::emit(&Event::PartCleared { service, part }),
    }
}
