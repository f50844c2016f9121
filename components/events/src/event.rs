//! All events that the program logs. `docs/EVENTS.md` is their catalogue, made from this file.
//!
//! To add one: take the next free number of your range, write it below, and run
//! `cargo run -- docs events > docs/EVENTS.md`. Numbers never change meaning. Ranges: 100 life of
//! the process, 200 members and ownership, 300 decisions, 400 callers, 500 targets, 600 platform
//! and claims, 700 configuration, 800 administration, 900 requests by declared routes.

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
    /// Whoever reads the log was too slow, and lines were left out.
    LinesDropped {
        /// How many.
        dropped: u64,
    } = (
        104, Warn, "{dropped} lines of the log were dropped, nobody read them in time",
        "Look at what reads the output; counters of events are complete.",
    ),
    /// A shutdown takes no further connections, and closes each one after its answer.
    DrainClosing {
        /// Callers' connections that are open.
        connections: usize,
        /// Requests that are still running.
        open: usize,
    } = (
        105, Info, "shutdown takes no further connections; {connections} are open, {open} requests are running",
        "Nothing.",
    ),
    /// The process ends although callers' connections are still open.
    StoppedShort {
        /// Callers' connections that are open.
        connections: usize,
        /// Requests that were read and got no answer.
        unanswered: usize,
        /// Generations that are cut.
        cut: usize,
    } = (
        106, Warn, "the process ends with {connections} connections open, {unanswered} requests unanswered and {cut} generations cut",
        "Look for the lines 924 and 905 before it; if it comes often, give instances a longer grace.",
    ),
    /// A task panicked. What it did for a caller is answered with an error; the process goes on.
    Panicked {
        /// Where in the sources.
        place: Arc<str>,
        /// What it says.
        message: Arc<str>,
    } = (
        107, Error, "a task panicked at {place}: {message}",
        "Report it with the lines before it.",
    ),
    /// The process got SIGHUP. Settings are read at the start only; all else goes on.
    HangUp = (
        108, Info, "SIGHUP changes nothing: settings are read at the start only",
        "If the settings have changed, restart the instance when it suits.",
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
    /// A request got an answer of our own in place of a target's.
    RequestRefused {
        /// Its id.
        id: Arc<str>,
        /// The status that the caller got.
        status: u16,
        /// Why.
        reason: Arc<str>,
        /// When the caller may come back, in milliseconds; 0 if it was not told.
        retry_ms: u64,
        /// How long it was held, in milliseconds.
        held_ms: u64,
        /// The version of the configuration that decided.
        rules: ConfigVersion,
        /// Age of that knowledge in milliseconds.
        age_ms: u64,
    } = (
        900, Info, "{id}: answered {status} after {held_ms} ms: {reason}",
        "The reason tells; many at once mean that targets or the store are short.",
    ),
    /// A request goes to a target.
    RequestSent {
        /// Its id.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// What stays the same of it when it comes again.
        fingerprint: Arc<str>,
        /// Which sending of this request it is, from 1.
        sending: u32,
        /// How long it was held before, in milliseconds.
        held_ms: u64,
        /// Time that the caller still waits, in milliseconds.
        left_ms: u64,
    } = (
        901, Info, "{id}: sent to {target} after {held_ms} ms, sending {sending}",
        "Nothing.",
    ),
    /// A sending of a request brought no answer that could be passed on.
    SendingFailed {
        /// Its id.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// What came instead.
        reason: Arc<str>,
        /// Whether it is certain that the request did not run there.
        not_run: bool,
    } = (
        902, Info, "{id}: {target} failed it: {reason} (certainly not run: {not_run})",
        "Many for one target mean that the target is in trouble.",
    ),
    /// A target's whole answer was passed on.
    RequestAnswered {
        /// Its id.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// The status.
        status: u16,
        /// Time from the request's arrival, in milliseconds.
        took_ms: u64,
    } = (
        903, Info, "{id}: {target} answered {status} after {took_ms} ms",
        "Nothing.",
    ),
    /// The first event of a generation came.
    FirstEvent {
        /// The request's id.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// Time from the request's arrival, in milliseconds.
        took_ms: u64,
    } = (
        904, Info, "{id}: first event from {target} after {took_ms} ms",
        "Nothing.",
    ),
    /// A generation's stream could not be continued, and the caller got a part of it.
    StreamCut {
        /// The request's id.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// Why.
        reason: Arc<str>,
        /// The last event that was passed on; 0 if none was.
        last_event: u64,
    } = (
        905, Warn, "{id}: cut after event {last_event} from {target}: {reason}",
        "Look for the target's end, and whether 907 tells why it was not carried over.",
    ),
    /// A generation goes on at another engine.
    GenerationCarried {
        /// The request's id.
        id: Arc<str>,
        /// Where it ran.
        from: TargetId,
        /// Where it runs now.
        to: TargetId,
        /// Time of the first copy, in milliseconds.
        copy_ms: u64,
        /// Time of the final copy and the splice, in milliseconds.
        pause_ms: u64,
    } = (
        906, Info, "{id}: carried from {from} to {to}, paused {pause_ms} ms",
        "Nothing.",
    ),
    /// A generation could not be carried over.
    CarryFailed {
        /// The request's id.
        id: Arc<str>,
        /// Where it runs.
        from: TargetId,
        /// Where it was to go on.
        to: TargetId,
        /// Why.
        reason: Arc<str>,
    } = (
        907, Info, "{id}: not carried from {from} to {to}: {reason}",
        "Nothing, unless it comes for most generations.",
    ),
    /// An engine did not say what it holds.
    EngineUnheard {
        /// The engine.
        target: TargetId,
        /// Why.
        reason: Arc<str>,
    } = (
        908, Info, "{target} does not tell what it holds: {reason}",
        "Nothing, unless it comes for one engine again and again.",
    ),
    /// A generation whose stream was lost goes on from its engine's memory at another engine.
    GenerationRescued {
        /// The request's id.
        id: Arc<str>,
        /// The engine whose stream was lost.
        from: TargetId,
        /// Where it goes on.
        to: TargetId,
        /// Time of the copy, in milliseconds.
        copy_ms: u64,
    } = (
        909, Info, "{id}: taken from {from} to {to} after its stream was lost",
        "Look at the link to the first engine if it comes often.",
    ),
    /// Another version of the configuration is in force.
    RulesInForce {
        /// The version.
        version: ConfigVersion,
        /// The version before; 0 if there was none.
        from: ConfigVersion,
    } = (
        910, Info, "configuration {version} is in force, before it {from}",
        "Nothing.",
    ),
    /// A target takes work.
    TargetJoined {
        /// The target.
        target: TargetId,
    } = (
        911, Info, "target {target} takes work",
        "Nothing.",
    ),
    /// A target leaves.
    TargetLeaving {
        /// The target.
        target: TargetId,
    } = (
        912, Info, "target {target} leaves",
        "Nothing.",
    ),
    /// A target began a new life under its old id.
    TargetReborn {
        /// The target.
        target: TargetId,
    } = (
        913, Info, "target {target} has started again",
        "Nothing, unless it comes often.",
    ),
    /// A data centre gets no more work, or work again.
    DataCentreSwitched {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether it is taken out.
        out: bool,
    } = (
        914, Info, "data centre {data_centre} is taken out: {out}",
        "Nothing.",
    ),
    /// A topic of the store can't be followed.
    StoreLost {
        /// The topic.
        topic: Arc<str>,
        /// Why.
        reason: Arc<str>,
    } = (
        915, Warn, "the store is lost for {topic}: {reason}",
        "Look at the store and the way to it; keys are honoured only for a short while.",
    ),
    /// A topic of the store is followed again.
    StoreRegained {
        /// The topic.
        topic: Arc<str>,
        /// How long it was lost, in milliseconds.
        lost_ms: u64,
    } = (
        916, Info, "the store is back for {topic} after {lost_ms} ms",
        "Nothing.",
    ),
    /// Something in the store can't be read; it names nothing.
    RowUnreadable {
        /// The topic.
        topic: Arc<str>,
        /// Its key.
        key: Arc<str>,
        /// Why.
        reason: Arc<str>,
    } = (
        917, Warn, "row {key} of {topic} can't be read: {reason}",
        "Find out who wrote it.",
    ),
    /// A peer does not answer.
    PeerLost {
        /// The peer.
        peer: InstanceId,
        /// Why.
        reason: Arc<str>,
    } = (
        918, Warn, "peer {peer} does not answer: {reason}",
        "If you did not stop it, look at that instance and at the link to it.",
    ),
    /// A peer answers again.
    PeerRegained {
        /// The peer.
        peer: InstanceId,
    } = (
        919, Info, "peer {peer} answers again",
        "Nothing.",
    ),
    /// The settings file was read again.
    SettingsReloaded {
        /// Whether anything in it had changed.
        changed: bool,
    } = (
        920, Info, "the settings were read again, changed: {changed}",
        "Nothing.",
    ),
    /// The settings file could not be read again; the settings before stay.
    SettingsKept {
        /// Why.
        reason: Arc<str>,
    } = (
        921, Warn, "the settings can't be read, those before stay: {reason}",
        "Mend the file.",
    ),
    /// The settings changed in names, addresses or sizes, which a running instance keeps.
    SettingsNeedRestart = (
        922, Warn, "some of the changed settings take a restart",
        "Restart the instance when it suits; its bounds and seeds are the new ones already.",
    ),
    /// A request whose caller's connection ended before there was an answer.
    RequestDropped {
        /// The caller's id for it.
        id: Arc<str>,
        /// How long it was held, in milliseconds.
        held_ms: u64,
    } = (
        923, Info, "{id}: dropped after {held_ms} ms, its caller's connection has ended",
        "Nothing, unless callers say that they did not leave.",
    ),
    /// A request that gets no answer because the process ends.
    RequestUnanswered {
        /// The caller's id for it.
        id: Arc<str>,
        /// How long it was held, in milliseconds.
        held_ms: u64,
    } = (
        924, Warn, "{id}: the process ends without an answer to it, after {held_ms} ms",
        "Report it: an instance answers what it has read before it ends.",
    ),
    /// A target ended while it ran a request.
    TargetEnded {
        /// The request's id.
        id: Arc<str>,
        /// What stays the same of the request when it comes again.
        fingerprint: Arc<str>,
        /// The target.
        target: TargetId,
        /// Events of its answer that had come.
        events: u64,
    } = (
        925, Warn, "{id}: {target} ended while it ran this, after {events} events",
        "Look for the same fingerprint at other targets: a request may crash what runs it.",
    ),
    /// Requests with a fingerprint are sent to no target any more.
    RequestsQuarantined {
        /// Their fingerprint.
        fingerprint: Arc<str>,
        /// For how long, in milliseconds.
        for_ms: u64,
    } = (
        926, Warn, "requests {fingerprint} are rejected for {for_ms} ms, targets ended under them",
        "Look at the 925 lines with this fingerprint; mend the targets, or have the sender stop.",
    ),
    /// Requests that were rejected are served again: a target has served one and lives.
    QuarantineLifted {
        /// Their fingerprint.
        fingerprint: Arc<str>,
    } = (
        927, Info, "requests {fingerprint} are not rejected any more",
        "Nothing.",
    ),
    /// A target in need takes only so many requests a second from all instances together.
    TargetLimited {
        /// The target.
        target: TargetId,
        /// How many in a thousand seconds.
        per_1000_s: u64,
    } = (
        928, Warn, "{target} takes {per_1000_s} requests in 1000 s from all instances together",
        "Look at the target. Its requests go elsewhere while others have room.",
    ),
    /// A target that was in need takes any number of requests again.
    TargetUnlimited {
        /// The target.
        target: TargetId,
    } = (
        929, Info, "{target} names no limit any more",
        "Nothing.",
    ),
}
