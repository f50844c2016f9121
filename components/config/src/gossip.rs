//! Propagates overrides between instances without the table service.
//!
//! Nothing is sent while there are no overrides. An instance that receives a new one sends it to a
//! few random peers at once, so thousands of instances know it within a few rounds. As long as any
//! override is known, each instance also exchanges its overrides with one random peer from time to
//! time, which reaches instances that have just started or were partitioned.

use std::time::Duration;

use futures_util::future::join_all;
use types::InstanceId;

use crate::{
    api::OverrideReport,
    overrides::Override,
    pollers::{jittered, random_peers},
    updater::ConfigUpdater,
};

/// Time between two gossip rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(200);
/// Rounds between two exchanges while there is no new override.
const EXCHANGE_INTERVAL_ROUNDS: u32 = 10;
/// Peers to which a new override is sent in each round.
const FAN_OUT: usize = 4;
/// Rounds in which a new override is sent. With a single round to four peers, one instance in fifty
/// is missed and has to wait for an exchange; with three rounds, fewer than one in a hundred
/// thousand.
pub const RECENT_ROUNDS: u32 = 3;
/// Peers to which the instance that receives the operator's order sends it directly.
const ORIGIN_FAN_OUT: usize = 32;

/// Propagates overrides for as long as the process runs.
pub async fn run(updater: &ConfigUpdater) {
    let mut rounds_since_exchange = 0;
    loop {
        updater.timer.sleep(jittered(ROUND_PERIOD)).await;
        let state = updater.gossip_state();
        rounds_since_exchange += 1;
        let fan_out = match (state.has_recent, state.has_overrides) {
            (true, _) => FAN_OUT,
            (false, true) if rounds_since_exchange >= EXCHANGE_INTERVAL_ROUNDS => 1,
            _ => continue,
        };
        rounds_since_exchange = 0;
        let peers = random_peers(&updater.reachable_peers(), fan_out);
        join_all(peers.iter().map(|peer| updater.exchange_with(peer))).await;
    }
}

/// Sends a new override to peers and reports which of them have accepted it.
pub async fn broadcast(updater: &ConfigUpdater, order: Override) -> OverrideReport {
    let peers = random_peers(&updater.reachable_peers(), ORIGIN_FAN_OUT);
    let answers = join_all(peers.iter().map(|peer| updater.exchange_with(peer))).await;
    let mut report = OverrideReport {
        order,
        accepted_by: Vec::new(),
        unanswered_by: Vec::new(),
    };
    for (peer, answered) in peers.into_iter().zip(answers) {
        let list: &mut Vec<InstanceId> = match answered {
            true => &mut report.accepted_by,
            false => &mut report.unanswered_by,
        };
        list.push(peer);
    }
    report
}
