//! What instances tell one another about instances.

use std::net::SocketAddr;

use front::{
    Member, Topic,
    instances::peers::{Members, Peers},
};
use net::Client;

fn member(name: &str, born: u64) -> Member {
    Member {
        id: name.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        started_at: born,
        capacity: 250,
        data_centre: "a".into(),
    }
}

fn told(peers: &Peers, revision: u64) -> (Vec<String>, u64) {
    let Members { members, revision } = peers.members_since(revision);
    (members.iter().map(|m| m.id.to_string()).collect(), revision)
}

/// Hundreds of instances ask one of them every second who else is there. Told everything each time,
/// they would spend more bytes on that than on all else.
#[test]
fn who_knows_the_members_is_told_of_new_ones_only() {
    let peers = Peers::new(member("i-0", 1), Client::new());
    peers.mark_seen(member("i-1", 1));
    peers.mark_seen(member("i-2", 1));
    let (all, mark) = told(&peers, 0);
    assert_eq!(all, ["i-1", "i-2", "i-0"]);
    peers.mark_seen(member("i-1", 1));
    assert_eq!(told(&peers, mark), (vec![], mark));
    peers.mark_seen(member("i-3", 1));
    let (new, later) = told(&peers, mark);
    assert_eq!(new, ["i-3"]);
    assert!(later > mark);
}

/// An instance starts again under its name, perhaps at another address. Who knew its former life must
/// hear of the new one.
#[test]
fn a_later_life_of_a_member_is_told() {
    let peers = Peers::new(member("i-0", 1), Client::new());
    peers.mark_seen(member("i-1", 1));
    let (_, mark) = told(&peers, 0);
    peers.mark_seen(member("i-1", 2));
    assert_eq!(told(&peers, mark).0, ["i-1"]);
}

/// An owner starts again and counts from the beginning; who kept its mark from before was told nothing
/// of the members that it has heard since.
#[test]
fn who_asks_with_a_mark_of_a_former_life_is_told_all() {
    let peers = Peers::new(member("i-0", 2), Client::new());
    peers.mark_seen(member("i-1", 1));
    assert_eq!(told(&peers, 300).0, ["i-1", "i-0"]);
}

/// At a first start hundreds ask the same three instances who else there is. Told all, they kept a
/// narrow link full for longer than any of them waits.
#[test]
fn a_newcomer_is_told_of_those_that_lead_only() {
    let peers = Peers::new(member("i-0", 1), Client::new());
    for n in 1..200 {
        peers.mark_seen(member(&format!("i-{n}"), 1));
    }
    let Members { members, .. } = peers.leaders();
    assert!(members.len() <= 25, "{}", members.len());
    for topic in [Topic::Operator, Topic::Targets] {
        let first = &peers.readers(topic)[0];
        assert!(members.iter().any(|member| member.id == *first));
    }
}
