//! Failures that a change of configuration meets one at a time.

use std::{sync::Arc, time::Duration};

use crate::common::{Deployment, change, service, until, version};
use async_trait::async_trait;
use config::{ChangeError, Config, ConfigUpdater, PeerConfig, Update};
use parking_lot::Mutex;
use stores::{MemoryTable, PlatformError, Row, RowKey, Table, Write, memory::Fault};
use timer::Timer;
use types::{ConfigVersion, InstanceId};

const S: &str = "/services/s";

fn deadline(updater: &ConfigUpdater, path: &str) -> Option<u64> {
    let current = updater.current()?;
    current.snapshot.nodes.get(path)?.knobs.deadline_ms
}

#[test]
fn a_change_is_in_force_and_in_the_history() {
    smol::block_on(async {
        let all = Deployment::default();
        let a = all.start_up_to_date("a").await;
        assert_eq!(version(&a), Some(0));
        assert_eq!(a.change(change(S, service(5), None)).await, Ok(1));
        assert_eq!(deadline(&a, S), Some(5));
        assert_eq!(a.node_version(S), Some(1));
        assert_eq!(a.change(change(S, service(6), Some(1))).await, Ok(2));
        assert_eq!(a.change(change(S, None, Some(2))).await, Ok(3));
        assert_eq!(a.node_version(S), None);
        let history = a.history(2).await.expect("the table is up");
        let versions: Vec<u64> = history.iter().map(|e| e.version).collect();
        assert_eq!(versions, [3, 2]);
        let current = a.current().expect("it is in force");
        assert_eq!(current.effective.version(), 3);
    });
}

#[test]
fn a_change_with_faults_is_refused_with_all_of_them() {
    smol::block_on(async {
        let all = Deployment::default();
        let a = all.start_up_to_date("a").await;
        let mut node = service(0).expect("a node");
        node.out = Some(true);
        let wrong = change(S, Some(node), None);
        let faults = a.check(&wrong).expect_err("it is wrong");
        assert_eq!(faults.len(), 2, "{faults:?}");
        assert_eq!(a.change(wrong).await, Err(ChangeError::Invalid { faults }));
        assert_eq!(all.table.rows(), []);
    });
}

// Two operators change the same service at the same time on two instances. One must win and the
// other be told who was faster, or one of the two changes would vanish without a word.
#[test]
fn of_two_racing_operators_one_wins_and_one_gets_a_conflict() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, b) = (
            all.start_up_to_date("a").await,
            all.start_up_to_date("b").await,
        );
        let ours = a.change(change(S, service(1), None));
        let theirs = b.change(change(S, service(2), None));
        let (ours, theirs) = futures_lite::future::zip(ours, theirs).await;
        let conflict = Err(ChangeError::Conflict { now: Some(1) });
        let one_won =
            (ours == Ok(1) && theirs == conflict) || (theirs == Ok(1) && ours == conflict);
        assert!(one_won, "{ours:?} {theirs:?}");
    });
}

// Operators work on different services at once. Neither touched what the other saw, so both
// changes are to be accepted, though the version moved in between.
#[test]
fn racing_changes_of_different_nodes_are_both_accepted() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, b) = (
            all.start_up_to_date("a").await,
            all.start_up_to_date("b").await,
        );
        let ours = a.change(change(S, service(1), None));
        let theirs = b.change(change("/services/t", service(2), None));
        let (ours, theirs) = futures_lite::future::zip(ours, theirs).await;
        let mut versions = [ours.expect("accepted"), theirs.expect("accepted")];
        versions.sort_unstable();
        assert_eq!(versions, [1, 2]);
        let c = all.start_up_to_date("c").await;
        assert_eq!(
            (deadline(&c, S), deadline(&c, "/services/t")),
            (Some(1), Some(2))
        );
    });
}

