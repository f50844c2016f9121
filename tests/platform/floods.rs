//! Targets, the store and other instances that send bytes without end in place of an answer.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use platform_standin::peer::Peer;
use smol::Timer;

use crate::support::{
    Caller, Flood, Instance, Mode, Platform, Proxy, ReceivedAnswer, check_peak_memory, eventually,
};

/// All kinds of floods.
pub const FLOODS: [Flood; 5] = [
    Flood::Line,
    Flood::Interim,
    Flood::Body,
    Flood::Comments,
    Flood::Events,
];
/// Requests of each kind at the same time during a flood.
pub const REQUESTS: usize = 40;
/// Generations at the same time after a flood.
const LATER_GENERATIONS: usize = 12;
/// Retries of a request whose connection was closed unread.
const MAX_RETRIES: usize = 10;
/// The longest time for an answer: the longest timeout of a route, and half a second.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(8_500);
/// Generations of 30 that an engine which answers none may lose: three until it is avoided, and one after each
/// time of that.
const MAX_LOST: usize = 7;
/// Time within which a change must be in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// Waits until all floods of a link have ended, which they do only as the instance closes connections.
pub async fn await_end(link: &Proxy) {
    eventually("all floods have ended", || async {
        link.ended_floods() == link.begun_floods()
    })
    .await;
}

/// Guards against an answer without end that holds a caller, a place at the target, a permit or memory,
/// and against a refusal that denies a run.
#[test]
fn targets_that_send_bytes_without_end_harm_no_other_request() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (instance, links) = platform.instance_with_links("floods-targets").await;
        for flood in FLOODS {
            let (plain, engine) = (&links.plain[0], &links.engines[0]);
            for link in [plain, engine] {
                link.set_mode(Mode::Flood(flood));
            }
            let senders = (0..REQUESTS).map(|number| {
                let (addr, name) = (instance.addr, format!("{flood:?}-{number}"));
                smol::spawn(async move { send_each_kind(addr, &name).await })
            });
            let senders: Vec<_> = senders.collect();
            let mut denied = BTreeSet::new();
            for sender in senders {
                denied.extend(sender.await.unwrap_or_else(|e| panic!("{flood:?}: {e}")));
            }
            let ran = |id: &str| {
                let plain = platform.plain.iter().map(|process| process.arrivals());
                let engines = platform.engines.iter().map(|engine| engine.arrivals());
                plain.chain(engines).any(|arrivals| {
                    let list = arrivals.list();
                    list.iter().any(|it| it.ran && *it.id == *id)
                })
            };
            for id in &denied {
                assert!(!ran(id), "{flood:?}: {id} is said not to have run, but has");
            }
            await_end(plain).await;
            await_end(engine).await;
            check_peak_memory(&instance, &format!("{flood:?}"));
            for link in [plain, engine] {
                link.set_mode(Mode::Pass);
            }
            served_again(&instance, &format!("{flood:?}")).await;
        }
    });
}

/// Sends a request of each kind; returns the ids of those that are said not to have run.
///
/// # Errors
/// Returns which one had no answer in time, or another answer than a sound one.
pub async fn send_each_kind(addr: SocketAddr, name: &str) -> Result<Vec<String>, String> {
    let caller = Caller::new("key-1");
    let mut denied = Vec::new();
    for kind in ["titles", "grants", "drafts"] {
        let (id, sent_at) = (format!("{name}-{kind}"), Instant::now());
        let answer = match kind {
            "titles" => caller.call(addr, "GET", "/titles/1", &id).await,
            "grants" => caller.call(addr, "POST", "/grants/1", &id).await,
            _ => caller.generate(addr, &id, 8).await,
        };
        let took = sent_at.elapsed();
        if took >= MAX_ANSWER_TIME {
            return Err(format!("{id}: {} after {took:?}", answer.status));
        }
        match answer.status {
            200 | 502 | 504 => {}
            // An instance that is short of processor time closes connections unread; the request must not run.
            0 => denied.push(id),
            503 if answer.body.contains("not-run") => denied.push(id),
            status => return Err(format!("{id}: {status} after {took:?} {}", answer.body)),
        }
    }
    Ok(denied)
}

