//! Entries of another writer among those of the targets: none of them ends an instance, or costs another entry.

use std::time::Duration;

use smol::Timer;

use crate::support::{Caller, Instance, Platform, all_events, eventually};

/// Levels of nesting, each of one byte.
const NESTING: usize = 5_000;
/// Time in which a change of the targets is applied.
const CHANGE_TIME: Duration = Duration::from_millis(1_500);

/// A listing of a target of the plain service, with some fields replaced.
fn listing(fields: &[(&str, &str)]) -> String {
    let mut all = vec![
        ("service", "\"titles\""),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"dc-0\""),
        ("version", "\"v1\""),
        ("slots", "6"),
        ("state", "\"ready\""),
        ("cold_remaining_ms", "0"),
        ("sequence", "1"),
        ("born", "1"),
    ];
    for (name, value) in fields {
        all.retain(|(other, _)| other != name);
        all.push((name, value));
    }
    let fields: Vec<String> = all
        .iter()
        .map(|(name, value)| format!("{name:?}:{value}"))
        .collect();
    format!("{{{}}}", fields.join(","))
}

/// Values of rows that name no target to use.
fn odd_values() -> Vec<Vec<u8>> {
    let arrays = format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING));
    let objects = format!("{}1{}", "{\"a\":".repeat(NESTING), "}".repeat(NESTING));
    let mut all: Vec<Vec<u8>> = [&arrays, &objects, &"[".repeat(NESTING), &String::new()]
        .into_iter()
        .map(|text| text.clone().into_bytes())
        .collect();
    for field in [
        "slots",
        "models",
        "address",
        "born",
        "zone",
        "cold_remaining_ms",
    ] {
        all.push(listing(&[(field, &arrays)]).into_bytes());
        all.push(listing(&[(field, &objects)]).into_bytes());
    }
    for (field, value) in [
        ("slots", "4294967296"),
        ("slots", "1e400"),
        ("slots", "-1"),
        ("slots", "6.5"),
        ("born", "18446744073709551616"),
        ("born", "1e400"),
        ("born", "-1"),
        ("cold_remaining_ms", "1e999"),
        ("address", "\"127.0.0.1:65536\""),
        ("address", "\"127.0.0.1:99999999999999999999\""),
        ("address", "\"127.0.0.1:-1\""),
        ("address", "\"127.0.0.1:0\""),
        ("address", "\"127.0.0.1\""),
        ("address", "\"0.0.0.0:80\""),
        ("address", "\"[::]:80\""),
        ("address", "\"255.255.255.255:80\""),
        ("address", "\"224.0.0.1:80\""),
        ("address", "\"localhost:80\""),
        ("state", "\"sleeping\""),
        ("service", "null"),
    ] {
        all.push(listing(&[(field, value)]).into_bytes());
    }
    all.push(vec![0xff, 0xfe, 0, 0x80]);
    all.push(listing(&[("zone", "\"\\ud800\"")]).into_bytes());
    all
}

/// Checks that the instance runs and serves each kind of request at the first try.
async fn check_served(instance: &mut Instance, name: &str) {
    assert!(!instance.has_stopped(), "{name}");
    let caller = Caller::new("key-1");
    for number in 0..6 {
        let id = format!("{name}-{number}");
        let got = caller.call(instance.addr, "POST", "/grants/1", &id).await;
        assert_eq!(got.status, 200, "{id}: {}", got.body);
        let got = caller.generate(instance.addr, &format!("{id}-g"), 2).await;
        assert_eq!((got.status, got.body), (200, all_events(2)), "{id}");
    }
}

/// Guards against instances that end at an odd entry, stop following the list, or lose the entries beside it.
#[test]
fn odd_entries_cost_neither_an_instance_nor_the_other_entries() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let put_all = |prefix: &str| {
            for (number, value) in odd_values().iter().enumerate() {
                platform
                    .store
                    .put("servers", &format!("{prefix}-{number}"), value);
            }
            for id in ["\u{e9}", "a\nb", "a b", "\u{7f}"] {
                let key = format!("{prefix}{id}");
                platform.store.put("servers", &key, listing(&[]));
            }
        };
        // Rows that sort before and after those of the targets.
        put_all("a");
        put_all("z");
        let mut at_start = platform.instance("odd-at-start").await;
        check_served(&mut at_start, "at-start").await;
        let mut running = platform.instance("odd-running").await;
        put_all("m");
        Timer::after(CHANGE_TIME).await;
        for (name, instance) in [("at-start-2", &mut at_start), ("running", &mut running)] {
            check_served(instance, name).await;
        }
        // The list is followed still: a target leaves, and another one joins.
        platform.store.delete_row("servers", "p-1");
        let joined = platform
            .add_plain("p-3", "v1", platform_standin::plain::Fault::None)
            .await;
        platform.store.delete_row("servers", "p-2");
        Timer::after(CHANGE_TIME).await;
        for (name, instance) in [("at-start-3", &mut at_start), ("running-3", &mut running)] {
            check_served(instance, name).await;
        }
        assert!(joined.run_count() >= 12, "{}", joined.run_count());
    });
}

/// Guards against a target that is used by its last good entry although an odd one has replaced it, and
/// against one that is not used again.
#[test]
fn a_target_whose_entry_turns_odd_is_not_used_until_it_is_sound_again() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("odd-turned").await;
        let sound = platform.plain[0].listing("titles", "dc-0", "ready");
        let caller = Caller::new("key-1");
        for (number, odd) in odd_values().iter().enumerate().step_by(5) {
            platform.store.put("servers", "p-1", odd);
            Timer::after(CHANGE_TIME).await;
            let before = platform.plain[0].run_count();
            for call in 0..4 {
                let id = format!("odd-{number}-{call}");
                let got = caller.call(instance.addr, "POST", "/grants/1", &id).await;
                assert_eq!(got.status, 200, "{id}: {}", got.body);
            }
            let odd = String::from_utf8_lossy(&odd[..odd.len().min(200)]);
            assert_eq!(platform.plain[0].run_count(), before, "{odd}");
            platform.store.put("servers", "p-1", &sound);
            eventually("the target is used again", || async {
                let id = format!("again-{}", fastrand::u64(..));
                caller.call(instance.addr, "POST", "/grants/1", &id).await;
                platform.plain[0].run_count() > before
            })
            .await;
        }
    });
}
