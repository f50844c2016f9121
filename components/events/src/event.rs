//! All events that the program logs. `docs/EVENTS.md` is their catalogue, made from this file.
//!
//! To add one: take the next free number of your range, write it below, and run
//! `cargo run -- docs events > docs/EVENTS.md`. Numbers never change meaning. Ranges: 100 life of
//! the process, 200 members and ownership, 300 decisions, 400 callers, 500 targets, 600 platform
//! and claims, 700 configuration, 800 administration.

use std::sync::Arc;

use types::{ConfigVersion, DataCentreId, Epoch, InstanceId, Shard, TargetId, WorkspaceId};

use crate::declare::declare_events;

declare_events! {
    /// The instance has started.
    Started {
        /// Its name.
        instance: InstanceId,
    } = (
        100, Info, "instance {instance} has started",
        "Nothing. If you did not start it, look for what ended the process before.",
    ),
    /// A shutdown has begun: the instance reports unready and finishes what runs.
    Draining {
        /// Requests that are still running.
        open: usize,
    } = (
        101, Info, "shutdown begins, {open} requests are running",
        "Wait for 102 before you remove the machine.",
    ),
    /// The process ends with all its work done.
    Stopped = (
        102, Info, "all work is done, the process ends",
        "Nothing.",
    ),
    /// The process did not run for a while, so that others may have taken over what it owned.
    Paused {
        /// Length of the gap in milliseconds.
        gap_ms: u64,
    } = (
        103, Warn, "the process did not run for {gap_ms} ms; it gives up its shards",
        "If it comes often, give the instance more processor time or move it.",
    ),
    /// A peer is heard for the first time, or again.
    PeerHeard {
        /// The peer.
        peer: InstanceId,
    } = (
        200, Info, "peer {peer} is heard",
        "Nothing.",
    ),
    /// A peer is no longer heard; its shards go to other instances.
    PeerSilent {
        /// The peer.
        peer: InstanceId,
    } = (
        201, Warn, "peer {peer} is silent",
        "If you did not stop it, look at that instance and at the link to it.",
    ),
    /// This instance grants permits for a shard now.
    Owning {
        /// The shard.
        shard: Shard,
        /// The term.
        epoch: Epoch,
    } = (
        202, Info, "owner of {shard} in term {epoch}",
        "Nothing.",
    ),
    /// This instance no longer grants permits for a shard.
    Disowned {
        /// The shard.
        shard: Shard,
    } = (
        203, Info, "no longer owner of {shard}",
        "Nothing.",
    ),
    /// A generation stopped before its end, and its caller got a part of the answer.
    AnswerCut {
        /// Who asked.
        workspace: WorkspaceId,
        /// Where it ran.
        target: TargetId,
        /// Why it stopped.
        reason: Arc<str>,
    } = (
        400, Warn, "an answer for workspace {workspace} from {target} was cut short: {reason}",
        "If it comes often from one target, look at that target and at the link to it.",
    ),
    /// A call that must not be repeated was sent, and its answer was lost; the caller was told `unknown`.
    CallLost {
        /// Who asked.
        workspace: WorkspaceId,
        /// Where it was sent.
        target: TargetId,
        /// The request's name, as the target got it in `x-request-id`.
        request: Arc<str>,
    } = (
        401, Warn, "call {request} of workspace {workspace} to {target} may have run: its answer was lost",
        "Ask the service what became of the call. If it comes often, look at the target and at the link to it.",
    ),
    /// The link to a target broke or fell silent under a stream, which went on over new ones.
    LinkReplaced {
        /// The target.
        target: TargetId,
        /// New connections that the stream needed.
        times: u32,
    } = (
        500, Info, "a stream from {target} needed {times} new connections",
        "If it comes often, look at the link to the target: something on the way drops connections.",
    ),
    /// The table service can't be reached.
    TableDown {
        /// Why.
        reason: Arc<str>,
    } = (
        600, Warn, "the table service can't be reached: {reason}",
        "Look at the table service. Until it is back, keyed requests and changes of configuration are refused; all else goes on.",
    ),
    /// The table service answers again.
    TableUp = (
        601, Info, "the table service answers again",
        "Nothing.",
    ),
    /// A configuration is in force.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
    } = (
        700, Info, "configuration {version} is in force",
        "Nothing.",
    ),
    /// No configuration was found yet; the instance stays unready.
    ConfigMissing {
        /// Why the table service gave none.
        reason: Arc<str>,
    } = (
        701, Warn, "no configuration found yet, not ready: {reason}",
        "Look at the table service, or start an instance beside one that has a configuration.",
    ),
    /// An operator keeps a data centre out, or no longer, while the table service is down.
    Overridden {
        /// The data centre.
        data_centre: DataCentreId,
        /// Kept out, or withdrawn.
        out: bool,
        /// The operator.
        who: Arc<str>,
        /// Time that it holds, in seconds.
        seconds: u64,
    } = (
        702, Warn, "{who} overrides data centre {data_centre}: out {out}, for {seconds} s; not accepted yet",
        "Look at the table service. The override ends by itself; once the service is back it is committed.",
    ),
    /// An override was committed and is an accepted change now.
    OverrideAccepted {
        /// The data centre.
        data_centre: DataCentreId,
        /// The version that it made.
        version: ConfigVersion,
    } = (
        703, Info, "the override of data centre {data_centre} is accepted as version {version}",
        "Nothing. Bring the data centre back as usual when you want it.",
    ),
    /// The table service has an older configuration than the one in force: it was set back.
    StoreBehind {
        /// The version at the table service.
        store: ConfigVersion,
        /// The version in force here.
        here: ConfigVersion,
    } = (
        704, Error, "the table service has configuration {store}, older than {here} in force; no change is accepted",
        "What is in force stays. Restore the table service to a newer state; or export the tree, stop all instances, start them anew and apply it.",
    ),
    /// An operator's change was accepted.
    ChangeAccepted {
        /// Who made it.
        who: Arc<str>,
        /// The node.
        path: Arc<str>,
        /// The version that it made.
        version: ConfigVersion,
    } = (
        800, Info, "{who} changed {path}, version {version}",
        "Nothing.",
    ),
    /// An operator's change was not accepted.
    ChangeRefused {
        /// Who wanted it.
        who: Arc<str>,
        /// The node.
        path: Arc<str>,
        /// Why.
        reason: Arc<str>,
    } = (
        801, Info, "the change of {path} by {who} was not accepted: {reason}",
        "Nothing; the operator was told the same.",
    ),
    /// A request to the administration API carried no valid operator's key. Logged at most once a second.
    OperatorUnknown {
        /// Where it came from.
        peer: Arc<str>,
    } = (
        802, Warn, "a request to the administration API from {peer} had no valid key",
        "If it comes often from an address you don't know, close the admin address to it.",
    ),
    /// An operator took a data centre out of service.
    DataCentreOut {
        /// The data centre.
        data_centre: DataCentreId,
        /// Who did it.
        who: Arc<str>,
    } = (
        803, Info, "{who} took data centre {data_centre} out",
        "Nothing.",
    ),
    /// An operator brought a data centre back into service.
    DataCentreIn {
        /// The data centre.
        data_centre: DataCentreId,
        /// Who did it.
        who: Arc<str>,
    } = (
        804, Info, "{who} brought data centre {data_centre} back",
        "Nothing.",
    ),
    /// An operator keeps a data centre out for a limited time although the table service is down.
    OverrideGiven {
        /// The data centre.
        data_centre: DataCentreId,
        /// Who did it.
        who: Arc<str>,
        /// For how long, in minutes.
        minutes: u32,
    } = (
        805, Warn, "{who} keeps data centre {data_centre} out for {minutes} minutes, not accepted",
        "When the table service is back it becomes an ordinary change. If it ends before, repeat it.",
    ),
    /// An operator withdrew such an order.
    OverrideWithdrawn {
        /// The data centre.
        data_centre: DataCentreId,
        /// Who did it.
        who: Arc<str>,
    } = (
        806, Info, "{who} no longer keeps data centre {data_centre} out",
        "Nothing.",
    ),
}
