//! Copies of refusals that come late, on the connection that carried the refused request.

use smol::Timer;

use crate::support::{
    Caller, Instance, Links, MODE_TIME, Mode, Platform, all_events, cut_off, served_again,
};

/// How many batches of how many requests at the same time are sent. One at a time uses the same connection again
/// and again; generations go to further engines only beside others.
const BATCHES: [(usize, usize); 2] = [(40, 1), (12, 16)];

/// Lists each target under the ids of earlier starts too, at the same address, as after restarts while the earlier
/// entries last. It refuses what is sent to them.
fn list_earlier_starts(platform: &Platform, instances: &[(&Instance, &Links)]) {
    for start in 0..2 {
        for (number, process) in platform.plain.iter().enumerate() {
            let id = format!("{}-before-{start}", process.id());
            for (instance, links) in instances {
                let addr = links.plain[number].addr;
                instance.endpoint.set_address(&id, addr);
            }
            let listing = process.listing("titles", &format!("dc-{number}"), "ready");
            platform.store.put("servers", &id, listing);
        }
        for (number, engine) in platform.engines.iter().enumerate() {
            let id = format!("{}-before-{start}", engine.id());
            for (instance, links) in instances {
                let addr = links.engines[number].addr;
                instance.endpoint.set_address(&id, addr);
            }
            let listing = engine.listing("drafts", &format!("dc-{number}"), "ready");
            platform.store.put("servers", &id, listing);
        }
    }
}

/// Sends calls that must run once and generations, and returns what breaks the promises.
async fn send_both_kinds(platform: &Platform, instance: &Instance) -> Vec<String> {
    let addr = instance.addr;
    let mut broken = Vec::new();
    let sizes = BATCHES.map(|(batches, size)| vec![size; batches]).concat();
    for (batch, size) in sizes.into_iter().enumerate() {
        let requests: Vec<_> = (0..size)
            .map(|number| {
                let id = format!("copied-{batch}-{number}");
                smol::spawn(async move {
                    let caller = Caller::new("key-1");
                    let got = if (batch + number) % 2 == 0 {
                        caller.call(addr, "POST", "/grants/1", &id).await
                    } else {
                        caller.generate(addr, &id, 2).await
                    };
                    (id, got)
                })
            })
            .collect();
        for request in requests {
            let (id, got) = request.await;
            broken.extend(platform.check_truthful(&id, &got).err());
            let is_expected = got.body == all_events(2) || got.body == "POST /grants/1 a body";
            if got.status == 200 && got.is_complete && !is_expected {
                broken.push(format!("{id}: got {}", got.body));
            }
        }
    }
    broken
}

/// Guards against taking the copy of a refusal for the answer to a request that was sent again over the same
/// connection, under another id of the process at its end: it runs twice, or its caller is told that it has not run.
#[test]
fn a_late_copy_of_a_refusal_does_not_answer_the_next_sending_of_its_request() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (instance, links) = platform.instance_with_links("copied-direct").await;
        served_again(&instance, "copied-direct").await;
        list_earlier_starts(&platform, &[(&instance, &links)]);
        links.set_mode(Mode::CopyRefusals);
        Timer::after(MODE_TIME).await;
        let broken = send_both_kinds(&platform, &instance).await;
        assert!(broken.is_empty(), "{broken:#?}");
    });
}

/// Guards against the same where another instance sends the request.
#[test]
fn a_late_copy_of_a_refusal_does_not_answer_the_next_sending_of_a_relayed_request() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (entry, cut_links) = platform.instance_with_links("copied-entry").await;
        let (relay, links) = platform.instance_with_links("copied-relay").await;
        served_again(&entry, "copied-entry").await;
        list_earlier_starts(&platform, &[(&entry, &cut_links), (&relay, &links)]);
        cut_off(&entry, &cut_links).await;
        links.set_mode(Mode::CopyRefusals);
        Timer::after(MODE_TIME).await;
        let broken = send_both_kinds(&platform, &entry).await;
        assert!(broken.is_empty(), "{broken:#?}");
        assert!(entry.events().contains(&"RequestRelayed".to_owned()));
    });
}
