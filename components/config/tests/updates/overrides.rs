//! Taking a data centre out of service while the table service is unavailable.

use std::{sync::Arc, time::Duration};

use config::{
    Config, ConfigUpdater, Override, OverrideError, OverrideOrder,
    overrides::{MAX_OVERRIDE_DURATION, Overrides},
};
use proptest::prelude::*;
use smol::Task;
use timer::Timer;
use tree::Node;

use crate::common::{Deployment, change, until, version};

const PATH: &str = "/data-centres/amman-1";

fn order(out: bool, duration: Duration) -> OverrideOrder {
    OverrideOrder {
        data_centre: "amman-1".into(),
        out,
        duration,
        operator: "operator".into(),
    }
}

fn is_out(updater: &ConfigUpdater) -> bool {
    let current = updater.current().expect("a configuration is loaded");
    current
        .effective
        .data_centres_out()
        .iter()
        .any(|id| &**id == "amman-1")
}

fn run(updater: &Arc<ConfigUpdater>) -> Task<()> {
    workers::spawn(Arc::clone(updater).run())
}

/// Three running instances, one data centre in the tree, and the table service unavailable.
async fn outage() -> (Deployment, Vec<Arc<ConfigUpdater>>, Vec<Task<()>>) {
    let deployment = Deployment::default();
    let author = deployment.start_up_to_date("a").await;
    let added = author
        .change(change(PATH, Some(Node::default()), None))
        .await;
    assert_eq!(added, Ok(1));
    let b = deployment.start_up_to_date("b").await;
    let c = deployment.start_up_to_date("c").await;
    let updaters = vec![author, b, c];
    let tasks = updaters.iter().map(run).collect();
    deployment.table.set_down(true);
    (deployment, updaters, tasks)
}

// A data centre and the table service fail together. Without an override, new work would be sent to
// the data centre until the table service is back. All instances must stop within seconds, and the
// override must not be reported as accepted: the version stays the same.
#[test]
fn an_override_takes_effect_everywhere_and_is_not_reported_as_accepted() {
    smol::block_on(async {
        let (_deployment, updaters, _tasks) = outage().await;
        let report = updaters[0]
            .override_data_centre(order(true, MAX_OVERRIDE_DURATION))
            .await;
        let mut accepted_by = report.expect("the override is accepted").accepted_by;
        accepted_by.sort();
        assert_eq!(accepted_by, ["b".into(), "c".into()]);
        for updater in &updaters {
            assert!(is_out(updater));
            assert_eq!(version(updater), Some(1));
            let snapshot = &updater
                .current()
                .expect("a configuration is loaded")
                .snapshot;
            assert_eq!(snapshot.nodes[PATH].out, None);
        }
    });
}

// When the table service is back, the override is committed exactly once. When the operator then
// brings the data centre back in, the remaining time of the override has no effect.
#[test]
fn an_override_is_committed_when_the_store_is_back_and_then_can_be_reverted() {
    smol::block_on(async {
        let (deployment, updaters, _tasks) = outage().await;
        let report = updaters[1]
            .override_data_centre(order(true, MAX_OVERRIDE_DURATION))
            .await;
        assert!(report.is_ok(), "{report:?}");
        deployment.table.set_down(false);
        until("the override is committed everywhere", || {
            updaters.iter().all(|k| version(k) == Some(2) && is_out(k))
        })
        .await;
        let back = change(PATH, Some(Node::default()), Some(2));
        assert_eq!(updaters[2].change(back).await, Ok(3));
        assert!(!is_out(&updaters[2]));
        until("the data centre is in service everywhere", || {
            updaters.iter().all(|k| !is_out(k))
        })
        .await;
        let history = updaters[0].history(10).await.expect("the table is up");
        assert_eq!(history.len(), 3);
        assert_eq!(&*history[1].change.operator, "operator");
    });
}

// Another operator's change of the data centre was accepted before the outage, and the instance
// that receives the order does not know of it. Where the accepted change is known, it must take
// precedence.
#[test]
fn an_override_gives_way_to_an_accepted_change_that_its_operator_had_not_seen() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let a = deployment.start_up_to_date("a").await;
        let added = a.change(change(PATH, Some(Node::default()), None)).await;
        assert_eq!(added, Ok(1));
        let stale = deployment.start_up_to_date("stale").await;
        let node = Node {
            out: Some(false),
            ..Node::default()
        };
        assert_eq!(a.change(change(PATH, Some(node), Some(1))).await, Ok(2));
        deployment.table.set_down(true);
        let report = stale
            .override_data_centre(order(true, MAX_OVERRIDE_DURATION))
            .await;
        assert!(report.is_ok(), "{report:?}");
        assert!(is_out(&stale));
        assert!(!is_out(&a), "an accepted change was reverted");
        stale.receive_version(&"a".into(), 2).await;
        assert!(!is_out(&stale));
    });
}

