//! All events that the program logs. `docs/EVENTS.md` is their catalogue, generated from this file.
//!
//! To add an event, take the next free number of its range, declare it below, and run
//! `cargo run -- docs events > docs/EVENTS.md`. Numbers never change meaning. Ranges: 100 process
//! lifecycle, 200 members and ownership, 300 decisions, 400 callers, 500 targets, 600 platform
//! and claims, 700 configuration, 800 administration, 900 requests by declared routes.

use std::sync::Arc;

use types::{
    ConfigVersion, DataCentreId, Epoch, InstanceId, ServiceId, Shard, TargetId, VersionId,
    WorkspaceId,
};

use crate::declare::declare_events;

declare_events! {
    /// The instance has started.
    Started {
        /// Name of the instance.
        instance: InstanceId,
    } = (
        100, Info, "instance {instance} has started",
        "Nothing. If you did not start the instance, find out why its previous process ended.",
    ),
    /// A shutdown has begun: the instance reports that it is not ready and completes its requests.
    Draining {
        /// Requests that are still running.
        open: usize,
    } = (
        101, Info, "shutdown has begun, {open} requests are running",
        "Wait for 102 before you remove the machine.",
    ),
    /// The process exits after all requests have completed.
    Stopped = (
        102, Info, "all requests have completed, the process exits",
        "Nothing.",
    ),
    /// The process was suspended for a while, so other instances may have taken over its shards.
    Paused {
        /// Duration of the suspension, in milliseconds.
        gap_ms: u64,
    } = (
        103, Warn, "the process was suspended for {gap_ms} ms; it gives up its shards",
        "If this happens often, give the instance more processor time or move it to another machine.",
    ),
    /// The reader of the log output was too slow, and log lines were dropped.
    LinesDropped {
        /// Number of dropped lines.
        dropped: u64,
    } = (
        104, Warn, "{dropped} log lines were dropped because the output was not read in time",
        "Check the process that reads the output. Event counters include the dropped lines.",
    ),
    /// A shutdown accepts no further connections, and closes each open one after its response.
    DrainClosing {
        /// Open connections of callers.
        connections: usize,
        /// Requests that are still running.
        open: usize,
    } = (
        105, Info, "shutdown accepts no further connections; {connections} are open, {open} requests are running",
        "Nothing.",
    ),
    /// The process exits although connections of callers are still open.
    StoppedShort {
        /// Open connections of callers.
        connections: usize,
        /// Requests that were read and got no response.
        unanswered: usize,
        /// Generations whose streams are truncated.
        cut: usize,
    } = (
        106, Warn, "the process exits with {connections} connections open, {unanswered} requests unanswered and {cut} generations truncated",
        "Look for events 924 and 905 before it. If this happens often, give instances a longer grace period.",
    ),
    /// A task panicked. If it served a caller, the caller gets an error; the process continues.
    Panicked {
        /// Location in the source code.
        place: Arc<str>,
        /// Message of the panic.
        message: Arc<str>,
    } = (
        107, Error, "a task panicked at {place}: {message}",
        "Report it together with the preceding log lines.",
    ),
    /// The process received SIGHUP, which has no effect: settings are read only at startup.
    HangUp = (
        108, Info, "SIGHUP has no effect: settings are read only at startup",
        "If the settings have changed, restart the instance at a suitable time.",
    ),
    /// The time for a shutdown is nearly over: requests that are still open are answered, and streams are cut.
    ShutdownEndsRequests {
        /// Requests that are still running.
        open: usize,
    } = (
        109, Warn, "the time for the shutdown is nearly over, {open} requests are ended",
        "If they may take that long, allow more time (`shutdown-seconds`) and have the platform wait as long.",
    ),
    /// Heartbeats of a peer arrive for the first time, or again.
    PeerHeard {
        /// The peer.
        peer: InstanceId,
    } = (
        200, Info, "peer {peer} is alive",
        "Nothing.",
    ),
    /// Heartbeats of a peer no longer arrive; other instances take over its shards.
    PeerSilent {
        /// The peer.
        peer: InstanceId,
    } = (
        201, Warn, "peer {peer} is unresponsive",
        "If you did not stop it, check that instance and the network connection to it.",
    ),
    /// This instance now grants the permits of a shard.
    Owning {
        /// The shard.
        shard: Shard,
        /// The term of ownership.
        epoch: Epoch,
    } = (
        202, Info, "owner of {shard} in term {epoch}",
        "Nothing.",
    ),
    /// This instance no longer grants the permits of a shard.
    Disowned {
        /// The shard.
        shard: Shard,
    } = (
        203, Info, "no longer owner of {shard}",
        "Nothing.",
    ),
    /// A generation stopped early, and its caller received a part of the answer.
    AnswerCut {
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// Target that ran it.
        target: TargetId,
        /// The reason why it stopped.
        reason: Arc<str>,
    } = (
        400, Warn, "an answer for workspace {workspace} from {target} was truncated: {reason}",
        "If this happens often with one target, check that target and the network connection to it.",
    ),
    /// A call that must not be retried was sent, and its response was lost; the caller got the code `unknown`.
    CallLost {
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// Target that it was sent to.
        target: TargetId,
        /// Id of the request, which the target received in `x-request-id`.
        request: Arc<str>,
    } = (
        401, Warn, "call {request} of workspace {workspace} to {target} may have run: its response was lost",
        "Ask the service whether the call ran. If this happens often, check the target and the network connection to it.",
    ),
    /// The connection to a target failed or timed out, and its stream was resumed over new connections.
    LinkReplaced {
        /// The target.
        target: TargetId,
        /// Number of new connections that the stream needed.
        times: u32,
    } = (
        500, Info, "a stream from {target} needed {times} new connections",
        "If this happens often, check the network path to the target: something on it drops connections.",
    ),
    /// The table service is unreachable.
    TableDown {
        /// The reason.
        reason: Arc<str>,
    } = (
        600, Warn, "the table service is unreachable: {reason}",
        "Check the table service. Until it is available again, requests with an idempotency key and configuration changes are rejected; everything else continues.",
    ),
    /// The table service answers again.
    TableUp = (
        601, Info, "the table service answers again",
        "Nothing.",
    ),
    /// A version of the configuration took effect.
    ConfigInForce {
        /// Its version number.
        version: ConfigVersion,
    } = (
        700, Info, "configuration {version} is in force",
        "Nothing.",
    ),
    /// No configuration has been found yet; the instance is not ready.
    ConfigMissing {
        /// Why the table service returned none.
        reason: Arc<str>,
    } = (
        701, Warn, "no configuration found yet, the instance is not ready: {reason}",
        "Check the table service, or run the instance alongside a peer that has a configuration.",
    ),
    /// An operator took a data centre out by an override, or withdrew it, without the table service.
    Overridden {
        /// The data centre.
        data_centre: DataCentreId,
        /// `true` if the data centre is taken out, `false` if the override is withdrawn.
        out: bool,
        /// The operator.
        who: Arc<str>,
        /// Duration of the override, in seconds.
        seconds: u64,
    } = (
        702, Warn, "{who} overrode data centre {data_centre}: out {out}, for {seconds} s; not committed yet",
        "Check the table service. The override expires by itself; it is committed once the service is available again.",
    ),
    /// An override was committed and is now a regular change.
    OverrideAccepted {
        /// The data centre.
        data_centre: DataCentreId,
        /// Version that the change created.
        version: ConfigVersion,
    } = (
        703, Info, "the override of data centre {data_centre} was committed as version {version}",
        "Nothing. Bring the data centre back as usual.",
    ),
    /// The table service holds an older configuration than the one in force: its data was rolled back.
    StoreBehind {
        /// Version in the table service.
        store: ConfigVersion,
        /// Version in force on this instance.
        here: ConfigVersion,
    } = (
        704, Error, "the table service holds configuration {store}, older than {here} in force; changes are rejected",
        "The configuration in force stays. Restore the table service to a newer state; or export the tree, stop all instances, start them again and apply the exported tree.",
    ),
    /// An operator's change was accepted.
    ChangeAccepted {
        /// The operator.
        who: Arc<str>,
        /// Path of the node.
        path: Arc<str>,
        /// Version that the change created.
        version: ConfigVersion,
    } = (
        800, Info, "{who} changed {path}, version {version}",
        "Nothing.",
    ),
    /// An operator's change was rejected, or its outcome is unknown.
    ChangeRefused {
        /// The operator.
        who: Arc<str>,
        /// Path of the node.
        path: Arc<str>,
        /// The reason.
        reason: Arc<str>,
    } = (
        801, Info, "the change of {path} by {who} was not accepted: {reason}",
        "Nothing. The operator got the same reason.",
    ),
    /// A request to the administration API had no valid operator key. Logged at most once a second.
    OperatorUnknown {
        /// IP address of the client.
        peer: Arc<str>,
    } = (
        802, Warn, "a request to the administration API from {peer} had no valid key",
        "If this happens often from an address that you don't know, block its access to the admin address.",
    ),
    /// An operator took a data centre out of service.
    DataCentreOut {
        /// The data centre.
        data_centre: DataCentreId,
        /// The operator.
        who: Arc<str>,
    } = (
        803, Info, "{who} took data centre {data_centre} out",
        "Nothing.",
    ),
    /// An operator brought a data centre back into service.
    DataCentreIn {
        /// The data centre.
        data_centre: DataCentreId,
        /// The operator.
        who: Arc<str>,
    } = (
        804, Info, "{who} brought data centre {data_centre} back",
        "Nothing.",
    ),
    /// An operator keeps a data centre out for a limited time while the table service is unavailable.
    OverrideGiven {
        /// The data centre.
        data_centre: DataCentreId,
        /// The operator.
        who: Arc<str>,
        /// Duration of the override, in minutes.
        minutes: u32,
    } = (
        805, Warn, "{who} keeps data centre {data_centre} out for {minutes} minutes, not committed yet",
        "The override becomes a regular change once the table service is available again. If it expires before, repeat it.",
    ),
    /// An operator withdrew an override.
    OverrideWithdrawn {
        /// The data centre.
        data_centre: DataCentreId,
        /// The operator.
        who: Arc<str>,
    } = (
        806, Info, "{who} withdrew the override of data centre {data_centre}",
        "Nothing.",
    ),
    /// The instance answered a request itself in place of a target.
    RequestRefused {
        /// Id of the request.
        id: Arc<str>,
        /// HTTP status of the answer.
        status: u16,
        /// The reason.
        reason: Arc<str>,
        /// Time after which the caller may retry, in milliseconds; 0 if the answer names none.
        retry_ms: u64,
        /// Time since the request arrived, in milliseconds.
        held_ms: u64,
        /// Version of the configuration that the decision was based on.
        rules: ConfigVersion,
        /// Age of that configuration, in milliseconds.
        age_ms: u64,
    } = (
        900, Info, "{id}: answered {status} after {held_ms} ms: {reason}",
        "See the reason. Many at once mean that targets or the store lack capacity.",
    ),
    /// A request was sent to a target.
    RequestSent {
        /// Id of the request.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// Fingerprint of the request, the same for all its retries.
        fingerprint: Arc<str>,
        /// Digests of the parts of its prompt that other requests may share, separated by commas.
        parts: Arc<str>,
        /// Number of the attempt, from 1.
        sending: u32,
        /// Time from the request's arrival until it was sent, in milliseconds.
        held_ms: u64,
        /// Time left until the caller's deadline, in milliseconds.
        left_ms: u64,
    } = (
        901, Info, "{id}: sent to {target} after {held_ms} ms, attempt {sending}",
        "Nothing.",
    ),
    /// An attempt brought no response that could be forwarded.
    SendingFailed {
        /// Id of the request.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// The reason of the failure.
        reason: Arc<str>,
        /// Whether it is certain that the target did not run the request.
        not_run: bool,
    } = (
        902, Info, "{id}: attempt at {target} failed: {reason} (certainly not run: {not_run})",
        "Many for one target mean that the target has a fault.",
    ),
    /// A target's complete response was forwarded.
    RequestAnswered {
        /// Id of the request.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// HTTP status of the response.
        status: u16,
        /// Time from the request's arrival, in milliseconds.
        took_ms: u64,
    } = (
        903, Info, "{id}: {target} answered {status} after {took_ms} ms",
        "Nothing.",
    ),
    /// The first event of a generation arrived.
    FirstEvent {
        /// Id of the request.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// Time from the request's arrival, in milliseconds.
        took_ms: u64,
    } = (
        904, Info, "{id}: first event from {target} after {took_ms} ms",
        "Nothing.",
    ),
    /// A generation's stream could not be resumed, and the caller received a part of it.
    StreamCut {
        /// Id of the request.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// The reason.
        reason: Arc<str>,
        /// Number of the last event that was forwarded; 0 if there was none.
        last_event: u64,
    } = (
        905, Warn, "{id}: truncated after event {last_event} from {target}: {reason}",
        "Find out why the target ended, and whether an event 907 tells why the generation was not migrated.",
    ),
    /// A generation was migrated to another engine.
    GenerationCarried {
        /// Id of the request.
        id: Arc<str>,
        /// The source engine.
        from: TargetId,
        /// The destination engine.
        to: TargetId,
        /// Duration of the first copy, in milliseconds.
        copy_ms: u64,
        /// Duration of the final copy and of joining the two streams, in milliseconds.
        pause_ms: u64,
    } = (
        906, Info, "{id}: migrated from {from} to {to}, paused for {pause_ms} ms",
        "Nothing.",
    ),
    /// A generation could not be migrated.
    CarryFailed {
        /// Id of the request.
        id: Arc<str>,
        /// The engine that runs it.
        from: TargetId,
        /// The intended destination.
        to: TargetId,
        /// The reason.
        reason: Arc<str>,
    } = (
        907, Info, "{id}: not migrated from {from} to {to}: {reason}",
        "Nothing, unless most generations are affected.",
    ),
    /// An engine did not report its generations and memory use.
    EngineUnheard {
        /// The engine.
        target: TargetId,
        /// The reason.
        reason: Arc<str>,
    } = (
        908, Info, "{target} does not report its generations: {reason}",
        "Nothing, unless one engine is affected repeatedly.",
    ),
    /// A generation whose stream was lost continues at another engine, to which its memory was copied.
    GenerationRescued {
        /// Id of the request.
        id: Arc<str>,
        /// The engine whose stream was lost.
        from: TargetId,
        /// The engine that continues it.
        to: TargetId,
        /// Duration of the copy, in milliseconds.
        copy_ms: u64,
    } = (
        909, Info, "{id}: moved from {from} to {to} after its stream was lost",
        "If this happens often, check the network connection to the first engine.",
    ),
    /// Another version of the configuration took effect.
    RulesInForce {
        /// The version.
        version: ConfigVersion,
        /// The previous version; 0 if there was none.
        from: ConfigVersion,
    } = (
        910, Info, "configuration {version} is in force, previously {from}",
        "Nothing.",
    ),
    /// A target accepts requests.
    TargetJoined {
        /// The target.
        target: TargetId,
    } = (
        911, Info, "target {target} accepts requests",
        "Nothing.",
    ),
    /// A target is shutting down and accepts no new requests.
    TargetLeaving {
        /// The target.
        target: TargetId,
    } = (
        912, Info, "target {target} is leaving",
        "Nothing.",
    ),
    /// A target restarted under the same id.
    TargetReborn {
        /// The target.
        target: TargetId,
    } = (
        913, Info, "target {target} has restarted",
        "Nothing, unless it happens often.",
    ),
    /// A data centre was taken out of service, or brought back.
    DataCentreSwitched {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether it is out of service.
        out: bool,
    } = (
        914, Info, "data centre {data_centre} is out of service: {out}",
        "Nothing.",
    ),
    /// A topic of the store can't be followed, neither at the store nor at another instance.
    StoreLost {
        /// The topic.
        topic: Arc<str>,
        /// The reason.
        reason: Arc<str>,
    } = (
        915, Warn, "the store is unavailable: its {topic} rows can't be followed: {reason}",
        "Check the store and the network path to it. Callers' keys are honoured only for a limited time without it.",
    ),
    /// A topic of the store is followed again.
    StoreRegained {
        /// The topic.
        topic: Arc<str>,
        /// Time since it was lost, in milliseconds.
        lost_ms: u64,
    } = (
        916, Info, "the store is available again after {lost_ms} ms: its {topic} rows are followed",
        "Nothing.",
    ),
    /// A row of the store can't be decoded; a target whose row it is gets no requests.
    RowUnreadable {
        /// The topic.
        topic: Arc<str>,
        /// Key of the row.
        key: Arc<str>,
        /// The reason.
        reason: Arc<str>,
    } = (
        917, Warn, "row {key} of {topic} can't be decoded: {reason}",
        "Find out which program wrote it.",
    ),
    /// A peer does not answer.
    PeerLost {
        /// The peer.
        peer: InstanceId,
        /// The reason.
        reason: Arc<str>,
    } = (
        918, Warn, "peer {peer} does not answer: {reason}",
        "If you did not stop it, check that instance and the network connection to it.",
    ),
    /// A peer answers again.
    PeerRegained {
        /// The peer.
        peer: InstanceId,
    } = (
        919, Info, "peer {peer} answers again",
        "Nothing.",
    ),
    /// The settings file was reloaded.
    SettingsReloaded {
        /// Whether anything in it had changed.
        changed: bool,
    } = (
        920, Info, "the settings were reloaded, changed: {changed}",
        "Nothing.",
    ),
    /// The settings file could not be reloaded; the previous settings stay in effect.
    SettingsKept {
        /// The reason.
        reason: Arc<str>,
    } = (
        921, Warn, "the settings can't be reloaded, the previous ones stay in effect: {reason}",
        "Fix the file.",
    ),
    /// The reloaded settings change names, addresses or sizes, which takes effect only after a restart.
    SettingsNeedRestart = (
        922, Warn, "some of the changed settings take effect only after a restart",
        "Restart the instance at a suitable time. The new bounds and seeds are in effect already.",
    ),
    /// A request was dropped because its caller's connection ended before there was an answer.
    RequestDropped {
        /// Id of the request.
        id: Arc<str>,
        /// Time since the request arrived, in milliseconds.
        held_ms: u64,
    } = (
        923, Info, "{id}: dropped after {held_ms} ms, its caller's connection has ended",
        "Nothing, unless callers report that they did not disconnect.",
    ),
    /// A request gets no answer because the process exits.
    RequestUnanswered {
        /// Id of the request.
        id: Arc<str>,
        /// Time since the request arrived, in milliseconds.
        held_ms: u64,
    } = (
        924, Warn, "{id}: the process exits without answering it, after {held_ms} ms",
        "Report it: an instance must answer every request that it has read before it exits.",
    ),
    /// A target crashed while it ran a request.
    TargetEnded {
        /// Id of the request.
        id: Arc<str>,
        /// Fingerprint of the request, the same for all its retries.
        fingerprint: Arc<str>,
        /// The target.
        target: TargetId,
        /// Digests of the parts of its prompt that other requests may share, separated by commas.
        parts: Arc<str>,
        /// Number of events of its answer that had arrived.
        events: u64,
    } = (
        925, Warn, "{id}: {target} crashed while it ran this request, after {events} events",
        "Look for the same fingerprint, or the same part, at other targets: it may crash every target that runs it.",
    ),
    /// Requests with a fingerprint are no longer sent to any target.
    RequestsQuarantined {
        /// Fingerprint of the requests.
        fingerprint: Arc<str>,
        /// Duration of the rejection, in milliseconds.
        for_ms: u64,
    } = (
        926, Warn, "requests {fingerprint} are rejected for {for_ms} ms, because targets crashed while they ran them",
        "See the events 925 with this fingerprint. Fix the targets, or have the sender stop.",
    ),
    /// Requests that were rejected are accepted again: a target completed one of them without a crash.
    QuarantineLifted {
        /// Fingerprint of the requests.
        fingerprint: Arc<str>,
    } = (
        927, Info, "requests {fingerprint} are no longer rejected",
        "Nothing.",
    ),
    /// A target limits the rate of requests that it accepts from all instances together.
    TargetLimited {
        /// The target.
        target: TargetId,
        /// The limit, in requests per 1000 s.
        per_1000_s: u64,
    } = (
        928, Warn, "{target} accepts {per_1000_s} requests per 1000 s from all instances together",
        "Check the target. Its requests go to other targets while these have capacity.",
    ),
    /// A target no longer limits the rate of requests.
    TargetUnlimited {
        /// The target.
        target: TargetId,
    } = (
        929, Info, "{target} no longer limits its request rate",
        "Nothing.",
    ),
    /// The operator has ordered a rollout.
    RolloutOrdered {
        /// The service.
        service: ServiceId,
        /// The version that is rolled out.
        version: VersionId,
        /// Time from the order to its deadline, in milliseconds.
        duration_ms: u64,
    } = (
        930, Info, "{service} is to be moved to version {version} within {duration_ms} ms",
        "Wait for 934.",
    ),
    /// The operator's order of a rollout is gone.
    RolloutWithdrawn {
        /// The service.
        service: ServiceId,
    } = (
        931, Info, "the order of a rollout of {service} is gone",
        "Nothing. A rollout that was under way is rolled back.",
    ),
    /// This instance coordinates a rollout.
    RolloutCoordinated {
        /// The service.
        service: ServiceId,
        /// The version that is rolled out.
        version: VersionId,
        /// Time since the order, in milliseconds.
        age_ms: u64,
        /// Time from the order to its deadline, in milliseconds.
        duration_ms: u64,
        /// Answers of the version in the evidence that an earlier coordinator has stored.
        stored_answers: u32,
    } = (
        932, Info, "this instance coordinates the rollout of {version} of {service}, ordered {age_ms} ms ago for {duration_ms} ms, {stored_answers} answers are stored",
        "Nothing. If it comes twice, another instance coordinated it before.",
    ),
    /// The coordinator has ended a rollout.
    RolloutDecided {
        /// The service.
        service: ServiceId,
        /// The version that was rolled out.
        version: VersionId,
        /// How it has ended.
        outcome: Arc<str>,
        /// Why: what was compared, bad and all answers of the version, the same of the others.
        reason: Arc<str>,
        /// Answers of the version that are known.
        answers: u32,
        /// Failures among them.
        failures: u32,
        /// Answers of the other versions that are known.
        old_answers: u32,
        /// Time since this instance began to coordinate it, in milliseconds.
        account_age_ms: u64,
        /// Time since the order, in milliseconds.
        order_age_ms: u64,
        /// Whether the evidence is known from the order on.
        is_complete: bool,
    } = (
        933, Info, "the rollout of {version} of {service} has {outcome} {order_age_ms} ms after its order: {reason}; {failures} of {answers} answers are failures, others gave {old_answers}, counted for {account_age_ms} ms, complete: {is_complete}",
        "If it was rolled back, look at the answers of that version on the route that is named. If the evidence was lost, order it again.",
    ),
    /// An instance knows that a rollout has ended.
    RolloutEnded {
        /// The service.
        service: ServiceId,
        /// The version that was rolled out.
        version: VersionId,
        /// How it has ended.
        outcome: Arc<str>,
    } = (
        934, Info, "the rollout of {version} of {service} has {outcome}",
        "Nothing. The reason is in event 933 of the instance that coordinated it.",
    ),
    /// The state of a rollout can't be read from the store or written to it.
    RolloutUnrecorded {
        /// The service.
        service: ServiceId,
        /// The reason.
        reason: Arc<str>,
    } = (
        935, Warn, "the rollout of {service} can't be recorded in the store: {reason}",
        "Check the store. Until it answers, the version gets no more requests than before, and no verdict is given.",
    ),
    /// A target says in the head of an answer that it is about to stop.
    TargetSaidLeaving {
        /// The target.
        target: TargetId,
        /// Start of its process in Unix milliseconds; 0 if unknown.
        started_at: u64,
        /// Age of the listing by which it was in service, in milliseconds.
        listing_age_ms: u64,
    } = (
        936, Info, "{target} says in an answer that it is leaving; the targets were last read {listing_age_ms} ms ago",
        "Nothing. If the store lists it as in service for long, check its connection to the store.",
    ),
    /// A target has rejected a request and wants no further ones from this instance for a while.
    TargetPaused {
        /// The target.
        target: TargetId,
        /// The time for which it wants no requests, in milliseconds.
        pause_ms: u64,
    } = (
        937, Info, "{target} wants no requests from this instance for {pause_ms} ms",
        "Nothing, unless all targets of a service do: then add targets.",
    ),
    /// A request was not sent to the target that was chosen for it.
    SendingWithheld {
        /// Id of the request.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// Why nothing may be sent to it.
        reason: Arc<str>,
    } = (
        938, Info, "{id}: not sent to {target}: {reason}",
        "Nothing. Another target is tried, or the caller is told when to retry.",
    ),
    /// The store has come back from an older copy.
    StoreRestored {
        /// The topic.
        topic: Arc<str>,
        /// The store's era; it rises with each return from a copy.
        era: u64,
        /// The version that was known before.
        before: u64,
        /// The store's version now.
        version: u64,
    } = (
        939, Warn, "the store has come back from an older copy, era {era}: its {topic} rows are at version {version}, previously {before}",
        "Check that the operator's latest changes are in the store. Those that are missing have to be written again.",
    ),
    /// Rows of instances that the store had lost were written again.
    RowsWrittenAgain {
        /// Number of rows.
        count: usize,
    } = (
        940, Info, "{count} rows of instances were written again after the store has come back from a copy",
        "Nothing.",
    ),
    /// Connections to a target don't open from this instance.
    TargetUnreached {
        /// The target.
        target: TargetId,
        /// What came in place of a connection.
        reason: Arc<str>,
        /// Time since another target of the service was reached, in milliseconds; -1 if none was.
        others_ms: i64,
        /// Number of targets to which connections don't open.
        lost: usize,
    } = (
        941, Warn, "connections to {target} don't open: {reason}; another target of its service was reached {others_ms} ms ago, {lost} targets are not reached",
        "If other instances reach it, check this instance's network. If none does, check the target.",
    ),
    /// Connections to a target open again.
    TargetReached {
        /// The target.
        target: TargetId,
        /// How long they did not open, in milliseconds.
        after_ms: u64,
        /// Number of targets to which connections don't open.
        lost: usize,
    } = (
        942, Info, "connections to {target} open again after {after_ms} ms, {lost} targets are not reached",
        "Nothing.",
    ),
    /// A request was sent through another instance, as connections to its target don't open from here.
    RequestRelayed {
        /// Id of the request.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// The instance that passed the request on.
        via: InstanceId,
        /// What became of it.
        outcome: Arc<str>,
    } = (
        943, Info, "{id}: sent to {target} through {via}: {outcome}",
        "If this goes on, see 941 and check this instance's network.",
    ),
    /// Another instance has sent a request to a target through this one.
    OthersRequest {
        /// Id of the request.
        id: Arc<str>,
        /// The instance that took the request from its caller.
        from: InstanceId,
        /// The target.
        target: TargetId,
        /// What became of it.
        outcome: Arc<str>,
    } = (
        944, Info, "{id}: for {from} to {target}: {outcome}",
        "Nothing. See 941 of the instance that it comes from.",
    ),
    /// A target falls over if it has to reject too many requests in a second.
    TargetBrittle {
        /// The target.
        target: TargetId,
        /// Rejections that it bears in a second, from all instances together.
        per_s: u32,
    } = (
        945, Warn, "{target} falls over if it rejects more than {per_s} requests in a second",
        "Add targets or lower the load. Each instance sends it no more than its share until it says so no more.",
    ),
    /// A target no longer says that it falls over if it rejects too many requests.
    TargetNotBrittle {
        /// The target.
        target: TargetId,
    } = (
        946, Info, "{target} bears any number of rejections again",
        "Nothing.",
    ),
    /// A target that falls over if it rejects too much has rejected a request of this instance.
    BrittleTargetRejected {
        /// The target.
        target: TargetId,
        /// How long this instance sends it nothing new, in milliseconds.
        hold_ms: u64,
    } = (
        947, Warn, "{target}, which bears few rejections, has rejected a request; it gets nothing new for {hold_ms} ms",
        "Many of these on several instances within a second may bring the target down: add targets.",
    ),
    /// Requests whose prompts have a part are no longer sent to any target of a service.
    PartQuarantined {
        /// The service.
        service: ServiceId,
        /// Digest of the part.
        part: Arc<str>,
        /// Crashes of targets under requests with the part that count; only the latest are kept.
        crashes: usize,
        /// Duration of the rejection, in milliseconds.
        for_ms: u64,
    } = (
        948, Warn, "{service}: prompts with part {part} are rejected for {for_ms} ms after {crashes} crashes",
        "See the events 925 that name this part. Fix the targets, or have the senders leave the part out.",
    ),
    /// A part of prompts counts as sound: a target answered a request with it without a crash.
    PartCleared {
        /// The service.
        service: ServiceId,
        /// Digest of the part.
        part: Arc<str>,
    } = (
        949, Info, "{service}: prompts with part {part} have proved sound",
        "Nothing.",
    ),
    /// A request is sent to find out whether a part of its prompt crashes targets.
    PartProbed {
        /// Id of the request.
        id: Arc<str>,
        /// Digest of the part.
        part: Arc<str>,
    } = (
        950, Info, "{id}: sent to find out whether part {part} of its prompt crashes targets",
        "Nothing. 949 or 925 tells the outcome.",
    ),
    /// An engine is much slower than its service.
    EngineSlow {
        /// The engine.
        target: TargetId,
        /// Its service.
        service: ServiceId,
        /// Speed of processing prompts, in percent of the service's mean.
        prefill_percent: u32,
        /// Speed of generating tokens, in percent of the service's mean.
        decode_percent: u32,
    } = (
        951, Info, "{target} is slow: prompts at {prefill_percent} and tokens at {decode_percent} percent of the mean speed of {service}",
        "If the engine isn't of a slower model, look at its machine. It gets as much work as it can do in time.",
    ),
    /// An engine that was slow is about as fast as its service again.
    EngineUsual {
        /// The engine.
        target: TargetId,
        /// Its service.
        service: ServiceId,
        /// Speed of processing prompts, in percent of the service's mean.
        prefill_percent: u32,
        /// Speed of generating tokens, in percent of the service's mean.
        decode_percent: u32,
    } = (
        952, Info, "{target} is no longer slow: prompts at {prefill_percent} and tokens at {decode_percent} percent of the mean speed of {service}",
        "Nothing.",
    ),
    /// The pause between two events of an answer was longer than its route allows.
    AnswerPaused {
        /// Id of the request.
        id: Arc<str>,
        /// The engine that ran it last.
        target: TargetId,
        /// The longest pause, in milliseconds.
        pause_ms: u64,
        /// The longest pause that the route allows, in milliseconds.
        allowed_ms: u64,
    } = (
        953, Info, "{id}: {pause_ms} ms between two events from {target}, its route allows {allowed_ms} ms",
        "If there are many, look for 954 with these engines, then at the engines' load and speed.",
    ),
    /// A request is placed beside answers of which its prompt probably makes one pause for too long.
    PausesStretched {
        /// Id of the request.
        id: Arc<str>,
        /// The engine.
        target: TargetId,
        /// Answers on the engine that allow a longest pause.
        answers: usize,
        /// Share of them that is expected to pause for longer, in percent.
        risk_percent: u32,
    } = (
        954, Info, "{id}: its prompt is processed on {target} beside {answers} answers, of which {risk_percent}% are expected to pause for too long",
        "If there are many, add engines, or faster ones: most of those there are can't process prompts beside answers.",
    ),
    /// A workspace asks for more than its fair share of engines that have too little room for all.
    WorkspaceAboveShare {
        /// The service.
        service: ServiceId,
        /// Index of the shard of its engines that this instance owns.
        shard: u32,
        /// The workspace.
        workspace: WorkspaceId,
        /// What it was served of what it asked for, in percent.
        served_percent: u32,
        /// Number of other workspaces that ask for the same engines.
        others: usize,
    } = (
        955, Warn, "{service}: workspace {workspace} asks shard {shard} for more than its share and gets {served_percent}% of it, beside {others} other workspaces",
        "If it is meant to send so much, add engines. Its requests wait and are refused first until 956.",
    ),
    /// A workspace is within its fair share again.
    WorkspaceWithinShare {
        /// The service.
        service: ServiceId,
        /// Index of the shard of its engines that this instance owns.
        shard: u32,
        /// The workspace.
        workspace: WorkspaceId,
    } = (
        956, Info, "{service}: workspace {workspace} is within its share of shard {shard} again",
        "Nothing.",
    ),
    /// A generation goes on at another engine within the same response, from the prompt and the last event.
    StreamResumed {
        /// Id of the request.
        id: Arc<str>,
        /// The engine that failed it.
        from: TargetId,
        /// The engine that goes on with it.
        to: TargetId,
        /// Id of the last event that the caller had; 0 if it had none.
        after: u64,
        /// How the first engine failed.
        cause: Arc<str>,
        /// Time from the failure to the head of the new answer, in milliseconds.
        took_ms: u64,
    } = (
        957, Info, "{id}: goes on at {to} after event {after}, {took_ms} ms after {from} failed it: {cause}",
        "If this happens often, find out why the first engines fail: 925 tells of crashes.",
    ),
    /// A generation that an engine failed does not go on at another one, though its route allows it.
    ResumptionGivenUp {
        /// Id of the request.
        id: Arc<str>,
        /// The engine that failed it.
        target: TargetId,
        /// How it failed.
        cause: Arc<str>,
        /// Why no other engine goes on.
        why: Arc<str>,
        /// Id of the last event that the caller had; 0 if it had none.
        last_event: u64,
    } = (
        958, Warn, "{id}: not resumed after event {last_event}, which {target} failed ({cause}): {why}",
        "For budget_used_up or engines_used_up, find out why engines fail; for no_engine, see the reason in 905 or 900, and add engines.",
    ),
    /// A call is sent to another target than the usual one, which is slow or crowded at the moment.
    SlowTargetPassedOver {
        /// Id of the request.
        id: Arc<str>,
        /// The target that the call is sent to.
        target: TargetId,
        /// Its expected time to answer, in milliseconds.
        expected_ms: u64,
        /// The usual target.
        passed_over: TargetId,
        /// The expected time of the usual target, in milliseconds.
        passed_over_ms: u64,
    } = (
        959, Info, "{id}: to {target}, expected to answer in {expected_ms} ms; {passed_over} would take {passed_over_ms} ms",
        "Nothing. Many of these for one target: see the machine that it shares with others.",
    ),
    /// The usual work time of a target has come to differ from its service's, or no longer does.
    TargetSpeedChanged {
        /// The target.
        target: TargetId,
        /// `slow` or `normal`.
        state: Arc<str>,
        /// Its work time, in milliseconds.
        work_ms: u64,
        /// The work time of its service, in milliseconds.
        service_ms: u64,
    } = (
        960, Info, "{target} is {state}: its work takes {work_ms} ms, that of its service {service_ms} ms",
        "If it stays slow, look at its machine.",
    ),
    /// The timers of this instance are late, as when most new connections go to it. It closes further ones unread.
    ProcessorShort {
        /// Their mean lateness, in milliseconds.
        late_ms: u64,
        /// The lateness with which requests are still answered in time, in milliseconds.
        allowed_ms: u64,
        /// Requests that are open.
        open: usize,
    } = (
        961, Warn, "short of processor time: timers are {late_ms} ms late, {allowed_ms} ms allow answers in time; {open} requests are open, further connections are refused or closed unread",
        "If it happens to one instance, see whether the load balancer sends most connections to it; else give the instances more processor time.",
    ),
    /// This instance has processor time for all its connections again.
    ProcessorSuffices {
        /// Length of the shortage, in milliseconds.
        after_ms: u64,
    } = (
        962, Info, "enough processor time again after {after_ms} ms",
        "Nothing.",
    ),
    /// This instance paused listening for connections of callers and can't listen again. It keeps trying.
    ListeningFailed {
        /// The address.
        addr: Arc<str>,
        /// The error.
        reason: Arc<str>,
    } = (
        963, Error, "{addr}: can't listen again: {reason}",
        "See which process uses the port; restart the instance on another one.",
    ),
    /// An engine has lost generations of this instance one after the other, before it began to answer.
    EngineAvoided {
        /// The engine.
        target: Arc<str>,
        /// For how long, in milliseconds.
        for_ms: u64,
    } = (
        964, Warn, "{target} is avoided for {for_ms} ms: it has lost several generations in a row",
        "See 902 for the reasons; look at the engine and at the links to it.",
    ),
    /// A target's answer was not forwarded. If several instances pass it on, each of them logs it.
    AnswerNotForwarded {
        /// Id of the request that was sent.
        id: Arc<str>,
        /// The target.
        target: TargetId,
        /// HTTP status of the answer.
        status: u16,
        /// The requests that the answer names.
        named: Arc<str>,
        /// Whether the answer states that the request did not run.
        states_not_run: bool,
        /// Whether the answer has the mark of the target's own answers.
        sealed: bool,
        /// The instance through which the answer came; empty if it came from the target itself.
        via: Arc<str>,
        /// Number of the connection among those of the process that logs this.
        connection: u64,
        /// Age of the connection, in milliseconds.
        connection_ms: u64,
        /// Responses that the connection had brought before.
        earlier: u32,
        /// Bytes that had arrived when the request was sent, although no response was awaited.
        unexpected: usize,
        /// Bytes that arrived from then on until the head of the answer was complete.
        received: usize,
    } = (
        965, Info, "{id}: answer {status} of {target} is not forwarded, it names request {named}, states that nothing ran: {states_not_run}, after {earlier} responses on connection {connection}",
        "Nothing, if the target is full. One that names another request or none shows that the target sends extra answers.",
    ),

    /// An engine no longer works on a generation that goes on elsewhere.
    GenerationStopped {
        /// Id of the request.
        id: Arc<str>,
        /// The engine.
        target: TargetId,
        /// How that is known: its memory was copied, it states that it does not run it, or nothing reaches it.
        how: Arc<str>,
        /// Why it was not known before, empty if the first request showed it.
        last_reason: Arc<str>,
        /// Requests to stop.
        requests: u32,
        /// Time until it was known, in milliseconds.
        took_ms: u64,
    } = (
        966, Info, "{id}: {target} no longer works on it ({how}), known after {requests} requests and {took_ms} ms: {last_reason}",
        "Nothing.",
    ),

    /// An engine may still work on a generation, which therefore goes on at no other one.
    GenerationNotStopped {
        /// Id of the request.
        id: Arc<str>,
        /// The engine.
        target: TargetId,
        /// Why it may.
        reason: Arc<str>,
        /// Requests to stop.
        requests: u32,
        /// Time for which it was asked, in milliseconds.
        took_ms: u64,
    } = (
        967, Warn, "{id}: {target} may still work on it after {requests} requests to stop in {took_ms} ms: {reason}",
        "Look at the engine: it accepts connections and does not answer.",
    ),
}
