//! Spreading overrides between instances without the table service.
//!
//! While there are none, nothing is sent. An instance that learns of one tells a few others at
//! once, so that thousands know within a few rounds; and as long as any is known, each instance
//! compares what it knows with one other now and then, which reaches those that just started or
//! were cut off.

use std::time::Duration;

use futures_util::future::join_all;
use types::InstanceId;

use crate::{
    api::OverrideReport,
    overrides::Override,
    pollers::{jittered, some},
    updater::ConfigUpdater,
};

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(200);
/// Rounds between two comparisons while there is no news.
const QUIET_ROUNDS: u32 = 10;
/// Peers told of news in a round.
const FAN_OUT: usize = 4;
/// Rounds in which news are told. With one round of four, one instance in fifty hears nothing
/// and waits for a comparison; with three, hardly one in a hundred thousand.
pub const NEWS_ROUNDS: u32 = 3;
/// Peers that the instance which takes an order tells itself.
const FIRST_PEERS: usize = 32;

/// Spreads overrides for as long as the process lives.
pub async fn run(updater: &ConfigUpdater) {
    let mut quiet = 0;
    loop {
        updater.timer.sleep(jittered(ROUND)).await;
        let what = updater.to_spread();
        quiet += 1;
        let count = match (what.fresh, what.any) {
            (true, _) => FAN_OUT,
            (false, true) if quiet >= QUIET_ROUNDS => 1,
            _ => continue,
        };
        quiet = 0;
        let peers = some(&updater.heard_peers(), count);
        join_all(peers.iter().map(|peer| updater.exchange_with(peer))).await;
    }
}

/// Tells peers of an order, and tells who has taken it.
pub async fn tell(updater: &ConfigUpdater, order: Override) -> OverrideReport {
    let peers = some(&updater.heard_peers(), FIRST_PEERS);
    let answers = join_all(peers.iter().map(|peer| updater.exchange_with(peer))).await;
    let mut told = OverrideReport {
        order,
        accepted_by: Vec::new(),
        unanswered_by: Vec::new(),
    };
    for (peer, answered) in peers.into_iter().zip(answers) {
        let list: &mut Vec<InstanceId> = match answered {
            true => &mut told.accepted_by,
            false => &mut told.unanswered_by,
        };
        list.push(peer);
    }
    told
}
