//! What the owner measures: the speeds of engines, and the lengths of answers.

use std::time::Duration;

use types::{Moment, ServiceId, TargetId, Tokens};

use crate::{
    account::Generation,
    length::LengthEstimate,
    message::{ActiveGeneration, GenerationId, PlacementRequest},
    owner::Owner,
    speed::{SampleOrigin, SpeedChange},
    throughput::Throughput,
};

/// Time for which an entry may be silent about a generation whose first event it then reports. An
/// entry that was frozen reports first events long after they arrived.
const MAX_ENTRY_SILENCE: Duration = Duration::from_secs(2);

impl Owner {
    /// Estimates the length of an answer.
    pub(crate) fn estimate_length(
        &self,
        route: &str,
        max_tokens: Tokens,
        length_hint: Option<Tokens>,
    ) -> LengthEstimate {
        let length_hint = length_hint.filter(|_| self.tuning.uses_length_hints);
        self.lengths.estimate(route, max_tokens, length_hint)
    }

    /// Mean speed of a service's engines: measured, or configured while nothing was measured.
    pub(crate) fn throughput(&self, service: &ServiceId) -> Throughput {
        let measured = self
            .speeds
            .of_service(service)
            .filter(|_| self.tuning.learns_throughput);
        measured.unwrap_or_else(|| self.tuning.throughput())
    }

    /// Speed of one engine, as far as it was measured; otherwise that of its service.
    pub(crate) fn engine_throughput(
        &self,
        now: Moment,
        service: &ServiceId,
        target: &TargetId,
    ) -> Throughput {
        let measured = self
            .speeds
            .of_engine(now, service, target)
            .filter(|_| self.measures_engines());
        measured.unwrap_or_else(|| self.throughput(service))
    }

    /// Engines whose speed has become slow or usual since the last call.
    pub fn take_speed_changes(&mut self, now: Moment) -> Vec<SpeedChange> {
        if self.measures_engines() {
            self.speeds.take_changes(now)
        } else {
            Vec::new()
        }
    }

    /// Probability that a generation that starts now ends within `time`.
    #[must_use]
    pub fn completion_probability(&self, request: &PlacementRequest, time: Duration) -> f64 {
        let length = self.estimate_length(&request.route, request.max_tokens, request.length_hint);
        let throughput = self.throughput(&request.shard.service);
        let decode_budget = time.saturating_sub(throughput.prefill_time(request.prompt_tokens));
        1.0 - length.survival_probability(0, throughput.tokens_in(decode_budget))
    }

    /// Records the prefill time that a first event shows. An engine processes one prompt after the
    /// other, so prefill began at the previous first event or at the assignment, whichever came
    /// later.
    pub(crate) fn record_prefill(&mut self, now: Moment, generation: &Generation) {
        let per_engine = self.measures_engines();
        let was_silent = now.saturating_sub(generation.confirmed_at) > MAX_ENTRY_SILENCE;
        if per_engine && (generation.is_adopted || was_silent) {
            return;
        }
        let account = self.account(&generation.target);
        let prefill_began = account.last_first_event.max(generation.assigned_at);
        account.last_first_event = now;
        let time = now.saturating_sub(prefill_began);
        let origin = SampleOrigin {
            now,
            service: &generation.service,
            target: &generation.target,
        };
        let prior = self.tuning.throughput();
        self.speeds
            .record_prefill(origin, prior, per_engine, generation.prompt_tokens, time);
    }

    /// Records the generation speed since the entry's previous sync.
    pub(crate) fn record_decode(&mut self, now: Moment, reported: &ActiveGeneration) {
        let known = self.generations.get(&reported.generation);
        let Some(generation) = known.filter(|generation| {
            generation.started_at.is_some() && generation.tokens_generated > 0
        }) else {
            return;
        };
        let tokens_generated = reported
            .tokens_generated
            .saturating_sub(generation.tokens_generated);
        let time = now.saturating_sub(generation.counted_at);
        let per_engine = self.measures_engines();
        let prior = self.tuning.throughput();
        let origin = SampleOrigin {
            now,
            service: &reported.service,
            target: &reported.target,
        };
        self.speeds
            .record_decode(origin, prior, per_engine, tokens_generated, time);
    }

    /// Records the length of a finished generation.
    pub(crate) fn record_length(&mut self, id: &GenerationId, tokens_generated: Option<Tokens>) {
        if !self.tuning.learns_lengths {
            return;
        }
        if let (Some(generation), Some(tokens_generated)) =
            (self.generations.get(id), tokens_generated)
        {
            self.lengths
                .record(&generation.route, generation.max_tokens, tokens_generated);
        }
    }

    pub(crate) const fn measures_engines(&self) -> bool {
        self.tuning.learns_throughput && self.tuning.learns_engine_speeds
    }
}
