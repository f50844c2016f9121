//! Single failures during a change of the configuration.

use std::{sync::Arc, time::Duration};

use crate::common::{Deployment, change, service, until, version};
use async_trait::async_trait;
use config::{ChangeError, Config, ConfigUpdater, PeerConfig, Update};
use parking_lot::Mutex;
use stores::{MemoryTable, PlatformError, Row, RowKey, Table, Write, memory::Fault};
use timer::Timer;
use types::{ConfigVersion, InstanceId};

const SERVICE: &str = "/services/s";

fn deadline(updater: &ConfigUpdater, path: &str) -> Option<u64> {
    let current = updater.current()?;
    current.snapshot.nodes.get(path)?.knobs.deadline_ms
}

#[test]
fn a_change_is_in_effect_and_in_the_history() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let a = deployment.start_up_to_date("a").await;
        assert_eq!(version(&a), Some(0));
        assert_eq!(a.change(change(SERVICE, service(5), None)).await, Ok(1));
        assert_eq!(deadline(&a, SERVICE), Some(5));
        assert_eq!(a.node_version(SERVICE), Some(1));
        assert_eq!(a.change(change(SERVICE, service(6), Some(1))).await, Ok(2));
        assert_eq!(a.change(change(SERVICE, None, Some(2))).await, Ok(3));
        assert_eq!(a.node_version(SERVICE), None);
        let history = a.history(2).await.expect("the table is up");
        let versions: Vec<u64> = history.iter().map(|e| e.version).collect();
        assert_eq!(versions, [3, 2]);
        let current = a.current().expect("a configuration is loaded");
        assert_eq!(current.effective.version(), 3);
    });
}

#[test]
fn a_change_with_faults_is_refused_with_all_of_them() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let a = deployment.start_up_to_date("a").await;
        let mut node = service(0).expect("a node");
        node.out = Some(true);
        let wrong = change(SERVICE, Some(node), None);
        let faults = a.check(&wrong).expect_err("it is wrong");
        assert_eq!(faults.len(), 2, "{faults:?}");
        assert_eq!(a.change(wrong).await, Err(ChangeError::Invalid { faults }));
        assert_eq!(deployment.table.rows(), []);
    });
}

// Two operators change the same service at the same time on two instances. One must win, and the
// other must get a conflict, or one of the two changes would be lost silently.
#[test]
fn of_two_racing_changes_one_wins_and_one_gets_a_conflict() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b) = (
            deployment.start_up_to_date("a").await,
            deployment.start_up_to_date("b").await,
        );
        let own = a.change(change(SERVICE, service(1), None));
        let theirs = b.change(change(SERVICE, service(2), None));
        let (own, theirs) = futures_lite::future::zip(own, theirs).await;
        let conflict = Err(ChangeError::Conflict { now: Some(1) });
        let one_won = (own == Ok(1) && theirs == conflict) || (theirs == Ok(1) && own == conflict);
        assert!(one_won, "{own:?} {theirs:?}");
    });
}

// Operators change different services at the same time. Neither change conflicts with what the
// other operator saw, so both must be accepted although the version has moved on in between.
#[test]
fn racing_changes_of_different_nodes_are_both_accepted() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b) = (
            deployment.start_up_to_date("a").await,
            deployment.start_up_to_date("b").await,
        );
        let own = a.change(change(SERVICE, service(1), None));
        let theirs = b.change(change("/services/t", service(2), None));
        let (own, theirs) = futures_lite::future::zip(own, theirs).await;
        let mut versions = [own.expect("accepted"), theirs.expect("accepted")];
        versions.sort_unstable();
        assert_eq!(versions, [1, 2]);
        let c = deployment.start_up_to_date("c").await;
        assert_eq!(
            (deadline(&c, SERVICE), deadline(&c, "/services/t")),
            (Some(1), Some(2))
        );
    });
}

// The answer to the commit is lost: the change took effect, was lost, or arrives later. The
// operator must get the true outcome, and the change must be in the history exactly once.
#[test]
fn a_change_whose_answer_was_lost_is_resolved() {
    smol::block_on(async {
        for fault in [Fault::AnswerLost, Fault::CommitLost, Fault::Late] {
            let deployment = Deployment::default();
            let a = deployment.start_up_to_date("a").await;
            deployment.table.add_faults([fault]);
            assert_eq!(
                a.change(change(SERVICE, service(1), None)).await,
                Ok(1),
                "{fault:?}"
            );
            assert_eq!(deployment.table.apply_late_commits(), 0, "{fault:?}");
            let history = a.history(10).await.expect("the table is up");
            assert_eq!(history.len(), 1, "{fault:?}");
        }
    });
}

