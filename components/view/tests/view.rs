//! What an instance knows of the configuration and the targets, and which reports it does not
//! accept.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use types::ServingState;
use view::{
    Change, Identity, KeyHolder, Route, RouteKind, Rules, Share, Target, Unidentified, View,
};

const SECOND: Duration = Duration::from_secs(1);

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: SECOND,
        objective: SECOND / 10,
        max_pause: None,
        is_resumable: false,
        max_targets: 1,
        priority: 0,
        allows_anonymous: false,
        shares: vec![Share {
            service: "a-service".into(),
            weight: 1.0,
        }],
    }
}

fn target(id: &str, state: ServingState, started_at: Option<u64>) -> Target {
    Target {
        id: id.into(),
        service: "a-service".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "dc-1".into(),
        slots: 4,
        state,
        cold_remaining: Duration::ZERO,
        version: "v1".into(),
        weights: None,
        started_at,
    }
}

#[test]
fn the_longest_matching_prefix_selects_the_route() {
    let rules = Rules::new(1).with_routes([
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let name = |host, path| rules.route(host, path).map(|route| route.name.to_string());
    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("A.example:8080", "/x/1").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/xx/"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn requests_are_distributed_by_weight() {
    let mut route = route("r", "a.example", "/");
    route.shares = vec![
        Share {
            service: "most".into(),
            weight: 9.0,
        },
        Share {
            service: "few".into(),
            weight: 1.0,
        },
    ];
    let picked = |at| route.pick_service(at).map(|service| service.to_string());
    assert_eq!(picked(0.0).as_deref(), Some("most"));
    assert_eq!(picked(0.89).as_deref(), Some("most"));
    assert_eq!(picked(0.91).as_deref(), Some("few"));
    assert_eq!(picked(0.999_999).as_deref(), Some("few"));
}

/// A request has an unknown key on a route that also accepts requests without one. If it were
/// accepted, the owner of the key would take it for a valid one, and notice the error only on
/// another route.
#[test]
fn an_unknown_key_is_rejected_even_where_no_key_is_required() {
    let key_holder = KeyHolder {
        workspace: "editors".into(),
        priority: None,
    };
    let rules =
        Rules::new(1).with_key_holders(HashMap::from([(Arc::from("good"), key_holder.clone())]));
    let mut route = route("r", "a.example", "/");
    assert_eq!(
        rules.identify(&route, Some("good")),
        Ok(Identity::KeyHolder(key_holder))
    );
    assert_eq!(rules.identify(&route, Some("bad")), Err(Unidentified));
    assert_eq!(rules.identify(&route, None), Err(Unidentified));
    route.allows_anonymous = true;
    assert_eq!(rules.identify(&route, None), Ok(Identity::Anonymous));
    assert_eq!(rules.identify(&route, Some("bad")), Err(Unidentified));
}

/// A peer or a delayed answer reports an older configuration after a newer one is in force. If it
/// were applied, routes and keys that the operator has removed would be valid again.
#[test]
fn the_configuration_version_never_decreases() {
    let view = View::new();
    let changed = view.apply_rules(Rules::new(7));
    assert_eq!(changed, Some(Change::Rules { from: None, to: 7 }));
    assert_eq!(view.apply_rules(Rules::new(5)), None);
    assert_eq!(view.apply_rules(Rules::new(7)), None);
    assert_eq!(view.rules().map(|rules| rules.version), Some(7));
}

/// During an outage of the store, the targets' heartbeats fail and their listings expire. If the
/// expiry took effect at once, every target would be gone and every caller refused.
#[test]
fn listings_that_expired_in_an_outage_are_retained_for_a_while() {
    let view = View::new();
    view.apply_target(SECOND, target("t-1", ServingState::Live, None));
    view.apply_target(SECOND, target("t-2", ServingState::Live, None));
    let outage_end = 100 * SECOND;
    assert_eq!(
        view.unlist_target(&"t-1".into(), outage_end, Some(outage_end)),
        None
    );
    assert_eq!(
        view.unlist_target(&"t-2".into(), outage_end, Some(outage_end)),
        None
    );
    assert!(view.target("t-1").is_some());
    view.apply_target(SECOND, target("t-1", ServingState::Live, None));
    let changes = view.remove_expired_listings(outage_end + 3 * SECOND);
    assert!(matches!(&changes[..], [Change::Leaving(gone)] if &*gone.id == "t-2"));
    assert!(view.target("t-1").is_some());
}

#[test]
fn a_listing_removed_without_an_outage_is_dropped_at_once() {
    let view = View::new();
    view.apply_target(SECOND, target("t-1", ServingState::Live, None));
    let change = view.unlist_target(&"t-1".into(), SECOND, None);
    assert!(matches!(change, Some(Change::Leaving(_))));
    assert!(view.target("t-1").is_none());
}

/// A peer reports that a target is shutting down before this instance reads it from the store.
/// Until then the old listing would attract new work to a target that is about to stop.
#[test]
fn a_reported_shutdown_takes_effect_before_the_listing_changes() {
    let view = View::new();
    view.apply_target(SECOND, target("t-1", ServingState::Live, None));
    let change = view.mark_leaving(SECOND, &"t-1".into(), None);
    assert!(matches!(change, Some(Change::Leaving(_))));
    assert_eq!(view.mark_leaving(SECOND, &"t-1".into(), None), None);
    let known = view.target("t-1").expect("still listed");
    assert!(!view.accepts_work(&known));
}

/// A target restarts under its old id. Its work is lost, although nothing in the listing but the
/// start time shows it.
#[test]
fn a_restart_under_the_same_id_is_detected() {
    let view = View::new();
    view.apply_target(SECOND, target("t-1", ServingState::Live, Some(1)));
    let change = view.apply_target(SECOND, target("t-1", ServingState::Live, Some(2)));
    assert!(matches!(change, Some(Change::Restarted(_))));
    let again = view.apply_target(SECOND, target("t-1", ServingState::Live, Some(2)));
    assert_eq!(again, None);
}

#[test]
fn a_closed_data_centre_gets_no_work_until_it_is_opened() {
    let view = View::new();
    view.apply_target(SECOND, target("t-1", ServingState::Live, None));
    let known = view.target("t-1").expect("listed");
    assert!(view.accepts_work(&known));
    view.apply_closed(&"dc-1".into(), true);
    assert!(!view.accepts_work(&known));
    view.apply_closed(&"dc-1".into(), false);
    assert!(view.accepts_work(&known));
}

/// Guards against sending work to a target that is shutting down because a listing, which may be
/// older than its notice, says otherwise.
#[test]
fn only_a_later_incarnation_ends_a_departure() {
    let view = View::new();
    let id = "t-1".into();
    let listing = |started_at| target("t-1", ServingState::Live, started_at);
    view.apply_target(SECOND, listing(Some(5)));
    assert!(view.mark_leaving(SECOND, &id, Some(5)).is_some());
    // The same listing again, one that lapsed and came back, one of an earlier incarnation.
    assert_eq!(view.apply_target(SECOND * 2, listing(Some(5))), None);
    view.unlist_target(&id, SECOND * 3, None);
    assert_eq!(view.apply_target(SECOND * 4, listing(Some(5))), None);
    view.apply_target(SECOND * 5, listing(Some(4)));
    assert!(view.usable_targets("a-service").is_empty());
    assert_eq!(
        view.departed_since(SECOND * 6, &listing(Some(5))),
        Some(SECOND)
    );
    view.apply_target(SECOND * 7, listing(Some(6)));
    assert_eq!(view.usable_targets("a-service").len(), 1);
    assert_eq!(view.departed_since(SECOND * 8, &listing(Some(6))), None);
}

/// Guards against a report of an earlier incarnation that takes its successor out of service.
#[test]
fn a_late_report_of_an_earlier_incarnation_has_no_effect() {
    let view = View::new();
    view.apply_target(SECOND, target("t-1", ServingState::Live, Some(6)));
    assert_eq!(view.mark_leaving(SECOND, &"t-1".into(), Some(5)), None);
    assert_eq!(view.usable_targets("a-service").len(), 1);
}

/// Guards against forgetting a departure because the listing that says so is gone: the store may
/// list the target again from an older copy.
#[test]
fn a_departure_that_was_listed_outlives_the_listing() {
    let view = View::new();
    view.apply_target(SECOND, target("t-1", ServingState::Leaving, Some(1)));
    view.unlist_target(&"t-1".into(), SECOND, None);
    view.apply_target(SECOND, target("t-1", ServingState::Live, Some(1)));
    assert!(view.usable_targets("a-service").is_empty());
}

/// Guards against a listing from an older copy of the store that takes the place of a later process.
#[test]
fn a_listing_of_an_earlier_incarnation_is_ignored() {
    let view = View::new();
    view.apply_target(SECOND, target("t-1", ServingState::Live, Some(6)));
    let earlier = target("t-1", ServingState::Leaving, Some(5));
    assert_eq!(view.apply_target(SECOND, earlier), None);
    assert_eq!(view.usable_targets("a-service").len(), 1);
}
