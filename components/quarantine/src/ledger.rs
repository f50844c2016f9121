//! What one instance knows of requests under which targets ended.
//!
//! The evidence of all instances is summed where it is sent to; what comes of it is told to all. Each
//! end counts against every request that the target ran, so a request is rejected only after several
//! targets have ended under it one after the other, and not if a target has served it since.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use types::Moment;

use crate::{
    fingerprint::Fingerprint,
    word::{Evidence, Life, Standing, Word},
};

/// Targets that ended under a request before all instances hear that it is suspected.
const SUSPECT: usize = 2;
/// Targets that ended under a request before it is rejected.
const REJECT: usize = 3;
/// Ends so close together, of targets that ran a request side by side, have a cause outside of it: a
/// rack or a data centre fails, and a frequent request runs on all targets there.
const SAME_CAUSE: Duration = Duration::from_millis(100);
/// How long evidence counts, and how long a request is rejected for the first time.
const LIFE: Duration = Duration::from_secs(600);
/// The longest time that a request is rejected; each further time is twice as long as the one before.
const LIFE_MOST: Duration = Duration::from_secs(7_200);
/// Requests that are remembered at most.
const MOST: usize = 4_096;
/// Requests that are left where there were too many; the oldest are forgotten first.
const KEPT: usize = 3_584;

/// Who should hear a word.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// Those that sum the evidence up.
    Keepers,
    /// All instances.
    All,
}

/// One request under which targets ended.
#[derive(Clone, Debug)]
struct Case {
    round: u32,
    standing: Option<Standing>,
    /// Until when the standing holds.
    until: Moment,
    /// Lives of targets that ended under it.
    ends: Vec<End>,
}

/// A life of a target that ended under a request.
#[derive(Clone, Debug)]
struct End {
    life: Life,
    /// When it began to run the request, at the earliest.
    began: Moment,
    at: Moment,
}

impl End {
    /// Whether one failure may have ended both.
    fn shares_cause(&self, other: &Self) -> bool {
        let side_by_side = self.began < other.at && other.began < self.at;
        side_by_side && self.at.abs_diff(other.at) < SAME_CAUSE
    }
}

impl Case {
    const fn new() -> Self {
        Self {
            round: 1,
            standing: None,
            until: Duration::ZERO,
            ends: Vec::new(),
        }
    }

    fn holds(&self, now: Moment) -> Option<Standing> {
        self.standing.filter(|_| self.until > now)
    }

    /// Whether it was rejected for a time that has passed: one more end tells that nothing was mended.
    fn is_on_probation(&self, now: Moment) -> bool {
        self.standing == Some(Standing::Rejected)
            && self.until <= now
            && now < self.until + life(self.round)
    }

    fn is_over(&self, now: Moment) -> bool {
        self.holds(now).is_none() && !self.is_on_probation(now) && self.ends.is_empty()
    }

    /// Takes an end in; false if it says nothing new.
    fn add(&mut self, end: End) -> bool {
        let known = |known: &End| known.life == end.life || known.shares_cause(&end);
        if self.ends.iter().any(known) {
            return false;
        }
        self.ends.push(end);
        true
    }

    fn forget_old(&mut self, now: Moment) {
        self.ends.retain(|end| now.saturating_sub(end.at) < LIFE);
    }

    fn set(&mut self, now: Moment, standing: Standing) {
        self.standing = Some(standing);
        self.until = now + life(self.round);
    }

    fn word(&self, now: Moment, fingerprint: Fingerprint) -> Option<Word> {
        Some(Word {
            fingerprint,
            round: self.round,
            standing: self.holds(now)?,
            left: self.until.saturating_sub(now),
        })
    }
}

/// How long a standing of this round holds.
fn life(round: u32) -> Duration {
    let doubled = 2_u32.saturating_pow(round.saturating_sub(1));
    LIFE.saturating_mul(doubled).min(LIFE_MOST)
}

/// Requests under which targets ended, as far as one instance knows.
#[derive(Debug, Default)]
pub struct Ledger {
    cases: HashMap<Fingerprint, Case>,
    /// In the order in which they were first heard of.
    order: VecDeque<Fingerprint>,
}