#[test]
fn a_change_while_the_store_is_down_is_refused_and_changes_nothing() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let a = deployment.start_up_to_date("a").await;
        deployment.table.set_down(true);
        let refused = a.change(change(SERVICE, service(1), None)).await;
        assert_eq!(refused, Err(ChangeError::StoreUnavailable));
        assert_eq!(version(&a), Some(0));
        deployment.table.set_down(false);
        assert_eq!(deployment.table.rows(), []);
    });
}

// The answer is lost and the table service stays unavailable. Whether the change was accepted can't
// be determined, and the operator must be told so.
#[test]
fn a_change_that_can_not_be_resolved_is_reported_as_unknown() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let a = deployment.start_up_to_date("a").await;
        deployment.table.add_faults([Fault::AnswerLost]);
        deployment.table.add_faults([Fault::Throttled; 1000]);
        let unknown = a.change(change(SERVICE, service(1), None)).await;
        assert_eq!(unknown, Err(ChangeError::Unknown));
        deployment.table.clear_faults();
        a.catch_up().await.expect("the table is up");
        assert_eq!(deadline(&a, SERVICE), Some(1));
    });
}

// An instance is restarted while the table service is unavailable. It must load the configuration
// from its peers, and the newest one, not the first that it receives.
#[test]
fn a_restart_during_an_outage_loads_the_newest_from_peers() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let stale = deployment.start_up_to_date("stale").await;
        let newest = deployment.start_up_to_date("newest").await;
        for mark in 1..4 {
            let expected_version = newest.node_version(SERVICE);
            assert_eq!(
                newest
                    .change(change(SERVICE, service(mark), expected_version))
                    .await,
                Ok(mark)
            );
        }
        assert_eq!(version(&stale), Some(0));
        deployment.table.set_down(true);
        let restarted = deployment.start("restarted");
        let _run = workers::spawn(Arc::clone(&restarted).run());
        until("the newest is in effect", || version(&restarted) == Some(3)).await;
        assert_eq!(deadline(&restarted, SERVICE), Some(3));
        assert_eq!(restarted.node_version(SERVICE), Some(3));
    });
}

// Without any source, an instance that served an empty configuration would reject every caller as
// unknown. It must stay unready until it can load one.
#[test]
fn without_any_source_an_instance_stays_unready_until_the_store_is_back() {
    smol::block_on(async {
        let deployment = Deployment::default();
        deployment.table.set_down(true);
        let alone = deployment.start("alone");
        let _run = workers::spawn(Arc::clone(&alone).run());
        Timer::new().sleep(Duration::from_millis(500)).await;
        assert_eq!(version(&alone), None);
        deployment.table.set_down(false);
        until("a configuration is in effect", || {
            version(&alone) == Some(0)
        })
        .await;
    });
}

// An instance that was paused announces its old version, or a peer sends changes that are long
// outdated. The configuration in effect must not be reverted.
#[test]
fn a_smaller_version_is_never_applied() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, paused) = (
            deployment.start_up_to_date("a").await,
            deployment.start_up_to_date("p").await,
        );
        assert_eq!(a.change(change(SERVICE, service(1), None)).await, Ok(1));
        paused.receive_version(&"a".into(), 1).await;
        assert_eq!(a.change(change(SERVICE, service(2), Some(1))).await, Ok(2));
        // The peer announces version 9 but delivers version 1, the one that it has.
        a.receive_version(&"p".into(), 9).await;
        assert_eq!(version(&a), Some(2));
        assert_eq!(deadline(&a, SERVICE), Some(2));
        paused.receive_version(&"a".into(), 2).await;
        assert_eq!(version(&paused), Some(2));
    });
}

