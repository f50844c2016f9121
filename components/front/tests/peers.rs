//! Which members instances pass on to one another.

use std::net::SocketAddr;

use front::{
    Member, Topic,
    instances::peers::{Members, Peers},
};
use net::Client;

fn member(name: &str, started_at: u64) -> Member {
    Member {
        id: name.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        started_at,
        capacity: 250,
        data_centre: "a".into(),
    }
}

fn members_since(peers: &Peers, revision: u64) -> (Vec<String>, u64) {
    let Members { members, revision } = peers.members_since(revision);
    (members.iter().map(|m| m.id.to_string()).collect(), revision)
}

/// Hundreds of instances sync with one of them every second. With the whole list in each reply,
/// members would take more bandwidth than everything else.
#[test]
fn a_peer_with_a_current_revision_gets_only_new_members() {
    let peers = Peers::new(member("i-0", 1), Client::new());
    peers.mark_seen(member("i-1", 1));
    peers.mark_seen(member("i-2", 1));
    let (all, revision) = members_since(&peers, 0);
    assert_eq!(all, ["i-1", "i-2", "i-0"]);
    peers.mark_seen(member("i-1", 1));
    assert_eq!(members_since(&peers, revision), (vec![], revision));
    peers.mark_seen(member("i-3", 1));
    let (new, later) = members_since(&peers, revision);
    assert_eq!(new, ["i-3"]);
    assert!(later > revision);
}

/// An instance restarts under its id, perhaps at another address. Peers that know the earlier
/// incarnation must get the new one.
#[test]
fn a_new_incarnation_of_a_member_is_passed_on() {
    let peers = Peers::new(member("i-0", 1), Client::new());
    peers.mark_seen(member("i-1", 1));
    let (_, revision) = members_since(&peers, 0);
    peers.mark_seen(member("i-1", 2));
    assert_eq!(members_since(&peers, revision).0, ["i-1"]);
}

/// A restarted owner counts revisions from zero again. A peer that still uses a revision of the
/// earlier incarnation must not miss the members seen since.
#[test]
fn a_revision_of_an_earlier_incarnation_gets_all_members() {
    let peers = Peers::new(member("i-0", 2), Client::new());
    peers.mark_seen(member("i-1", 1));
    assert_eq!(members_since(&peers, 300).0, ["i-1", "i-0"]);
}

/// When all instances start for the first time, hundreds greet the same three seeds. Replies with
/// the whole list would saturate a narrow link for longer than the timeout.
#[test]
fn a_new_instance_gets_only_the_leading_members() {
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
