//! Parts of prompts that different requests share, and whether they prove sound.

use std::{sync::Arc, time::Duration};

use ::quarantine::{Assessment, Fingerprint};
use derive_more::Deref;
use types::{Moment, Refusal, ServiceId};

use crate::{gateway::Core, refusals};

/// The most messages of a chat that are told apart.
const MAX_SHARED_PARTS: usize = 64;
/// Time for which an answer has to go on until its prompt has proved sound. An engine that crashes on a
/// prompt does so when it begins to answer.
const SOUND_AFTER: Duration = Duration::from_millis(500);
/// How long a request waits for the outcome of a probe.
const MAX_PROBE_WAIT: Duration = Duration::from_secs(1);
/// Pause between two requests for a probe.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Digests of the parts of a prompt that other requests may share, and the service that they are for.
#[derive(Clone, Debug, Default, Deref)]
pub struct SharedParts {
    service: Option<ServiceId>,
    #[deref]
    parts: Arc<[Fingerprint]>,
}

impl SharedParts {
    /// The messages of a chat but the last, which belongs to the request itself. `ends` tells where each
    /// message ends in `prompt`.
    #[must_use]
    pub fn of_chat(service: &ServiceId, prompt: &[u8], ends: &[usize]) -> Self {
        let shared = ends.split_last().map_or(ends, |(_, shared)| shared);
        let starts = [0].into_iter().chain(shared.iter().copied());
        let parts = starts
            .zip(shared)
            .take(MAX_SHARED_PARTS)
            .map(|(start, end)| Fingerprint::new(&[service.as_bytes(), &prompt[start..*end]]))
            .collect();
        Self {
            service: Some(service.clone()),
            parts,
        }
    }

    /// The parts in short form, for the log.
    #[must_use]
    pub fn names(&self) -> Arc<str> {
        let names: Vec<String> = self
            .iter()
            .map(|part| format!("{:016x}", part.short()))
            .collect();
        names.join(",").into()
    }
}

/// Admits a request by the parts of its prompt; waits for the outcome of a probe if need be. Returns whether
/// the request is a probe itself.
///
/// # Errors
/// Returns the refusal if a part is rejected, or if no probe has ended in time.
pub async fn admit(core: &Core, parts: &SharedParts, deadline: Moment) -> Result<bool, Refusal> {
    let Some(service) = parts.service.as_ref().filter(|_| !parts.is_empty()) else {
        return Ok(false);
    };
    let until = core.admission.now() + MAX_PROBE_WAIT.min(core.time_left(deadline));
    loop {
        match core.quarantine.assess_parts(parts) {
            Assessment::Admitted => return Ok(false),
            Assessment::Rejected(_) => return Err(refusals::part_quarantined()),
            Assessment::Ambiguous(_) if core.quarantine.try_probe(service) => return Ok(true),
            Assessment::Ambiguous(_) if core.admission.now() >= until => {
                return Err(refusals::probe_in_progress());
            }
            Assessment::Ambiguous(_) => core.timer.sleep(PROBE_PAUSE).await,
        }
    }
}

/// Watches an answer that has begun, and reports once its prompt has proved sound.
pub struct SoundnessWatch {
    core: Arc<Core>,
    parts: SharedParts,
    began: Moment,
    is_sound: bool,
}

impl SoundnessWatch {
    /// Watches an answer that begins now.
    #[must_use]
    pub fn new(core: &Arc<Core>, parts: &SharedParts) -> Self {
        Self {
            core: Arc::clone(core),
            parts: parts.clone(),
            began: core.admission.now(),
            is_sound: false,
        }
    }

    /// Records that a token has arrived.
    pub fn record_token(&mut self) {
        let age = self.core.admission.now().saturating_sub(self.began);
        if !self.is_sound && age >= SOUND_AFTER {
            self.is_sound = true;
            self.core.quarantine.record_sound_parts(&self.parts, age);
        }
    }

    /// Whether the prompt has proved sound.
    #[must_use]
    pub const fn is_sound(&self) -> bool {
        self.is_sound
    }

    /// Records that the answer is complete.
    pub fn complete(self) {
        let age = self.core.admission.now().saturating_sub(self.began);
        self.core.quarantine.record_sound_parts(&self.parts, age);
    }
}