// Changes are made faster than a peer fetches them, so that it has missed more than others retain;
// or the peer can't be reached. In both cases it must still catch up.
#[test]
fn a_peer_far_behind_or_cut_off_comes_up_to_date() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, behind) = (
            deployment.start_up_to_date("a").await,
            deployment.start_up_to_date("b").await,
        );
        let mut last = 0;
        for mark in 1..600 {
            let expected_version = a.node_version(SERVICE);
            last = a
                .change(change(SERVICE, service(mark), expected_version))
                .await
                .expect("accepted");
        }
        assert!(matches!(a.since(0), Update::Full(..)));
        assert!(matches!(a.since(last - 1), Update::Changes(_)));
        let reads = deployment.table.reads();
        behind.receive_version(&"a".into(), last).await;
        assert_eq!(version(&behind), Some(last));
        assert_eq!(
            deployment.table.reads(),
            reads,
            "the peer delivers the changes"
        );
        let cut_off = deployment.start_up_to_date("c").await;
        deployment.links.cut("c");
        let next = a
            .change(change(SERVICE, service(1), Some(last)))
            .await
            .expect("accepted");
        cut_off.receive_version(&"a".into(), next).await;
        assert_eq!(version(&cut_off), Some(next));
    });
}

// The table service is restored from an old backup. The configuration in effect must not be
// reverted, and no change may be accepted: it would reuse the version of an accepted change, and
// two instances could have different configurations with one version.
#[test]
fn a_restored_older_store_reverts_nothing_and_accepts_no_change() {
    smol::block_on(async {
        let mut deployment = Deployment::default();
        let a = deployment.start_up_to_date("a").await;
        for mark in 1..4 {
            let expected_version = a.node_version(SERVICE);
            assert_eq!(
                a.change(change(SERVICE, service(mark), expected_version))
                    .await,
                Ok(mark)
            );
        }
        let backup = Deployment::default();
        let old = backup.start_up_to_date("old").await;
        assert_eq!(old.change(change(SERVICE, service(1), None)).await, Ok(1));
        deployment.table = backup.table.clone();
        let b = deployment.start("b");
        b.receive_version(&"a".into(), 3).await;
        assert_eq!(version(&b), Some(3));
        assert!(b.catch_up().await.is_err());
        let refused = b.change(change(SERVICE, service(9), Some(3))).await;
        assert_eq!(refused, Err(ChangeError::StoreUnavailable));
        assert_eq!((version(&b), deadline(&b, SERVICE)), (Some(3), Some(3)));
        assert_eq!(version(&old), Some(1));
    });
}

// Many peers announce a new version at the same moment. It must be fetched only once.
#[test]
fn a_version_announced_by_many_peers_is_fetched_once() {
    smol::block_on(async {
        struct CountingPeers {
            inner: Arc<ConfigUpdater>,
            fetches: Mutex<usize>,
        }
        #[async_trait]
        impl PeerConfig for CountingPeers {
            async fn fetch(&self, _peer: &InstanceId, version: ConfigVersion) -> Option<Update> {
                *self.fetches.lock() += 1;
                Timer::new().sleep(Duration::from_millis(20)).await;
                Some(self.inner.since(version))
            }

            fn peers(&self) -> Vec<InstanceId> {
                vec!["a".into()]
            }
        }
        let deployment = Deployment::default();
        let a = deployment.start_up_to_date("a").await;
        let peers = Arc::new(CountingPeers {
            inner: a.clone(),
            fetches: Mutex::new(0),
        });
        let b = ConfigUpdater::new(
            "b".into(),
            deployment.table.clone(),
            peers.clone(),
            Timer::new(),
        );
        b.catch_up().await.expect("the table is up");
        assert_eq!(a.change(change(SERVICE, service(1), None)).await, Ok(1));
        let announce = |peer: usize| {
            let b = b.clone();
            workers::spawn(async move { b.receive_version(&format!("p{peer}").into(), 1).await })
        };
        for announcement in (0..20).map(announce).collect::<Vec<_>>() {
            announcement.await;
        }
        assert_eq!(version(&b), Some(1));
        assert_eq!(*peers.fetches.lock(), 1);
    });
}

/// Does not answer requests to `silent` until the test ends it; answers for all other peers.
struct HalfSilentPeers {
    inner: Arc<ConfigUpdater>,
    release: smol::channel::Receiver<()>,
}

