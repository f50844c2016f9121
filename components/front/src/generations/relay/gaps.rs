//! The sample of times between the events of a generation, as evidence on the version of its engine.

use std::sync::Arc;

use timer::boot_time;
use types::Moment;
use view::Target;

use super::Relay;

/// Gaps between events whose mean counts. Those of a whole generation would tell of a slow one only when
/// it ends, several times later than of a fast one.
const SAMPLED_GAPS: u32 = 16;
/// Gaps that a generation needs which ends before.
const MIN_GAPS: u32 = 8;

/// A sample of the times between events of a generation on one engine that has warmed up.
#[derive(Clone, Debug)]
pub(super) enum GapSample {
    /// No event has arrived from an engine that has warmed up.
    Waiting,
    /// Gaps are counted from an event on.
    Running {
        from: Moment,
        gaps: u32,
        target: Arc<Target>,
    },
    /// It was taken, or the generation was migrated.
    Over,
}

impl Relay {
    /// Counts an event for the sample of gaps, and records the sample once it is large enough.
    pub(super) fn sample_gap(&mut self) {
        let is_over = matches!(self.gap_sample, GapSample::Over);
        if is_over || self.front.rollouts.is_empty() {
            return;
        }
        let target = self.assignment.generation.target();
        match &mut self.gap_sample {
            GapSample::Waiting if self.front.is_warm(&target) => {
                self.gap_sample = GapSample::Running {
                    from: boot_time(),
                    gaps: 0,
                    target,
                };
            }
            GapSample::Running { target: first, .. } if first.id != target.id => {
                self.gap_sample = GapSample::Over;
            }
            GapSample::Running { gaps, .. } => {
                *gaps += 1;
                if *gaps >= SAMPLED_GAPS {
                    self.record_gap();
                }
            }
            GapSample::Waiting | GapSample::Over => {}
        }
    }

    /// Records the mean time between the sampled events, if there are enough.
    pub(super) fn record_gap(&mut self) {
        let sample = std::mem::replace(&mut self.gap_sample, GapSample::Over);
        if let GapSample::Running { from, gaps, target } = sample
            && gaps >= MIN_GAPS
        {
            let gap = boot_time().saturating_sub(from) / gaps;
            let route = &self.call.route.name;
            self.front.rollouts.record_gap(&target, route, gap);
        }
    }
}
