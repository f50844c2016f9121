//! When the prompt of a generation has proved sound.

use std::time::Duration;

use front::quarantine::parts::Progress;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against clearing a part by the first event of an answer: an engine that crashes on a prompt may have
/// sent that one.
#[test]
fn a_prompt_proves_sound_only_some_time_after_the_first_event() {
    let mut progress = Progress::NONE;
    assert_eq!(progress.record_event(SECOND), None);
    assert_eq!(progress.record_event(SECOND + SECOND / 10), None);
    assert!(!progress.is_sound(SECOND + SECOND / 10));
    assert_eq!(progress.record_event(SECOND * 2), Some(SECOND));
    assert_eq!(progress.record_event(SECOND * 3), None);
}

/// Guards against clearing a part by a generation that was migrated: its engine has not begun an answer to the
/// prompt.
#[test]
fn a_resumed_generation_proves_nothing() {
    let mut progress = Progress::RESUMED;
    for second in 1..5 {
        assert_eq!(progress.record_event(SECOND * second), None);
    }
    assert_eq!(progress.began_here(), None);
}
