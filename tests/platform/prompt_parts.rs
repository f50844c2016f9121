//! Prompts with a part that crashes the engines that begin to answer them, sent to several instances as
//! real processes.

use std::time::Duration;

use platform_standin::{CRASHING_PART, engine::Engine};
use smol::Timer;

use crate::support::{Caller, Instance, Platform, ReceivedAnswer, eventually, status};

/// Time within which a crash seen by one instance is known to all that can reach each other.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes after which the time begins in which all instances must know the part.
const KNOWN_CRASHES: usize = 5;
/// Requests with the part that may reach engines later than that.
const MAX_LATE_REQUESTS: usize = 3;
/// Time until the listing of a crashed engine expires.
const LISTING_EXPIRY: Duration = Duration::from_millis(250);
/// Events of one answer.
const EVENTS: u32 = 10;

/// Starts a platform with this number of engines and three instances.
async fn start(name: &str, engine_count: usize) -> (Platform, Vec<Engine>, Vec<Instance>) {
    let platform = Platform::start().await;
    let mut engines = platform.engines.clone();
    for number in engines.len() + 1..=engine_count {
        engines.push(platform.add_engine(&format!("e-{number}")).await);
    }
    let mut instances = Vec::new();
    for number in 0..3 {
        instances.push(platform.instance(&format!("{name}-{number}")).await);
    }
    (platform, engines, instances)
}

/// Counts the engines that have crashed, and removes their listings.
fn crashed_count(platform: &Platform, engines: &[Engine]) -> usize {
    let crashed: Vec<&Engine> = engines.iter().filter(|e| e.has_crashed()).collect();
    for engine in &crashed {
        platform.store.delete_row("servers", &engine.id());
    }
    crashed.len()
}

async fn generate(to: &Instance, id: &str, prompt: &str) -> ReceivedAnswer {
    Caller::new("key-1")
        .generate_with_prompt(to.addr, id, EVENTS, prompt)
        .await
}

/// Sends requests with the crashing part, no two alike, to the instances in turn, each beside a sound one
/// with the same key and the same first part. Returns the answers to both.
async fn send_pairs(
    platform: &Platform,
    engines: &[Engine],
    instances: &[Instance],
    name: &str,
    times: usize,
) -> (Vec<ReceivedAnswer>, Vec<ReceivedAnswer>) {
    let (mut crashing, mut sound) = (Vec::new(), Vec::new());
    for number in 0..times {
        let to = &instances[number % instances.len()];
        let prompt = format!("aa01:40,{CRASHING_PART}:30,c{number}:9");
        crashing.push(generate(to, &format!("x-{name}-{number}"), &prompt).await);
        Timer::after(LISTING_EXPIRY).await;
        crashed_count(platform, engines);
        Timer::after(LISTING_EXPIRY).await;
        let to = &instances[(number + 1) % instances.len()];
        let prompt = format!("aa01:40,dd{number}:30,d{number}:9");
        sound.push(generate(to, &format!("s-{name}-{number}"), &prompt).await);
    }
    (crashing, sound)
}

fn served_count(answers: &[ReceivedAnswer]) -> usize {
    let is_served = |got: &&ReceivedAnswer| got.status == 200 && got.is_complete;
    answers.iter().filter(is_served).count()
}

/// Guards against requests that differ but for one part of their prompts and crash one engine after the
/// other, because evidence counts against whole requests only.
#[test]
fn a_part_of_prompts_that_crashed_five_engines_reaches_no_more_than_three_others() {
    smol::block_on(async {
        let (platform, engines, instances) = start("part", 20).await;
        send_pairs(&platform, &engines, &instances, "first", KNOWN_CRASHES).await;
        Timer::after(CONTACT_TIME).await;
        let before = crashed_count(&platform, &engines);
        let (late, sound) = send_pairs(&platform, &engines, &instances, "late", 9).await;
        let crashed = crashed_count(&platform, &engines);
        assert!(
            crashed - before <= MAX_LATE_REQUESTS,
            "{before}, {crashed}: {late:?}"
        );
        assert_eq!(served_count(&sound), sound.len(), "{sound:?}");
    });
}

/// Guards against losing the verdict on a part when all instances are killed: the part would crash as many
/// engines once more.
#[test]
fn a_verdict_on_a_part_persists_when_all_instances_are_killed() {
    smol::block_on(async {
        let (platform, engines, mut instances) = start("part-all", 20).await;
        send_pairs(&platform, &engines, &instances, "first", KNOWN_CRASHES).await;
        let before = crashed_count(&platform, &engines);
        Timer::after(CONTACT_TIME).await;
        instances.iter_mut().for_each(Instance::kill);
        instances.iter_mut().for_each(Instance::restart);
        for instance in &instances {
            let readiness = instance.readiness;
            eventually("it is ready again", || async move {
                status(readiness, "/v1/readiness").await == Some(200)
            })
            .await;
        }
        let (late, sound) = send_pairs(&platform, &engines, &instances, "late", 6).await;
        let crashed = crashed_count(&platform, &engines);
        assert!(
            crashed - before <= MAX_LATE_REQUESTS,
            "{before}, {crashed}: {late:?}"
        );
        assert_eq!(served_count(&sound), sound.len(), "{sound:?}");
    });
}
