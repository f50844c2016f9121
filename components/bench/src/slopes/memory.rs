//! How much memory grows with peers, targets and permits.

use std::fmt::Write;

use policy::{Entry, Event};

use super::{decisions::Busy, heartbeats::Among, meter, world};

/// Memberships that are made, and peers in each.
const MEMBERSHIPS: usize = 8;
const PEERS: usize = 2100;

/// Bytes by which this process grows.
fn growth<T>(make: impl FnOnce() -> T) -> f64 {
    let before = meter::resident();
    let made = make();
    let after = meter::resident();
    // Kept for good: what is freed here would be used again by the next figure and not show.
    std::mem::forget(made);
    after - before
}

fn row(text: &mut String, name: &str, bytes: f64, count: usize) {
    let _ = writeln!(
        text,
        "| {name} | {:.1} MB | {count} | {:.0} |",
        bytes / 1e6,
        bytes / count as f64
    );
}

/// A table of what each costs.
pub fn table() -> String {
    let mut text = String::from("\n| what | grown | number | bytes each |\n|---|---|---|---|\n");
    // Small things that are freed at once leave room that others take, so there are many.
    let members = || {
        (0..MEMBERSHIPS)
            .map(|_| Among::new(PEERS, 6))
            .collect::<Vec<_>>()
    };
    row(
        &mut text,
        "peer in membership, 6 shards",
        growth(members),
        MEMBERSHIPS * PEERS,
    );
    row(
        &mut text,
        "target in a view",
        growth(|| world::spread(48_000)),
        48_000,
    );
    let entry = || {
        let mut entry = Entry::new(world::instance(1), "dc".into());
        let view = Event::ViewChanged(world::spread(48_000));
        entry.handle(world::NOW, &view, &mut Vec::new());
        entry
    };
    row(
        &mut text,
        "target at an entry, with the event's view",
        growth(entry),
        48_000,
    );
    row(
        &mut text,
        "target at its owner, idle",
        growth(|| Busy::new(8_000, 0)),
        8_000,
    );
    row(
        &mut text,
        "permit at its owner",
        growth(|| Busy::new(1000, 63)),
        63_000,
    );
    text
}