#[async_trait]
impl PeerConfig for HalfSilentPeers {
    async fn fetch(&self, peer: &InstanceId, version: ConfigVersion) -> Option<Update> {
        if &**peer == "silent" {
            // Returns when the sender is dropped.
            let _ = self.release.recv().await;
            return None;
        }
        Some(self.inner.since(version))
    }

    fn peers(&self) -> Vec<InstanceId> {
        Vec::new()
    }
}

// The table service is unavailable and the first peer that announced a change has stopped
// answering. The change must be fetched from another peer without waiting for the silent one.
#[test]
fn a_silent_peer_does_not_delay_updates_from_others() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let a = deployment.start_up_to_date("a").await;
        let (sender, release) = smol::channel::bounded(1);
        let peers = HalfSilentPeers {
            inner: a.clone(),
            release,
        };
        let b = ConfigUpdater::new(
            "b".into(),
            deployment.table.clone(),
            Arc::new(peers),
            Timer::new(),
        );
        b.catch_up().await.expect("the table is up");
        assert_eq!(a.change(change(SERVICE, service(1), None)).await, Ok(1));
        deployment.table.set_down(true);
        let announce = |peer: &'static str| {
            let b = b.clone();
            workers::spawn(async move { b.receive_version(&peer.into(), 1).await })
        };
        let _silent = announce("silent");
        let announcement = announce("a");
        until("the change is in effect", || version(&b) == Some(1)).await;
        announcement.await;
        drop(sender);
    });
}

// The instance that made a change crashes right after the commit, before it has announced it.
#[test]
fn an_unannounced_change_is_found_by_polling() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let author = deployment.start_up_to_date("author").await;
        let other = deployment.start("other");
        let _run = workers::spawn(Arc::clone(&other).run());
        until("the instance has started", || version(&other).is_some()).await;
        assert_eq!(
            author.change(change(SERVICE, service(1), None)).await,
            Ok(1)
        );
        drop(author);
        until("the change is in effect", || version(&other) == Some(1)).await;
    });
}

/// A table that commits changes while a reader lists the nodes page by page.
struct ChangingTable {
    inner: Arc<MemoryTable>,
    author: Mutex<Option<Arc<ConfigUpdater>>>,
}

#[async_trait]
impl Table for ChangingTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.inner.read(key).await
    }

    async fn list(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let rows = self.inner.list(partition, after, limit).await;
        let author = self.author.lock().take();
        if let Some(author) = author {
            for (path, mark) in [("/services/s0001", 7_001), ("/services/s0505", 7_999)] {
                let expected_version = author.node_version(path);
                let changed = author
                    .change(change(path, service(mark), expected_version))
                    .await;
                assert!(changed.is_ok(), "{changed:?}");
            }
            let deleted = "/services/s0002";
            let expected_version = author.node_version(deleted);
            let changed = author.change(change(deleted, None, expected_version)).await;
            assert!(changed.is_ok(), "{changed:?}");
        }
        rows
    }

    async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError> {
        self.inner.commit(writes).await
    }
}

// An instance starts and reads hundreds of nodes in pages while operators change some of them. A
// mixture of two versions would stay in effect unnoticed until the next restart.
#[test]
fn nodes_read_while_changes_go_on_are_of_one_version() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let author = deployment.start_up_to_date("author").await;
        for number in 0..510 {
            let path = format!("/services/s{number:04}");
            let changed = author
                .change(change(&path, service(number + 1), None))
                .await;
            assert!(changed.is_ok(), "{changed:?}");
        }
        let table = Arc::new(ChangingTable {
            inner: deployment.table.clone(),
            author: Mutex::new(Some(author.clone())),
        });
        struct NoPeers;
        #[async_trait]
        impl PeerConfig for NoPeers {
            async fn fetch(&self, _: &InstanceId, _: ConfigVersion) -> Option<Update> {
                None
            }

            fn peers(&self) -> Vec<InstanceId> {
                Vec::new()
            }
        }
        let started = ConfigUpdater::new("n".into(), table, Arc::new(NoPeers), Timer::new());
        started.catch_up().await.expect("the table is up");
        assert_eq!(version(&started), Some(513));
        let (own, theirs) = (started.current(), author.current());
        let own = &own.expect("a configuration is loaded").snapshot;
        assert_eq!(*own, theirs.expect("a configuration is loaded").snapshot);
    });
}