// The answer to the commit is lost: the change took effect, or was lost, or arrives later. The
// operator must be told the truth, and the change must be there exactly once.
#[test]
fn a_change_whose_answer_was_lost_is_settled() {
    smol::block_on(async {
        for fault in [Fault::AnswerLost, Fault::CommitLost, Fault::Late] {
            let all = Deployment::default();
            let a = all.start_up_to_date("a").await;
            all.table.add_faults([fault]);
            assert_eq!(
                a.change(change(S, service(1), None)).await,
                Ok(1),
                "{fault:?}"
            );
            assert_eq!(all.table.apply_late_commits(), 0, "{fault:?}");
            let history = a.history(10).await.expect("the table is up");
            assert_eq!(history.len(), 1, "{fault:?}");
        }
    });
}

#[test]
fn a_change_while_the_store_is_down_is_refused_and_changes_nothing() {
    smol::block_on(async {
        let all = Deployment::default();
        let a = all.start_up_to_date("a").await;
        all.table.set_down(true);
        let refused = a.change(change(S, service(1), None)).await;
        assert_eq!(refused, Err(ChangeError::StoreUnavailable));
        assert_eq!(version(&a), Some(0));
        all.table.set_down(false);
        assert_eq!(all.table.rows(), []);
    });
}

// The answer is lost and the service stays down. Nobody can tell whether the change was
// accepted, and the operator is told just that.
#[test]
fn a_change_that_can_not_be_settled_is_told_as_unknown() {
    smol::block_on(async {
        let all = Deployment::default();
        let a = all.start_up_to_date("a").await;
        all.table.add_faults([Fault::AnswerLost]);
        all.table.add_faults([Fault::Throttled; 1000]);
        let unknown = a.change(change(S, service(1), None)).await;
        assert_eq!(unknown, Err(ChangeError::Unknown));
        all.table.clear_faults();
        a.catch_up().await.expect("the table is up");
        assert_eq!(deadline(&a, S), Some(1));
    });
}

// An instance is restarted while the table service is down. It must serve what its peers have in
// force, and the newest of it, not the first that it meets.
#[test]
fn a_restart_during_an_outage_takes_the_newest_from_peers() {
    smol::block_on(async {
        let all = Deployment::default();
        let stale = all.start_up_to_date("stale").await;
        let newest = all.start_up_to_date("newest").await;
        for mark in 1..4 {
            let seen = newest.node_version(S);
            assert_eq!(
                newest.change(change(S, service(mark), seen)).await,
                Ok(mark)
            );
        }
        assert_eq!(version(&stale), Some(0));
        all.table.set_down(true);
        let restarted = all.start("restarted");
        let _run = workers::spawn(Arc::clone(&restarted).run());
        until("the newest is in force", || version(&restarted) == Some(3)).await;
        assert_eq!(deadline(&restarted, S), Some(3));
        assert_eq!(restarted.node_version(S), Some(3));
    });
}

// With nobody to ask, an instance that served an empty configuration would refuse every caller
// as unknown. It stays unready until it finds one.
#[test]
fn with_nobody_to_ask_an_instance_stays_unready_until_the_store_is_back() {
    smol::block_on(async {
        let all = Deployment::default();
        all.table.set_down(true);
        let alone = all.start("alone");
        let _run = workers::spawn(Arc::clone(&alone).run());
        Timer::new().sleep(Duration::from_millis(500)).await;
        assert_eq!(version(&alone), None);
        all.table.set_down(false);
        until("a configuration is in force", || version(&alone) == Some(0)).await;
    });
}

// An instance was paused for a while and then tells of its old version, or a peer sends changes
// that were overtaken long ago. What is in force must not go back.
#[test]
fn a_smaller_version_is_never_applied() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, paused) = (
            all.start_up_to_date("a").await,
            all.start_up_to_date("p").await,
        );
        assert_eq!(a.change(change(S, service(1), None)).await, Ok(1));
        paused.receive_version(&"a".into(), 1).await;
        assert_eq!(a.change(change(S, service(2), Some(1))).await, Ok(2));
        // A peer that says it has version 9 and delivers what it has: version 1.
        a.receive_version(&"p".into(), 9).await;
        assert_eq!(version(&a), Some(2));
        assert_eq!(deadline(&a, S), Some(2));
        paused.receive_version(&"a".into(), 2).await;
        assert_eq!(version(&paused), Some(2));
    });
}

