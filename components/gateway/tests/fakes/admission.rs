//! Admission that follows a script.

use std::{collections::VecDeque, sync::Arc};

use async_trait::async_trait;
use gateway::{Admission, AdmissionRequest, PermitHandle, WorkOutcome};
use parking_lot::Mutex;
use timer::Timer;
use types::{Moment, Refusal, Target, Tokens};

use super::target;

/// What admission says to a request, or to one that wants another try.
#[derive(Clone, Debug)]
pub enum Say {
    /// Go to this target.
    Go(&'static str),
    /// Go, but the permit lapses before it can be used.
    Lapsed,
    /// Go, and the permit is pulled back as soon as the engine has this many streams.
    PulledBack,
    /// Wait for ever.
    Wait,
    /// No.
    No(Refusal),
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    Admit(AdmissionRequest),
    Adopt(Tokens),
    Progress(Tokens),
    Again(WorkOutcome),
    End(WorkOutcome),
    /// Waiting for a permit, or the permit itself, was dropped.
    Dropped,
}

#[derive(Default)]
struct Shared {
    script: Mutex<VecDeque<Say>>,
    notes: Mutex<Vec<Note>>,
    pull: Mutex<bool>,
    gone: Mutex<Vec<Box<str>>>,
}

pub struct FakeAdmission {
    timer: Timer,
    shared: Arc<Shared>,
}

impl FakeAdmission {
    pub fn new(timer: Timer) -> Self {
        Self {
            timer,
            shared: Arc::default(),
        }
    }

    /// Sets the script; when it is over every request may go.
    pub fn script(&self, script: impl IntoIterator<Item = Say>) {
        *self.shared.script.lock() = script.into_iter().collect();
    }

    /// Pulls back the permits that were given out for that.
    pub fn pull_back(&self) {
        *self.shared.pull.lock() = true;
    }

    /// A target is no longer listed.
    pub fn forget(&self, target: &str) {
        self.shared.gone.lock().push(target.into());
    }

    pub fn notes(&self) -> Vec<Note> {
        self.shared.notes.lock().clone()
    }

    /// How all work ended so far.
    pub fn endings(&self) -> Vec<Note> {
        let mut notes = self.notes();
        notes.retain(|n| matches!(n, Note::Again(_) | Note::End(_) | Note::Dropped));
        notes
    }

    /// The first request that was asked for.
    pub fn wanted(&self) -> AdmissionRequest {
        let wanted = self.notes().into_iter().find_map(|note| match note {
            Note::Admit(wanted) => Some(wanted),
            _ => None,
        });
        wanted.expect("something was asked for")
    }
}

/// Notes when whatever holds it is dropped.
struct Guard {
    shared: Arc<Shared>,
    ended: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.notes.lock().push(Note::Dropped);
        }
    }
}

async fn say(shared: Arc<Shared>) -> Result<Box<dyn PermitHandle>, Refusal> {
    let say = shared.script.lock().pop_front().unwrap_or(Say::Go("t1"));
    let mut guard = Guard {
        shared,
        ended: false,
    };
    let (name, may_send, pulled) = match say {
        Say::Go(name) => (name, true, false),
        Say::Lapsed => ("t1", false, false),
        Say::PulledBack => ("t1", true, true),
        Say::Wait => std::future::pending().await,
        Say::No(refusal) => {
            guard.ended = true;
            return Err(refusal);
        }
    };
    Ok(Box::new(FakeAdmitted {
        target: target(name),
        may_send,
        pulled,
        guard,
    }))
}

struct FakeAdmitted {
    target: Target,
    may_send: bool,
    pulled: bool,
    guard: Guard,
}

impl FakeAdmitted {
    fn note(&self, note: Note) {
        self.guard.shared.notes.lock().push(note);
    }
}

#[async_trait]
impl PermitHandle for FakeAdmitted {
    fn target(&self) -> &Target {
        &self.target
    }

    fn may_send(&self) -> bool {
        self.may_send
    }

    fn report_progress(&self, produced: Tokens) {
        self.note(Note::Progress(produced));
    }

    async fn revoked(&self) {
        while !(self.pulled && *self.guard.shared.pull.lock()) {
            smol::Timer::after(std::time::Duration::from_millis(2)).await;
        }
    }

    fn finish(mut self: Box<Self>, outcome: WorkOutcome) {
        self.guard.ended = true;
        self.note(Note::End(outcome));
    }

    async fn retry(
        mut self: Box<Self>,
        outcome: WorkOutcome,
    ) -> Result<Box<dyn PermitHandle>, Refusal> {
        self.guard.ended = true;
        self.note(Note::Again(outcome));
        say(Arc::clone(&self.guard.shared)).await
    }
}

#[async_trait]
impl Admission for FakeAdmission {
    fn now(&self) -> Moment {
        self.timer.now()
    }

    async fn admit(&self, request: AdmissionRequest) -> Result<Box<dyn PermitHandle>, Refusal> {
        self.shared.notes.lock().push(Note::Admit(request));
        say(Arc::clone(&self.shared)).await
    }

    fn find_target(&self, id: &str) -> Option<Target> {
        let gone = self.shared.gone.lock().iter().any(|gone| **gone == *id);
        (!gone).then(|| target(id))
    }

    fn adopt(
        &self,
        target: &Target,
        _: AdmissionRequest,
        produced: Tokens,
    ) -> Box<dyn PermitHandle> {
        self.shared.notes.lock().push(Note::Adopt(produced));
        Box::new(FakeAdmitted {
            target: target.clone(),
            may_send: true,
            pulled: false,
            guard: Guard {
                shared: Arc::clone(&self.shared),
                ended: false,
            },
        })
    }

    fn is_ready(&self) -> bool {
        true
    }
}