/// Checks that requests of each kind are served, several at a time.
pub async fn served_again(instance: &Instance, name: &str) {
    let caller = Caller::new("key-1");
    eventually("all kinds are served again", || async {
        let id = format!("{name}-probe-{}", fastrand::u64(..));
        let plain = caller.call(instance.addr, "POST", "/grants/1", &id).await;
        let id = format!("{name}-probe-{}", fastrand::u64(..));
        let generation = caller.generate(instance.addr, &id, 2).await;
        plain.status == 200 && generation.status == 200 && generation.is_complete
    })
    .await;
    let senders = (0..LATER_GENERATIONS).map(|number| {
        let (addr, id) = (instance.addr, format!("{name}-again-{number}"));
        smol::spawn(async move {
            let caller = Caller::new("key-1");
            let mut answer = caller.generate(addr, &id, 2).await;
            for _ in 0..MAX_RETRIES {
                if answer.status != 0 {
                    break;
                }
                Timer::after(Duration::from_millis(100)).await;
                answer = caller.generate(addr, &id, 2).await;
            }
            (id, answer)
        })
    });
    for sender in senders.collect::<Vec<_>>() {
        let (id, answer) = sender.await;
        assert_eq!(answer.status, 200, "{id}: {}", answer.body);
        assert!(answer.is_complete, "{id}");
    }
}

/// Requests a title, again if the connection was closed unread.
async fn get_title(caller: &Caller, instance: &Instance, id: &str) -> ReceivedAnswer {
    let mut answer = ReceivedAnswer::default();
    for _ in 0..MAX_RETRIES {
        answer = caller.call(instance.addr, "GET", "/titles/1", id).await;
        if answer.status != 0 {
            break;
        }
        Timer::after(Duration::from_millis(100)).await;
    }
    answer
}

/// Guards against a store whose answers do not end: callers are served meanwhile, and a change after the
/// flood is in force in time.
#[test]
fn a_store_that_sends_bytes_without_end_stops_no_instance() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (instance, link) = platform.instance_with_store_link("floods-store").await;
        let caller = Caller::new("key-1");
        for (number, flood) in FLOODS.into_iter().enumerate() {
            link.set_mode(Mode::Flood(flood));
            for call in 0..15 {
                let id = format!("{flood:?}-{call}");
                let got = get_title(&caller, &instance, &id).await;
                assert_eq!(got.status, 200, "{id}: {}", got.body);
                Timer::after(Duration::from_millis(100)).await;
            }
            check_peak_memory(&instance, &format!("{flood:?}"));
            link.set_mode(Mode::Pass);
            await_end(&link).await;
            let key = format!("key-of-{number}");
            platform.configure(&["key-1", &key]);
            let newcomer = Caller::new(&key);
            eventually("the new key is accepted", || async {
                let id = format!("{flood:?}-new-{}", fastrand::u64(..));
                let got = newcomer.call(instance.addr, "GET", "/titles/1", &id).await;
                got.status == 200
            })
            .await;
        }
    });
}

/// Guards against an instance whose answers do not end, and which the others follow and ask for engines.
#[test]
fn an_instance_that_sends_bytes_without_end_delays_no_change_and_no_request() {
    smol::block_on(async {
        for flood in FLOODS {
            let platform = Platform::start().await;
            let faulty = Peer::start_behind_proxy(&platform.store, "faulty").await;
            faulty.set_mode(Mode::Flood(flood));
            let mut instances = Vec::new();
            for number in 0..3 {
                let name = format!("floods-{flood:?}-{number}").to_lowercase();
                instances.push(platform.instance(&name).await);
            }
            let caller = Caller::new("key-1");
            for (number, instance) in instances.iter().enumerate() {
                let id = format!("g-{number}");
                let got = caller.generate(instance.addr, &id, 4).await;
                assert_eq!(got.status, 200, "{flood:?}: {}", got.body);
            }
            platform.configure(&["key-1", "key-2"]);
            Timer::after(CONFIGURATION_TIME).await;
            let newcomer = Caller::new("key-2");
            for (number, instance) in instances.iter().enumerate() {
                let id = format!("new-{number}");
                let got = get_title(&newcomer, instance, &id).await;
                assert_eq!(got.status, 200, "{flood:?}, {number}: {}", got.body);
                check_peak_memory(instance, &format!("{flood:?}"));
            }
            await_end(&faulty).await;
        }
    });
}

/// Guards against generations that go again and again to an engine which answers none.
#[test]
fn an_engine_that_loses_each_generation_is_avoided_while_the_other_serves() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (instance, links) = platform.instance_with_links("floods-avoided").await;
        links.engines[0].set_mode(Mode::Flood(Flood::Line));
        let caller = Caller::new("key-1");
        let mut lost = 0;
        for number in 0..30 {
            let got = caller
                .generate(instance.addr, &format!("g-{number}"), 2)
                .await;
            lost += usize::from(got.status != 200);
        }
        assert!(lost <= MAX_LOST, "{lost}");
    });
}