// An operator deletes the node of the data centre, which also brings it back into service. The
// deletion takes precedence over the override like any later accepted change.
#[test]
fn an_override_gives_way_to_the_deletion_of_its_data_centre() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let a = deployment.start_up_to_date("a").await;
        let added = a.change(change(PATH, Some(Node::default()), None)).await;
        assert_eq!(added, Ok(1));
        let report = a
            .override_data_centre(order(true, MAX_OVERRIDE_DURATION))
            .await;
        assert!(report.is_ok(), "{report:?}");
        assert!(is_out(&a));
        assert_eq!(a.change(change(PATH, None, Some(1))).await, Ok(2));
        assert!(!is_out(&a));
    });
}

#[test]
fn an_override_expires_and_can_be_withdrawn() {
    smol::block_on(async {
        let (_deployment, updaters, _tasks) = outage().await;
        let short = order(true, Duration::from_secs(2));
        assert!(updaters[0].override_data_centre(short).await.is_ok());
        assert!(is_out(&updaters[1]));
        until("the override has expired", || {
            updaters.iter().all(|k| !is_out(k))
        })
        .await;
        assert!(
            updaters[0]
                .override_data_centre(order(true, MAX_OVERRIDE_DURATION))
                .await
                .is_ok()
        );
        let withdrawn = updaters[2]
            .override_data_centre(order(false, Duration::ZERO))
            .await;
        assert!(withdrawn.is_ok(), "{withdrawn:?}");
        assert!(updaters.iter().all(|k| !is_out(k)));
    });
}

// One instance is partitioned when the order is given and another one starts later. Both must
// receive the override without the table service, or they would go on sending work to the data
// centre.
#[test]
fn an_instance_that_was_cut_off_or_just_started_receives_an_override() {
    smol::block_on(async {
        let (deployment, updaters, _tasks) = outage().await;
        deployment.links.cut("c");
        let report = updaters[0]
            .override_data_centre(order(true, MAX_OVERRIDE_DURATION))
            .await;
        assert_eq!(
            report.expect("the override is accepted").accepted_by,
            ["b".into()]
        );
        assert!(!is_out(&updaters[2]));
        deployment.links.heal();
        until("the instance that was partitioned has the override", || {
            is_out(&updaters[2])
        })
        .await;
        let added_later = deployment.start("late");
        let _late = run(&added_later);
        until("the new instance is ready", || {
            version(&added_later).is_some()
        })
        .await;
        until("the new instance has the override", || is_out(&added_later)).await;
    });
}

#[test]
fn an_override_of_an_unknown_data_centre_is_refused() {
    smol::block_on(async {
        let (deployment, updaters, _tasks) = outage().await;
        let mut unknown = order(true, MAX_OVERRIDE_DURATION);
        unknown.data_centre = "amman-9".into();
        let refused = updaters[0].override_data_centre(unknown).await;
        assert_eq!(refused, Err(OverrideError::NoSuchDataCentre));
        let unready = deployment.start("unready");
        let refused = unready
            .override_data_centre(order(true, MAX_OVERRIDE_DURATION))
            .await;
        assert_eq!(refused, Err(OverrideError::NotReady));
        Timer::new().sleep(Duration::from_millis(1)).await;
        assert!(updaters.iter().all(|k| !is_out(k)));
    });
}

fn any_order() -> impl Strategy<Value = Override> {
    (0..2_u32, any::<bool>(), 1..4_u64, 0..3_u32).prop_map(
        |(data_centre, out, sequence, issued_by)| {
            // One instance never issues two different orders with one sequence number.
            let out = out && (sequence + u64::from(issued_by)) % 3 > 0;
            Override {
                data_centre: data_centre.to_string().into(),
                out: out || sequence == 2,
                sequence,
                issued_by: issued_by.to_string().into(),
                operator: "operator".into(),
                base_version: 1,
                time_left: Duration::from_secs(60),
            }
        },
    )
}

proptest! {
    // Instances receive orders in different sequences, some of them twice. If they ended up with
    // different results, one would send work to a data centre that another treats as out.
    #[test]
    fn overrides_in_any_order_lead_to_the_same_result(
        orders in prop::collection::vec(any_order(), 0..12),
        seed in any::<u64>(),
    ) {
        let mut orders = orders;
        orders.dedup_by_key(|o| (o.data_centre.clone(), o.sequence, o.issued_by.clone()));
        let mut unique: Vec<Override> = Vec::new();
        for order in orders {
            let key = |o: &Override| (o.data_centre.clone(), o.sequence, o.issued_by.clone());
            if unique.iter().all(|known| key(known) != key(&order)) {
                unique.push(order);
            }
        }
        let mut shuffled = unique.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        shuffled.extend(unique.iter().take(3).cloned());
        let now = Duration::from_secs(1);
        let (mut here, mut there) = (Overrides::default(), Overrides::default());
        for order in &unique {
            here.apply(order, now);
        }
        for order in &shuffled {
            there.apply(order, now);
        }
        prop_assert_eq!(here.data_centres_out(|_| Some(1)), there.data_centres_out(|_| Some(1)));
        prop_assert_eq!(here.list(now), there.list(now));
        prop_assert_eq!(here.data_centres_out(|_| Some(2)), Vec::<types::DataCentreId>::new());
    }
}