impl Ledger {
    /// Knows of none.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a request must not be sent.
    #[must_use]
    pub fn rejects(&self, now: Moment, fingerprint: &Fingerprint) -> bool {
        let case = self.cases.get(fingerprint);
        case.is_some_and(|case| case.holds(now) == Some(Standing::Rejected))
    }

    /// Notes that a target ended under a request. Gives word for all instances, if that changes how
    /// the request is taken.
    pub fn ended(&mut self, now: Moment, evidence: Evidence) -> Option<Word> {
        let fingerprint = evidence.fingerprint;
        let at = now.saturating_sub(evidence.age);
        let end = End {
            life: evidence.life,
            began: at.saturating_sub(evidence.ran),
            at,
        };
        let case = self.case(now, fingerprint);
        case.forget_old(now);
        if !case.add(end) || case.holds(now) == Some(Standing::Rejected) {
            return None;
        }
        let again = case.is_on_probation(now);
        if again {
            case.round += 1;
        } else if case.standing == Some(Standing::Cleared) && case.ends.len() >= SUSPECT {
            // Overrules what was told of it before.
            case.round += 1;
            case.standing = None;
        }
        if again || case.ends.len() >= REJECT {
            case.set(now, Standing::Rejected);
        } else if case.ends.len() >= SUSPECT {
            case.set(now, Standing::Suspected);
        } else {
            return None;
        }
        case.word(now, fingerprint)
    }

    /// Notes that a target has served a request whole, and tells who should hear that it crashes
    /// nothing. None where nothing was held against it.
    pub fn served(&mut self, now: Moment, fingerprint: &Fingerprint) -> Option<(Word, Audience)> {
        let case = self.cases.get_mut(fingerprint)?;
        let audience = match case.holds(now) {
            Some(Standing::Rejected) => Audience::All,
            Some(Standing::Suspected) => Audience::Keepers,
            Some(Standing::Cleared) | None if case.ends.is_empty() => return None,
            Some(Standing::Cleared) | None => Audience::Keepers,
        };
        case.ends.clear();
        case.set(now, Standing::Cleared);
        Some((case.word(now, *fingerprint)?, audience))
    }

    /// Takes another instance's word; tells whether it is news.
    pub fn learn(&mut self, now: Moment, word: &Word) -> bool {
        if word.left.is_zero() {
            return false;
        }
        let case = self.case(now, word.fingerprint);
        let known = (case.round, case.holds(now));
        if known >= (word.round, Some(word.standing)) {
            return false;
        }
        case.round = word.round;
        case.standing = Some(word.standing);
        case.until = now + word.left.min(life(word.round));
        if word.standing == Standing::Cleared {
            case.ends.clear();
        }
        true
    }

    /// How all requests are taken.
    #[must_use]
    pub fn words(&self, now: Moment) -> Vec<Word> {
        let words = self.cases.iter();
        words
            .filter_map(|(fingerprint, case)| case.word(now, *fingerprint))
            .collect()
    }

    /// A digest of how all requests are taken: two instances with the same one know the same.
    #[must_use]
    pub fn mark(&self, now: Moment) -> u64 {
        let mark = |word: &Word| {
            let mut hasher = DefaultHasher::new();
            (word.fingerprint, word.round, word.standing as u8).hash(&mut hasher);
            hasher.finish()
        };
        self.words(now).iter().fold(0, |all, word| all ^ mark(word))
    }

    fn case(&mut self, now: Moment, fingerprint: Fingerprint) -> &mut Case {
        if !self.cases.contains_key(&fingerprint) {
            self.make_room(now);
            self.order.push_back(fingerprint);
        }
        self.cases.entry(fingerprint).or_insert_with(Case::new)
    }

    /// Forgets what is over, and the oldest of the rest where there are too many.
    fn make_room(&mut self, now: Moment) {
        if self.cases.len() < MOST {
            return;
        }
        self.cases.retain(|_, case| {
            case.forget_old(now);
            !case.is_over(now)
        });
        self.order.retain(|known| self.cases.contains_key(known));
        while self.cases.len() > KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.cases.remove(&oldest);
        }
    }
}
