//! Numbers in the messages of other instances are bounded as they are decoded.

use std::time::Duration;

use front::{
    TopicUpdate,
    instances::wire::{Message, Reachability, Reply, Topic},
};
use proptest::prelude::*;
use rates::{RateReport, Reservation};
use rollouts::Directive;
use serde::{Serialize, de::DeserializeOwned};
use types::bounded::MAX_TIME;

fn received<T: DeserializeOwned + Serialize>(sent: &T) -> T {
    let buf = rmp_serde::to_vec(sent).expect("encodes");
    rmp_serde::from_slice(&buf).expect("decodes")
}

fn any_time() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::MAX),
        any::<u64>().prop_map(Duration::from_secs),
        any::<u64>().prop_map(Duration::from_micros),
    ]
}

proptest! {
    /// Guards against a time from another instance that ends the task which adds it to the present.
    #[test]
    fn times_in_messages_are_bounded(time in any_time()) {
        let bound = time.min(MAX_TIME);
        let follow = Message::Follow { topic: Topic::Targets, after: None, wait: time };
        let Message::Follow { wait, .. } = received(&follow) else {
            return Err(TestCaseError::fail("another message"));
        };
        prop_assert_eq!(wait, bound);
        let update = Reply::Update {
            update: TopicUpdate::default(),
            before: time,
            after: time,
            age: time,
        };
        let Reply::Update { before, after, age, .. } = received(&update) else {
            return Err(TestCaseError::fail("another reply"));
        };
        prop_assert_eq!((before, after, age), (bound, bound, bound));
        let report = RateReport { target: "s-1".into(), rate: Some(1.0), age: time };
        let reserve = Message::ReserveRate { report, max_wait: time };
        let Message::ReserveRate { report, max_wait } = received(&reserve) else {
            return Err(TestCaseError::fail("another message"));
        };
        prop_assert_eq!((report.age, max_wait), (bound, bound));
        let heard = Reply::TargetChecked(Reachability::Heard { age: time });
        prop_assert_eq!(
            received(&heard),
            Reply::TargetChecked(Reachability::Heard { age: bound })
        );
        let granted = Reply::Reservation(Reservation::Granted { after: time });
        prop_assert_eq!(
            received(&granted),
            Reply::Reservation(Reservation::Granted { after: bound })
        );
        let expose = Directive::Expose {
            share: 1.0,
            slack: 0.0,
            turn_in: time,
            migrate_in: time,
        };
        prop_assert_eq!(
            received(&expose),
            Directive::Expose { share: 1.0, slack: 0.0, turn_in: bound, migrate_in: bound }
        );
    }
}
