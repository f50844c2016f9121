//! How many bytes messages take.

use std::fmt::Write;

use wire::{Done, Envelope, Held, Key, Message, Outcome};

use super::world::{self, NOW};

/// Bytes of one sealed envelope with these messages.
pub fn sealed(messages: Vec<Message>) -> usize {
    let envelope = Envelope {
        format: Envelope::FORMAT,
        from: world::instance(1),
        incarnation: 1 << 40,
        to: world::instance(2),
        sequence: 1_000_000,
        messages,
    };
    Key::new("key").seal(&envelope).len()
}

/// A table of all that is sent for one request.
pub fn table() -> String {
    let shard = world::shard(0);
    let grant = world::grant(1, &shard, &world::target(1, &shard), NOW);
    let done = Done {
        shard: shard.clone(),
        permit: grant.permit,
        target: grant.target.clone(),
        outcome: Outcome::Finished {
            produced: 700,
            first: NOW,
            took: NOW,
        },
    };
    let held = |count: usize| Held {
        shard: shard.clone(),
        epoch: 1 << 57,
        stamp: NOW,
        permits: vec![world::held(&grant); count],
    };
    let empty = sealed(Vec::new());
    let of = |message: Message| sealed(vec![message]) - empty;
    let ask = of(world::ask(1, &shard, NOW).into());
    let (none, many) = (of(held(0).into()), of(held(64).into()));
    let rows = [
        ("empty envelope", empty as f64),
        ("ask", ask as f64),
        ("grant", of(grant.clone().into()) as f64),
        ("done", of(done.into()) as f64),
        ("held, no permit", none as f64),
        ("held, each permit", (many - none) as f64 / 64.0),
    ];
    let mut text = String::from("\n| part | bytes |\n|---|---|\n");
    for (name, bytes) in rows {
        let _ = writeln!(text, "| {name} | {bytes:.0} |");
    }
    text
}
