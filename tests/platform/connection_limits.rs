//! Targets that accept few connections and reset those beyond, sent many requests at the same time.

use std::{net::SocketAddr, time::Duration};

use platform_standin::proxy::Proxy;
use smol::{Timer, future};

use crate::support::{Caller, Instance, Links, Mode, Platform, ReceivedAnswer};

/// Callers that send requests at the same time.
const CALLERS: usize = 24;
/// Requests of each kind that each of them sends.
const REQUESTS: usize = 12;
/// Events of a generation.
const EVENTS: u32 = 4;
/// Connections that each target accepts, one after the other.
const LIMITS: [usize; 4] = [2, 0, 4, 1];
/// Time between two changes of the limit.
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// Time for the instances to find out which targets they reach.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Sends calls that must run once and generations, one after the other; returns their ids and answers.
async fn send(to: SocketAddr, name: String) -> Vec<(String, ReceivedAnswer)> {
    let caller = Caller::new("key-1");
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{name}-{number}");
        let got = caller.call(to, "POST", "/grants/1", &id).await;
        answers.push((id.clone(), got));
        let id = format!("{id}-g");
        let got = caller.generate(to, &id, EVENTS).await;
        answers.push((id, got));
    }
    answers
}

fn all(links: &Links) -> impl Iterator<Item = &Proxy> {
    links.plain.iter().chain(&links.engines)
}

/// Changes how many connections the targets accept, and loses those that are open, until it is dropped.
async fn change_limits(links: &Links) {
    for limit in LIMITS.into_iter().cycle() {
        all(links).for_each(|link| link.set_connection_limit(Some(limit)));
        links.reset_connections();
        Timer::after(CHANGE_INTERVAL).await;
    }
}

/// Sends many requests at the same time to `entry` while the targets behind `links` change their limits.
async fn check_promises(platform: &Platform, entry: &Instance, links: &Links) {
    let addr = entry.addr;
    let sending: Vec<_> = (0..CALLERS)
        .map(|number| smol::spawn(send(addr, format!("c-{number}"))))
        .collect();
    let mut answers = Vec::new();
    let collect = async {
        for each in sending {
            answers.extend(each.await);
        }
    };
    future::or(collect, change_limits(links)).await;
    let broken = answers
        .iter()
        .map(|(id, got)| platform.check_truthful(id, got));
    let broken: Vec<String> = broken.filter_map(Result::err).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    let served = answers.iter().filter(|(_, got)| got.status == 200).count();
    let refused = answers.iter().filter(|(_, got)| got.status == 503).count();
    assert!(
        served > 0 && refused > 0,
        "{served} served, {refused} refused"
    );
}

/// Guards against taking a connection that a target has reset at its limit for a proof that nothing was sent: the
/// request is sent again, or its caller is promised that it has not run.
#[test]
fn requests_to_targets_at_their_connection_limit_run_once_and_are_refused_truthfully() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (instance, links) = platform.instance_with_links("limit-direct").await;
        check_promises(&platform, &instance, &links).await;
    });
}

/// Guards against the same for requests that another instance sends.
#[test]
fn relayed_requests_to_targets_at_their_connection_limit_are_refused_truthfully() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (entry, cut_links) = platform.instance_with_links("limit-entry").await;
        let (_relay, links) = platform.instance_with_links("limit-relay").await;
        cut_links.set_mode(Mode::RefuseNew);
        cut_links.reset_connections();
        Timer::after(CONTACT_TIME).await;
        check_promises(&platform, &entry, &links).await;
        assert!(entry.events().contains(&"RequestRelayed".to_owned()));
    });
}