// Changes come faster than a peer asks, so it has missed more than others keep; or the peer
// cannot be reached. It must still come up to date.
#[test]
fn a_peer_far_behind_or_cut_off_comes_up_to_date() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, behind) = (
            all.start_up_to_date("a").await,
            all.start_up_to_date("b").await,
        );
        let mut last = 0;
        for mark in 1..600 {
            let seen = a.node_version(S);
            last = a
                .change(change(S, service(mark), seen))
                .await
                .expect("accepted");
        }
        assert!(matches!(a.since(0), Update::Full(..)));
        assert!(matches!(a.since(last - 1), Update::Changes(_)));
        let reads = all.table.reads();
        behind.receive_version(&"a".into(), last).await;
        assert_eq!(version(&behind), Some(last));
        assert_eq!(all.table.reads(), reads, "the peer alone could tell");
        let cut_off = all.start_up_to_date("c").await;
        all.links.cut("c");
        let next = a
            .change(change(S, service(1), Some(last)))
            .await
            .expect("accepted");
        cut_off.receive_version(&"a".into(), next).await;
        assert_eq!(version(&cut_off), Some(next));
    });
}

// The table service is restored from an old backup. Nothing in force may go back, and a change
// may not take a number that an accepted one had: two instances could hold different
// configurations under one version, and never notice.
#[test]
fn a_store_that_was_set_back_reverts_nothing_and_takes_no_change() {
    smol::block_on(async {
        let mut all = Deployment::default();
        let a = all.start_up_to_date("a").await;
        for mark in 1..4 {
            let seen = a.node_version(S);
            assert_eq!(a.change(change(S, service(mark), seen)).await, Ok(mark));
        }
        let backup = Deployment::default();
        let old = backup.start_up_to_date("old").await;
        assert_eq!(old.change(change(S, service(1), None)).await, Ok(1));
        all.table = backup.table.clone();
        let b = all.start("b");
        b.receive_version(&"a".into(), 3).await;
        assert_eq!(version(&b), Some(3));
        assert!(b.catch_up().await.is_err());
        let refused = b.change(change(S, service(9), Some(3))).await;
        assert_eq!(refused, Err(ChangeError::StoreUnavailable));
        assert_eq!((version(&b), deadline(&b, S)), (Some(3), Some(3)));
        assert_eq!(version(&old), Some(1));
    });
}

// Many peers tell of a new version at the same moment. One fetch is enough.
#[test]
fn news_heard_from_many_peers_are_fetched_once() {
    smol::block_on(async {
        struct Counted {
            inner: Arc<ConfigUpdater>,
            fetches: Mutex<usize>,
        }
        #[async_trait]
        impl PeerConfig for Counted {
            async fn fetch(&self, _peer: &InstanceId, version: ConfigVersion) -> Option<Update> {
                *self.fetches.lock() += 1;
                Timer::new().sleep(Duration::from_millis(20)).await;
                Some(self.inner.since(version))
            }

            fn peers(&self) -> Vec<InstanceId> {
                vec!["a".into()]
            }
        }
        let all = Deployment::default();
        let a = all.start_up_to_date("a").await;
        let counted = Arc::new(Counted {
            inner: a.clone(),
            fetches: Mutex::new(0),
        });
        let b = ConfigUpdater::new("b".into(), all.table.clone(), counted.clone(), Timer::new());
        b.catch_up().await.expect("the table is up");
        assert_eq!(a.change(change(S, service(1), None)).await, Ok(1));
        let hear = |peer: usize| {
            let b = b.clone();
            workers::spawn(async move { b.receive_version(&format!("p{peer}").into(), 1).await })
        };
        for heard in (0..20).map(hear).collect::<Vec<_>>() {
            heard.await;
        }
        assert_eq!(version(&b), Some(1));
        assert_eq!(*counted.fetches.lock(), 1);
    });
}

/// Hangs when asked for `silent`, until it is let go; answers for all others.
struct Half {
    inner: Arc<ConfigUpdater>,
    let_go: smol::channel::Receiver<()>,
}

