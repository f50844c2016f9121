//! What instances keep in memory for callers, targets and each other, on the smallest machines.

use std::net::SocketAddr;

use platform_standin::plain::{Fault, LARGE_ANSWER_BYTES};

use crate::{
    floods::{FLOODS, REQUESTS, await_end, send_each_kind, served_again},
    support::{Caller, Mode, Platform, check_peak_memory, read_answer},
};

/// Guards against answers without end that together take more memory than the machine has, while each of
/// them is within its limit.
#[test]
fn answers_without_end_from_all_targets_stay_within_the_memory() {
    smol::block_on(async {
        for flood in FLOODS {
            let platform = Platform::start().await;
            let name = format!("memory-{flood:?}").to_lowercase();
            let (instance, links) = platform.instance_with_links(&name).await;
            links.set_mode(Mode::Flood(flood));
            for id in send_all(instance.addr, &format!("{flood:?}")).await {
                assert_eq!(platform.runs(&id), 0, "{flood:?}: {id} has run");
            }
            for link in links.plain.iter().chain(&links.engines) {
                await_end(link).await;
            }
            check_peak_memory(&instance, &format!("{flood:?}"));
            links.set_mode(Mode::Pass);
            served_again(&instance, &format!("{flood:?}")).await;
        }
    });
}

/// Guards against large answers whose callers do not read them, and which together take more memory than the
/// machine has or leave none for other requests.
#[test]
fn large_answers_that_nobody_reads_leave_memory_for_other_requests() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("memory-unread").await;
        for process in &platform.plain {
            process.set_fault(Fault::Large);
        }
        let caller = Caller::new("key-1");
        let heads = (0..REQUESTS).map(|number| {
            let (addr, id) = (instance.addr, format!("large-{number}"));
            smol::spawn(async move {
                let caller = Caller::new("key-1");
                caller.send(addr, "GET", "/titles/1", &id, 0).await
            })
        });
        let mut unread = Vec::new();
        for head in heads.collect::<Vec<_>>() {
            unread.push(head.await);
        }
        for process in &platform.plain {
            process.set_fault(Fault::None);
        }
        for number in 0..REQUESTS {
            let id = format!("small-{number}");
            let got = caller.call(instance.addr, "POST", "/grants/1", &id).await;
            assert_eq!(got.status, 200, "{id}: {}", got.body);
        }
        let mut complete = 0;
        for resp in unread.into_iter().flatten() {
            let got = read_answer(resp).await;
            match got.status {
                200 => {
                    assert_eq!(got.body.len(), LARGE_ANSWER_BYTES);
                    complete += 1;
                }
                status => assert_eq!(status, 502, "{}", got.body),
            }
        }
        assert!(complete > 0, "no large answer arrives");
        check_peak_memory(&instance, "unread answers");
    });
}

/// Guards against answers without end that pass through another instance, and that the two keep.
#[test]
fn relayed_answers_without_end_stay_within_the_memory_of_both_instances() {
    smol::block_on(async {
        for flood in FLOODS {
            let platform = Platform::start().await;
            let name = format!("memory-relayed-{flood:?}").to_lowercase();
            let (relay, floods) = platform.instance_with_links(&name).await;
            let (instance, cut) = platform.instance_with_links(&format!("{name}-cut")).await;
            served_again(&instance, "before").await;
            floods.set_mode(Mode::Flood(flood));
            cut.set_mode(Mode::RefuseNew);
            cut.reset_connections();
            let ids = send_all(instance.addr, &format!("{flood:?}")).await;
            for id in ids {
                assert_eq!(platform.runs(&id), 0, "{flood:?}: {id} has run");
            }
            check_peak_memory(&relay, &format!("{flood:?}, relay"));
            check_peak_memory(&instance, &format!("{flood:?}, relayed"));
        }
    });
}

/// Sends requests of each kind from many callers at the same time; returns the ids of those that are said not
/// to have run.
async fn send_all(addr: SocketAddr, name: &str) -> Vec<String> {
    let senders = (0..REQUESTS).map(|number| {
        let name = format!("{name}-{number}");
        smol::spawn(async move { send_each_kind(addr, &name).await })
    });
    let mut denied = Vec::new();
    for sender in senders.collect::<Vec<_>>() {
        denied.extend(sender.await.unwrap_or_else(|e| panic!("{e}")));
    }
    denied
}
