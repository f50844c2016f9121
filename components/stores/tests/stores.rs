//! The clients of the object store and of the directory.

use std::net::SocketAddr;

use bytes::Bytes;
use net::Client;
use proptest::prelude::*;
use standins::{
    control::DirectoryEntry,
    platform::{Faults, start},
};
use stores::{Directory, Objects, PlatformError, S3Objects, SliceDirectory, slices::read_listing};
use types::ServingState;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[test]
fn an_object_is_read_back_and_an_outage_is_reported() {
    smol::block_on(async {
        let running = start(any_port(), Faults::default())
            .await
            .expect("a free port");
        let base = format!("http://{}/objects", running.addr);
        let objects = S3Objects::new(Client::new(), &base, None).expect("a valid address");
        assert_eq!(objects.get("a/b").await, Ok(None));
        let body = Bytes::from_static(&[0, 255, 10]);
        assert_eq!(objects.put("a/b", body.clone()).await, Ok(()));
        assert_eq!(objects.get("a/b").await, Ok(Some(body.clone())));
        running.standin.set_faults(Faults {
            objects_down: Some(true),
            ..Faults::default()
        });
        let put = objects.put("a/b", body).await;
        assert!(
            matches!(put, Err(PlatformError::Unavailable { .. })),
            "{put:?}"
        );
        let get = objects.get("a/b").await;
        assert!(
            matches!(get, Err(PlatformError::Unavailable { .. })),
            "{get:?}"
        );
    });
}

#[test]
fn the_directory_lists_members_and_targets() {
    smol::block_on(async {
        let running = start(any_port(), Faults::default())
            .await
            .expect("a free port");
        let listed = |name: &str, service: &str, leaving| DirectoryEntry {
            name: name.into(),
            service: service.into(),
            zone: "amman-1".into(),
            addr: "127.0.0.1:7001".into(),
            incarnation: 12,
            leaving,
        };
        running.standin.register(listed("i1", "celerystand", false));
        running.standin.register(listed("t1", "catalogue", true));
        let base = format!("http://{}", running.addr);
        let directory = SliceDirectory::new(Client::new(), &base, None).expect("a valid address");
        let list = directory.list().await.expect("the directory is up");
        assert_eq!(list.members.len(), 1);
        assert_eq!(&*list.members[0].id, "i1");
        assert_eq!(&*list.members[0].data_centre, "amman-1");
        assert_eq!(list.targets.len(), 1);
        assert_eq!(&*list.targets[0].service, "catalogue");
        assert_eq!(list.targets[0].state, ServingState::Leaving);
        assert_eq!(list.targets[0].incarnation, 12);
        assert_eq!(list.targets[0].addr.port(), 7001);
    });
}

const VALID_SLICE: &str = r#"{"metadata":{"labels":{"kubernetes.io/service-name":"s"}},
    "ports":[{"name":"http","port":80}],
    "endpoints":[{"addresses":["10.0.0.1"],"zone":"z","targetRef":{"name":"good","uid":"abc"}},
                 {"addresses":[],"zone":"z","targetRef":{"name":"no-address"}},
                 {"addresses":["x"],"zone":"z","targetRef":{"name":"no-ip"}},
                 {"addresses":["10.0.0.2"],"targetRef":{"name":"no-zone"}},
                 7]}"#;

// Another team's controller writes an entry that can't be decoded. If that hid the others, all
// targets of the service would disappear at once.
#[test]
fn an_invalid_entry_does_not_hide_others() {
    let bad = r#"{"metadata":{"labels":{"kubernetes.io/service-name":"s"}},"ports":"none"}"#;
    let unlabelled = r#"{"metadata":{},"endpoints":null,"ports":null}"#;
    let list = format!(r#"{{"items":[null,{bad},{unlabelled},[],{VALID_SLICE}]}}"#);
    let listing = read_listing(list.as_bytes()).expect("it is a list");
    let names: Vec<&str> = listing.targets.iter().map(|t| &*t.id).collect();
    assert_eq!(names, ["good"]);
    assert_ne!(listing.targets[0].incarnation, 0);
}

/// Guards against an entry whose nesting or numbers stop the reading of the whole list, and against one whose
/// odd port for another purpose hides its endpoints.
#[test]
fn an_entry_that_no_decoder_takes_does_not_hide_others() {
    let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let odd_fields = [
        format!(r#""spec":{nested}"#),
        format!(r#""endpoints":{nested}"#),
        format!(r#""ports":{nested}"#),
        format!(r#""metadata":{{"labels":{nested}}}"#),
        r#""spec":1e400"#.into(),
        r#""ports":[{"name":"http","port":1e400}]"#.into(),
        r#""ports":[{"name":"http","port":65536}]"#.into(),
        r#""ports":[{"name":"http","port":0}]"#.into(),
    ];
    for field in odd_fields {
        let odd = VALID_SLICE.replace("good", "odd");
        let odd = odd.replacen('{', &format!("{{{field},"), 1);
        for items in [
            format!("{odd},{VALID_SLICE}"),
            format!("{VALID_SLICE},{odd}"),
        ] {
            let list = format!(r#"{{"items":[{items}]}}"#);
            let listing = read_listing(list.as_bytes()).expect("it is a list");
            assert!(listing.targets.iter().any(|target| &*target.id == "good"));
            assert!(listing.targets.iter().all(|target| target.addr.port() != 0));
        }
    }
    let endpoint = format!(r#""endpoints":[{nested},1e400,"#);
    let list = VALID_SLICE.replace(r#""endpoints":["#, &endpoint);
    let list = list.replace(
        r#"[{"name":"http""#,
        r#"[{"name":"x","port":70000},{"name":"http""#,
    );
    let listing = read_listing(format!(r#"{{"items":[{list}]}}"#).as_bytes());
    assert_eq!(listing.expect("it is a list").targets.len(), 1);
}

// While the platform moves an endpoint from one slice to another, the endpoint is in both, and
// perhaps only one of them says that it is leaving. New work sent to it would be interrupted.
#[test]
fn an_endpoint_in_two_slices_is_leaving_if_either_says_so() {
    let leaving = VALID_SLICE.replace(
        r#""zone":"z""#,
        r#""zone":"z","conditions":{"terminating":true}"#,
    );
    for list in [[VALID_SLICE, &leaving], [&leaving, VALID_SLICE]] {
        let text = format!(r#"{{"items":[{},{}]}}"#, list[0], list[1]);
        let listing = read_listing(text.as_bytes()).expect("it is a list");
        assert_eq!(listing.targets.len(), 1);
        assert_eq!(listing.targets[0].state, ServingState::Leaving);
    }
}

proptest! {
    #[test]
    fn no_bytes_make_the_decoder_of_lists_panic(text in any::<Vec<u8>>(), at in 0..600_usize) {
        let _ = read_listing(&text);
        // The same for a valid list with some bytes replaced.
        let mut list = format!(r#"{{"items":[{VALID_SLICE}]}}"#).into_bytes();
        for (offset, byte) in text.iter().enumerate() {
            if let Some(old) = list.get_mut(at + offset) {
                *old = *byte;
            }
        }
        if let Ok(listing) = read_listing(&list) {
            prop_assert!(listing.targets.len() <= 4);
        }
    }
}