#[async_trait]
impl PeerConfig for Half {
    async fn fetch(&self, peer: &InstanceId, version: ConfigVersion) -> Option<Update> {
        if &**peer == "silent" {
            // It ends when the sender is dropped.
            let _ = self.let_go.recv().await;
            return None;
        }
        Some(self.inner.since(version))
    }

    fn peers(&self) -> Vec<InstanceId> {
        Vec::new()
    }
}

// The table service is down and the link to the first peer that told of a change has gone
// silent. The change must come from another peer, and not wait for the silent one.
#[test]
fn a_silent_peer_does_not_hold_up_the_news_of_others() {
    smol::block_on(async {
        let all = Deployment::default();
        let a = all.start_up_to_date("a").await;
        let (hold, let_go) = smol::channel::bounded(1);
        let half = Half {
            inner: a.clone(),
            let_go,
        };
        let b = ConfigUpdater::new("b".into(), all.table.clone(), Arc::new(half), Timer::new());
        b.catch_up().await.expect("the table is up");
        assert_eq!(a.change(change(S, service(1), None)).await, Ok(1));
        all.table.set_down(true);
        let hear = |peer: &'static str| {
            let b = b.clone();
            workers::spawn(async move { b.receive_version(&peer.into(), 1).await })
        };
        let _silent = hear("silent");
        let heard = hear("a");
        until("the change is in force", || version(&b) == Some(1)).await;
        heard.await;
        drop(hold);
    });
}

// The author of a change dies right after the commit, before it told anyone.
#[test]
fn a_change_that_nobody_told_of_is_found_by_polling() {
    smol::block_on(async {
        let all = Deployment::default();
        let author = all.start_up_to_date("author").await;
        let other = all.start("other");
        let _run = workers::spawn(Arc::clone(&other).run());
        until("it has started", || version(&other).is_some()).await;
        assert_eq!(author.change(change(S, service(1), None)).await, Ok(1));
        drop(author);
        until("the change is in force", || version(&other) == Some(1)).await;
    });
}

/// Commits changes while somebody reads the nodes page by page.
struct Busy {
    inner: Arc<MemoryTable>,
    author: Mutex<Option<Arc<ConfigUpdater>>>,
}

#[async_trait]
impl Table for Busy {
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
                let seen = author.node_version(path);
                let changed = author.change(change(path, service(mark), seen)).await;
                assert!(changed.is_ok(), "{changed:?}");
            }
            let gone = "/services/s0002";
            let seen = author.node_version(gone);
            let changed = author.change(change(gone, None, seen)).await;
            assert!(changed.is_ok(), "{changed:?}");
        }
        rows
    }

    async fn commit(&self, writes: &[Write]) -> Result<(), PlatformError> {
        self.inner.commit(writes).await
    }
}

// An instance starts and reads hundreds of nodes in pages while operators change some of them. A
// mixture of two versions would be in force until the next restart, with nobody to notice.
#[test]
fn nodes_read_while_changes_go_on_are_of_one_version() {
    smol::block_on(async {
        let all = Deployment::default();
        let author = all.start_up_to_date("author").await;
        for number in 0..510 {
            let path = format!("/services/s{number:04}");
            let changed = author
                .change(change(&path, service(number + 1), None))
                .await;
            assert!(changed.is_ok(), "{changed:?}");
        }
        let busy = Arc::new(Busy {
            inner: all.table.clone(),
            author: Mutex::new(Some(author.clone())),
        });
        struct Nobody;
        #[async_trait]
        impl PeerConfig for Nobody {
            async fn fetch(&self, _: &InstanceId, _: ConfigVersion) -> Option<Update> {
                None
            }

            fn peers(&self) -> Vec<InstanceId> {
                Vec::new()
            }
        }
        let started = ConfigUpdater::new("n".into(), busy, Arc::new(Nobody), Timer::new());
        started.catch_up().await.expect("the table is up");
        assert_eq!(version(&started), Some(513));
        let (ours, theirs) = (started.current(), author.current());
        let ours = &ours.expect("in force").snapshot;
        assert_eq!(*ours, theirs.expect("in force").snapshot);
    });
}
