//! Takes on connections of callers while this instance has processor time for them.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use net::{Intake, Listening};
use timer::boot_time;
use types::{Moment, millis};

use crate::{callers::intake_limit::Change, state::Front};

/// Requests that are open for longer wait for something else than this process, such as an engine.
const WORK_TIME: Duration = Duration::from_millis(250);

/// Decides which connections of callers are served.
pub struct CallerIntake {
    front: Arc<Front>,
}

impl CallerIntake {
    /// Creates the intake of an instance.
    #[must_use]
    pub const fn new(front: Arc<Front>) -> Self {
        Self { front }
    }

    /// Number of open requests that this process works on.
    fn open(&self, now: Moment) -> usize {
        let since = now.saturating_sub(WORK_TIME);
        self.front.open_requests.count_since(since)
    }
}

impl Intake for CallerIntake {
    fn admits(&self) -> bool {
        let front = &self.front;
        if !front.cfg.decisions.features.intake_limit {
            return true;
        }
        let now = boot_time();
        let open = self.open(now);
        let is_admitted = front.intake_limit.lock().admit(now, open);
        if !is_admitted {
            front.metrics.closed_unread.inc();
        }
        is_admitted
    }

    fn listens(&self) -> bool {
        if !self.front.cfg.decisions.features.intake_limit {
            return true;
        }
        let now = boot_time();
        let open = self.open(now);
        self.front.intake_limit.lock().has_room(now, open)
    }

    fn record_listening(&self, change: &Listening) {
        match change {
            Listening::Paused => {
                self.front.metrics.listening_pauses.inc();
            }
            Listening::Resumed => {}
            Listening::Failed(e) => emit(&Event::ListeningFailed {
                addr: self.front.cfg.callers.to_string().into(),
                reason: e.to_string().into(),
            }),
        }
    }

    fn sheds(&self) -> bool {
        let is_limited = self.front.cfg.decisions.features.intake_limit;
        let open = self.open(boot_time());
        let sheds = is_limited && self.front.intake_limit.lock().sheds(open);
        if sheds {
            self.front.metrics.shed.inc();
        }
        sheds
    }

    fn started(&self, waited: Duration) {
        self.front.metrics.observe_turn(waited);
        self.front.intake_limit.lock().record_start(waited);
    }

    fn ticked(&self, late: Duration) {
        let front = &self.front;
        timer::lateness::record(late);
        let now = boot_time();
        let open = self.open(now);
        let change = front.intake_limit.lock().record_tick(now, late, open);
        match change {
            Some(Change::Began { lateness, allowed }) => emit(&Event::ProcessorShort {
                late_ms: millis(lateness),
                allowed_ms: millis(allowed),
                open,
            }),
            Some(Change::Ended { after }) => emit(&Event::ProcessorSuffices {
                after_ms: millis(after),
            }),
            None => {}
        }
    }
}
